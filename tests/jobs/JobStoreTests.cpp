#include "JobFixture.h"

using namespace lovagerock;
using namespace lovagerock::jobs;

namespace {

std::error_code
SubmitError(Cluster& aCluster)
{
  std::error_code ec;
  bool done = false;
  aCluster.mJobStore.Submit(aCluster.Job("k", 1, "x"),
                            [&](std::error_code aError, const JobRecord&) {
                              ec = aError;
                              done = true;
                            });
  aCluster.Until([&] { return done; });
  return ec;
}

std::error_code
Finish(Cluster& aCluster, const JobRecord& aRecord)
{
  std::error_code ec;
  bool done = false;
  aCluster.mJobStore.MoveToDone(aRecord, [&](std::error_code aError, const JobRecord&) {
    ec = aError;
    done = true;
  });
  aCluster.Until([&] { return done; });
  return ec;
}

} // namespace

// Guards against running a job twice because its caller repeated the submission after a lost
// response.
Test(JobStore, returns_the_same_job_for_a_repeated_submission)
{
  Cluster cluster(0);
  cluster.mStore.LoseAnswers(1);
  const auto first = cluster.Submit(cluster.Job("k", 1, "x"));
  const auto second = cluster.Submit(cluster.Job("k", 1, "x"));
  cr_assert_eq(first.mWriteToken, second.mWriteToken);
  cr_assert(first.mModifyIndex != 0);
}

// Guards against returning the answer of a different job that used the same key.
Test(JobStore, refuses_another_job_under_the_same_key)
{
  Cluster cluster(0);
  cluster.Submit(cluster.Job("k", 1, "x"));
  std::error_code ec;
  bool done = false;
  cluster.mJobStore.Submit(cluster.Job("k", 1, "y"), [&](std::error_code aError, const JobRecord&) {
    ec = aError;
    done = true;
  });
  cluster.Until([&] { return done; });
  cr_assert_eq(ec, make_error_code(JobError::KeyReused));
}

// Guards against reporting "not run" for a submission that took effect.
Test(JobStore, reports_a_submission_with_a_lost_response_as_unknown)
{
  Cluster cluster(0);
  cluster.mStore.GoDownAfterWrite();
  cr_assert_eq(SubmitError(cluster), make_error_code(JobError::OutcomeUnknown));
  cluster.mStore.SetAvailable(true);
  cr_assert_eq(cluster.Load(MakeJobId(AccountId("a"), "k")).mState, JobState::Pending);
}

// Guards against reporting an unknown outcome although the submission certainly had no effect.
Test(JobStore, reports_a_submission_that_was_not_written_as_unavailable)
{
  Cluster cluster(0);
  cluster.mStore.SetAvailable(false);
  cr_assert_eq(SubmitError(cluster), make_error_code(JobError::StoreUnavailable));
}

// Guards against two planners both committing an attempt from the same version of the record.
Test(JobStore, refuses_a_write_based_on_an_old_version)
{
  Cluster cluster(0);
  const auto stored = cluster.Submit(cluster.Job("k", 1, "x"));
  cr_assert_not(Update(cluster, stored));
  cr_assert_eq(Update(cluster, stored), make_error_code(JobError::Conflict));
}

// Guards against a late attempt ending a job a second time.
Test(JobStore, ends_a_job_once)
{
  Cluster cluster(0);
  auto stored = cluster.Submit(cluster.Job("k", 1, "x"));
  stored.mState = JobState::Finished;
  cluster.mStore.LoseAnswers(1);
  cr_assert_not(Finish(cluster, stored));
  cr_assert_eq(Finish(cluster, stored), make_error_code(JobError::Conflict));
}

// Guards against errors in splitting an answer into pieces.
Test(AnswerStore, reads_back_a_large_answer)
{
  Cluster cluster(0);
  std::string answer(static_cast<std::size_t>(kPieceSize.Value()) * 2 + 1, 'a');
  answer.back() = 'z';
  AnswerInfo info;
  bool done = false;
  cluster.mAnswers.Write(JobId("j"), 1, { { 0, answer } },
                         [&](std::error_code aError, const std::vector<AnswerInfo>& aInfos) {
                           cr_assert_not(aError);
                           info = aInfos.at(0);
                           done = true;
                         });
  cluster.Until([&] { return done; });
  cr_assert_eq(info.mPieces, 3);
  std::string read;
  for (int i = 0; i < info.mPieces; ++i) {
    done = false;
    cluster.mAnswers.ReadPiece(JobId("j"), 1, 0, i,
                               [&](std::error_code, const std::string& aPiece) {
                                 read += aPiece;
                                 done = true;
                               });
    cluster.Until([&] { return done; });
  }
  cr_assert(read == answer);
}

// Guards against transactions that exceed the store's limits, and against using one transaction for
// each small answer.
Test(AnswerStore, writes_answers_in_bounded_transactions)
{
  Cluster cluster(0);
  const auto calls = [&](std::size_t aCount, std::size_t aBytes) {
    std::vector<TaskAnswer> answers;
    for (std::size_t i = 0; i < aCount; ++i) {
      answers.push_back({ static_cast<int>(i), std::string(aBytes, 'a') });
    }
    const auto before = cluster.mStore.Calls();
    bool done = false;
    cluster.mAnswers.Write(JobId("j"), 1, answers,
                           [&](std::error_code aError, const std::vector<AnswerInfo>& aInfos) {
                             cr_assert_not(aError);
                             cr_assert_eq(aInfos.size(), aCount);
                             done = true;
                           });
    cluster.Until([&] { return done; });
    return cluster.mStore.Calls() - before;
  };
  const auto piece = static_cast<std::size_t>(kPieceSize.Value());
  cr_assert_eq(calls(130, 0), 3);
  cr_assert_eq(calls(4, piece / 2), 2);
  cr_assert_eq(calls(3, piece / 2 + 1), 3);
  cr_assert_eq(calls(2, piece + 1), 4);
}

// Guards against silently ignoring a misspelled option.
Test(JobSpec, names_each_invalid_field)
{
  std::vector<SpecProblem> problems;
  const auto json = ParseJson(R"({"tasks":513,"resources":{"gpus":1},"adjacency":"near"})");
  cr_assert_not(ReadJobSpec(*json, problems).has_value());
  std::string fields;
  for (const auto& it : problems) {
    fields += it.mField + " ";
  }
  cr_assert_eq(fields, std::string("tasks resources.gpus adjacency "));
}
