#include "standin/worker/RequestTable.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::standin;
using workers::RequestPhase;

namespace {

struct Fixture
{
  TimePoint mNow = std::chrono::steady_clock::now();
  int mFree = 1;
  int mStarts = 0;
  std::vector<RequestResult> mReplies;
  RequestTable mTable{ [this](const LeaseId&, const ServiceId&) {
                        return mFree > 0 && mFree-- > 0;
                      },
                       [this](const LeaseId&) { ++mFree; },
                       [this](const RequestEvent& aEvent) { mStarts += aEvent.mStarted ? 1 : 0; } };

  void Begin(const char* aId)
  {
    mTable.Begin(RequestId(aId), LeaseId("lease"), ServiceId("service"),
                 R"({"run_ms":100,"answer":"x"})", Duration(1000), mNow,
                 [this](const RequestResult& aResult) { mReplies.push_back(aResult); });
  }
  void Pass(Duration aTime)
  {
    mNow += aTime;
    mTable.Advance(mNow);
  }
};

} // namespace

// Guards against running a request twice when its caller asks again.
Test(RequestTable, runs_an_id_once_and_answers_each_caller)
{
  Fixture f;
  f.Begin("a");
  f.Begin("a");
  f.Pass(Duration(100));
  f.Begin("a");
  cr_assert_eq(f.mStarts, 1);
  cr_assert_eq(f.mReplies.size(), 3);
  cr_assert_eq(f.mReplies.back().mBody, std::string("x"));
}

Test(RequestTable, refuses_a_request_without_a_free_slot_as_not_run)
{
  Fixture f;
  f.Begin("a");
  f.Begin("b");
  cr_assert_eq(f.mReplies.at(0).mNotRun, std::optional(true));
}

// Guards against a request that arrives after it was declared not run.
Test(RequestTable, refuses_a_tombstoned_id_as_not_run)
{
  Fixture f;
  cr_assert_eq(f.mTable.Drop(RequestId("a"), f.mNow), RequestPhase::Unknown);
  f.Begin("a");
  cr_assert_eq(f.mStarts, 0);
  cr_assert_eq(f.mReplies.at(0).mNotRun, std::optional(true));
}

// Guards against cancelling a request that arrived just before its tombstone.
Test(RequestTable, refuses_only_an_unknown_id_without_cancelling_a_known_one)
{
  Fixture f;
  cr_assert_eq(f.mTable.RefuseUnknown(RequestId("a"), f.mNow), RequestPhase::Unknown);
  f.Begin("a");
  cr_assert_eq(f.mReplies.at(0).mNotRun, std::optional(true));
  f.Begin("b");
  cr_assert_eq(f.mTable.RefuseUnknown(RequestId("b"), f.mNow), RequestPhase::Running);
  f.Pass(Duration(100));
  cr_assert_eq(f.mTable.RefuseUnknown(RequestId("b"), f.mNow), RequestPhase::Done);
  cr_assert_eq(f.mReplies.at(1).mBody, std::string("x"));
  cr_assert_eq(f.mTable.Answer(RequestId("b"))->mBody, std::string("x"));
  cr_assert_eq(f.mStarts, 1);
}

// Guards against calling a request not run that ran and was cancelled or forgotten.
Test(RequestTable, never_calls_a_request_that_ran_not_run)
{
  Fixture f;
  f.Begin("a");
  cr_assert_eq(f.mTable.Drop(RequestId("a"), f.mNow), RequestPhase::Running);
  f.Begin("a");
  f.Begin("b");
  f.Pass(Duration(100));
  f.Pass(kAnswerTime);
  f.Begin("b");
  cr_assert_eq(f.mReplies.at(0).mNotRun, std::optional(false));
  cr_assert_eq(f.mReplies.at(1).mNotRun, std::optional(false));
  cr_assert_eq(f.mReplies.back().mNotRun, std::optional(false));
  cr_assert_eq(f.mTable.Find(RequestId("b")), RequestPhase::Done);
}
