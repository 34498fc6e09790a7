#include "JobFixture.h"
#include "http/HttpServer.h"
#include "jobs/JobApi.h"
#include "support/LocalAddress.h"

using namespace lovagerock;
using namespace lovagerock::jobs;

namespace {

constexpr const char* kJob = R"({"resources":{"accelerators":1},"payload":{"answer":"42"}})";

// The callers' endpoints. Any token is accepted and is the name of its account, such as "a" or "b".
struct Api
{
  Cluster mCluster{ 1 };
  http::HttpServer mServer{ mCluster.mLoop };
  Planner mPlanner{ mCluster, "n1" };
  bool mConfigured = true;
  JobApi<kv::MemoryStore> mApi{
    mCluster.mJobStore,
    mCluster.mJobStore,
    mCluster.mAnswers,
    { [](const http::Request& aRequest) -> std::optional<AccountId> {
       const std::string token(aRequest.mHeaders.Get("Authorization"));
       return token.empty() ? std::nullopt : std::optional(AccountId(token));
     },
      [this] { return mConfigured; }, [] { return std::optional<std::string>(); },
      [this](const JobId& aJob) { mPlanner.mCoordinator.OnJobChanged(aJob); } }
  };

  Api()
  {
    mApi.Register(mServer);
    cr_assert_not(mServer.Listen(testing::LocalAddress()));
    mPlanner.mCoordinator.Activate();
  }

  http::Response Call(http::Method aMethod, const std::string& aTarget, const std::string& aAccount,
                      const std::string& aKey = "", const std::string& aBody = "")
  {
    http::ClientRequest request;
    request.mServer = mServer.Address();
    request.mMethod = aMethod;
    request.mTarget = aTarget;
    request.mDeadline = Duration(30000);
    request.mBody = aBody;
    request.mHeaders.Add("Authorization", aAccount);
    if (!aKey.empty()) {
      request.mHeaders.Add("Idempotency-Key", aKey);
    }
    http::Response result;
    bool done = false;
    mCluster.mClient.Send(request, [&](std::error_code aError, http::Response aResponse) {
      cr_assert_not(aError);
      result = std::move(aResponse);
      done = true;
    });
    mCluster.Until([&] { return done; });
    return result;
  }

  std::string Submit(const std::string& aKey)
  {
    const auto response = Call(http::Method::Post, "/v1/jobs", "a", aKey, kJob);
    cr_assert_eq(response.mStatus, 202);
    return JsonValue<std::string>(*ParseJson(response.mBody), "job", "");
  }

  void AwaitState(const std::string& aJob, const std::string& aState)
  {
    std::string state;
    while (state != aState) {
      const auto response = Call(http::Method::Get, "/v1/jobs/" + aJob + "?wait_ms=200", "a");
      state = JsonValue<std::string>(*ParseJson(response.mBody), "state", "");
    }
  }
};

} // namespace

Test(JobApi, serves_a_job_from_submission_to_deletion)
{
  Api api;
  const auto job = api.Submit("k");
  cr_assert_eq(api.Submit("k"), job);
  api.AwaitState(job, "finished");
  for (int i = 0; i < 2; ++i) {
    cr_assert_eq(api.Call(http::Method::Get, "/v1/jobs/" + job + "/answer", "a").mBody,
                 std::string("42"));
  }
  cr_assert_eq(api.Call(http::Method::Delete, "/v1/jobs/" + job, "a").mStatus, 200);
  cr_assert_eq(api.Call(http::Method::Get, "/v1/jobs/" + job, "a").mStatus, 404);
}

// Guards against an account reading or cancelling the jobs of another.
Test(JobApi, hides_jobs_of_other_accounts)
{
  Api api;
  const auto job = api.Submit("k");
  for (const auto& target : { "/v1/jobs/" + job, "/v1/jobs/" + job + "/answer" }) {
    cr_assert_eq(api.Call(http::Method::Get, target, "b").mStatus, 404);
  }
  cr_assert_eq(api.Call(http::Method::Delete, "/v1/jobs/" + job, "b").mStatus, 404);
  cr_assert_eq(api.Call(http::Method::Get, "/v1/jobs/" + job, "").mStatus, 401);
}

Test(JobApi, refuses_invalid_submissions_with_a_reason)
{
  Api api;
  const auto post = [&](const std::string& aKey, const std::string& aBody) {
    return api.Call(http::Method::Post, "/v1/jobs", "a", aKey, aBody);
  };
  cr_assert_eq(post("", kJob).mStatus, 400);
  cr_assert_eq(post(std::string(256, 'k'), kJob).mStatus, 400);
  cr_assert_eq(post("k", "{").mStatus, 400);
  const auto unknown = post("k", R"({"resources":{},"taks":2})");
  cr_assert_eq(unknown.mStatus, 400);
  cr_assert(unknown.mBody.find("taks") != std::string::npos);
  api.Submit("k");
  cr_assert_eq(post("k", R"({"resources":{"accelerators":2}})").mStatus, 422);
}

// Guards against answering that a job did not run although its record was written, and against
// refusing a token as unknown while the node has no configuration.
Test(JobApi, refuses_while_the_store_or_the_configuration_is_missing)
{
  Api api;
  api.mCluster.mStore.SetAvailable(false);
  const auto refused = api.Call(http::Method::Post, "/v1/jobs", "a", "k", kJob);
  cr_assert_eq(refused.mStatus, 503);
  cr_assert_eq(JsonValue<std::string>(*ParseJson(refused.mBody), "ran", ""), std::string("no"));
  api.mCluster.mStore.SetAvailable(true);
  cr_assert_eq(
    api.Call(http::Method::Get, "/v1/jobs/" + MakeJobId(AccountId("a"), "k").Value(), "a").mStatus,
    404);
  api.mConfigured = false;
  cr_assert_eq(api.Call(http::Method::Get, "/v1/jobs/j", "a").mStatus, 503);
}
