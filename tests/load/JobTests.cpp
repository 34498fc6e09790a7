#include "LoadFixture.h"
#include "base/Json.h"

using namespace lovagerock;
using namespace lovagerock::load;
using lovagerock::load::tests::LoadFixture;

namespace {

// Answers as a node whose jobs end at once in a given state.
struct JobsFixture : LoadFixture
{
  std::string mState = "finished";
  Json mPayloads;
  int mDeleted = 0;

  explicit JobsFixture(std::function<std::string(const Json& aPayloads, std::size_t aTask)> aAnswer)
  {
    mServer.Handle(http::Method::Post, "/v1/jobs",
                   [this](const http::Request& aRequest, const http::Responder& aTo) {
                     mPayloads = ParseJson(aRequest.mBody).value_or(Json())["payloads"];
                     aTo.Send(http::JsonResponse(202, R"({"job":"j1","state":"pending"})"));
                   });
    mServer.Handle(
      http::Method::Get, "/v1/jobs/{job}",
      [this](const http::Request&, const http::Responder& aTo) {
        aTo.Send(http::JsonResponse(200, DumpJson({ { "job", "j1" }, { "state", mState } })));
      });
    mServer.Handle(http::Method::Get, "/v1/jobs/{job}/answer",
                   [this, aAnswer](const http::Request& aRequest, const http::Responder& aTo) {
                     const auto task = std::stoul(aRequest.QueryParameter("task"));
                     const auto body = aAnswer(mPayloads, task);
                     aTo.Send({ body.empty() ? 404 : 200, {}, body });
                   });
    mServer.Handle(http::Method::Delete, "/v1/jobs/{job}",
                   [this](const http::Request&, const http::Responder& aTo) {
                     ++mDeleted;
                     aTo.Send(http::JsonResponse(200, "{}"));
                   });
  }
};

std::string
Echo(const Json& aPayloads, std::size_t aTask)
{
  return aPayloads.at(aTask).get<std::string>();
}

} // namespace

// Guards against good jobs that are counted as faults, and answers that are never deleted.
Test(JobLoad, checks_the_answers_of_all_tasks_and_deletes_the_job)
{
  JobsFixture f(Echo);
  cr_assert_eq(f.RunJobs(1, 3).Count(Outcome::Ok), 1);
  cr_assert_eq(f.mDeleted, 1);
}

// Guards against a finished job whose answer is gone.
Test(JobLoad, reports_a_lost_answer)
{
  JobsFixture f([](const Json&, std::size_t) { return std::string(); });
  cr_assert_eq(f.RunJobs(1, 1).Count(Outcome::Lost), 1);
}

// Guards against answers that belong to another task of the gang.
Test(JobLoad, reports_the_answer_of_another_task)
{
  JobsFixture f([](const Json& aPayloads, std::size_t) { return Echo(aPayloads, 0); });
  cr_assert_eq(f.RunJobs(1, 2).Count(Outcome::Wrong), 1);
}

// Guards against jobs that the system ended by itself and that are counted as lost.
Test(JobLoad, takes_an_interrupted_job_as_answered)
{
  JobsFixture f(Echo);
  f.mState = "interrupted";
  const auto& tally = f.RunJobs(1, 1);
  cr_assert_eq(tally.Count(Outcome::Unknown), 1);
  cr_assert(tally.IsClean());
}
