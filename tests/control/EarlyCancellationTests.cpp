#include "LeaderFixture.h"
#include "RelayFixture.h"
#include "control/EarlyCancellations.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace lovagerock;
using namespace lovagerock::control;

namespace {

const JobId kJob("job");
const AccountId kAccount("account");
const AccountId kStranger("stranger");
constexpr std::int64_t kNowMs = 1'700'000'000'000;

// The key and the value of the record.
kv::ConditionalWrites::Write
Record(const JobId& aJob, const AccountId& aAccount, std::int64_t aAtMs = kNowMs)
{
  return EarlyCancellationWrites(aJob, aAccount, aAtMs).mWrites.at(0);
}

// A leader to whom jobs and early cancellations come by the store.
struct CancelFixture : LeaderFixture
{
  void CancelEarly(const std::string& aJob, const AccountId& aAccount = {},
                   std::int64_t aAtMs = WallClockMs())
  {
    const auto record = Record(JobId(aJob), aAccount, aAtMs);
    mStore.Put(record.mKey, record.mValue);
  }

  bool IsCancelled(const std::string& aJob) const
  {
    const auto known = mLeader ? mLeader->State(JobId(aJob)) : std::nullopt;
    return known && known->mState == scheduler::JobState::Cancelled;
  }

  bool HasStarted(const std::string& aJob) const
  {
    return std::any_of(mCalls.mStarts.begin(), mCalls.mStarts.end(), [&aJob](const auto& aIt) {
      return aIt.second.mRun.mTask.mJob == JobId(aJob);
    });
  }

  void AwaitLoaded()
  {
    RunUntil([this] { return mLeader && mLeader->IsLoaded(); });
  }
};

void
RequireRefused(const http::Response& aResponse)
{
  cr_assert_eq(aResponse.mStatus, 503);
  cr_assert(aResponse.mHeaders.Has("Retry-After"));
}

bool
HasRecord(const RelayFixture& aFixture, const AccountId& aAccount)
{
  return aFixture.mStore.mItems.contains(Record(kJob, aAccount).mKey);
}

} // namespace

// Guards against a cancellation that stops a job of another account, whose caller has chosen the
// same id.
Test(EarlyCancellations, cover_jobs_of_their_account_alone)
{
  EarlyCancellations cancellations;
  const auto record = Record(kJob, kAccount);
  cr_assert(cancellations.OnRecord(record.mKey, record.mValue, kNowMs) == kJob);
  cr_assert(cancellations.Covers(kJob, kAccount));
  cr_assert_not(cancellations.Covers(kJob, kStranger));
  cr_assert_not(cancellations.Covers(kJob, AccountId()));
  cr_assert_not(cancellations.Covers(JobId("jo"), kAccount));
  cr_assert_not(cancellations.OnRecord("requests/cancel/job", "{}", kNowMs).has_value());
}

// Guards against records that are kept for ever, or that are deleted although the caller has
// repeated the cancellation.
Test(EarlyCancellations, expire_after_the_last_one)
{
  EarlyCancellations cancellations;
  const auto record = Record(kJob, kAccount);
  cancellations.OnRecord(record.mKey, record.mValue, kNowMs);
  const auto last = kNowMs + kEarlyCancellationTime.count();
  cr_assert(cancellations.Expired(last).empty());
  const auto expired = cancellations.Expired(last + 1);
  cr_assert_eq(expired, std::vector{ record.mKey });
  const auto again = Record(kJob, kAccount, last);
  cancellations.OnRecord(again.mKey, again.mValue, last);
  cancellations.RemoveExpired(expired, last + 1);
  cr_assert(cancellations.Covers(kJob, kAccount));
  cr_assert(cancellations.Expired(last + 1).empty());
  cancellations.RemoveExpired(expired, 2 * last);
  cr_assert_eq(cancellations.Count(), 0);
}

// Guards against a record that is ignored, or kept for ever, because its time can't be read or
// comes from a clock that was far ahead.
Test(EarlyCancellations, with_an_odd_time_count_from_when_they_were_seen)
{
  for (const auto* odd :
       { "", "7", "{}", R"({"atMs":"x"})", R"({"atMs":-1})", R"({"atMs":9000000000000000000})" }) {
    EarlyCancellations cancellations;
    const auto key = Record(kJob, kAccount).mKey;
    cancellations.OnRecord(key, odd, kNowMs);
    // A later listing doesn't keep it longer.
    cancellations.OnRecord(key, odd, kNowMs + 1);
    cr_assert(cancellations.Covers(kJob, kAccount), "%s", odd);
    const auto last = kNowMs + kEarlyCancellationTime.count();
    cr_assert(cancellations.Expired(last).empty(), "%s", odd);
    cr_assert_eq(cancellations.Expired(last + 2).size(), 1, "%s", odd);
  }
}

// Guards against a job that runs although its cancellation was acknowledged: the submission was
// held up by a node or by the store.
Test(EarlyCancellations, stop_a_job_that_is_stored_later)
{
  CancelFixture f;
  f.AwaitLoaded();
  f.CancelEarly("late");
  f.CancelEarly("foreign", kStranger);
  f.Submit("late");
  f.Submit("foreign");
  f.RunUntil([&] { return f.IsCancelled("late"); });
  f.RunUntil([&] { return f.HasStarted("foreign"); });
  cr_assert_not(f.HasStarted("late"));
}

// Guards against the same if the node that cancels sees the store just before the job is stored.
Test(EarlyCancellations, stop_a_job_that_was_stored_just_before)
{
  CancelFixture f;
  f.AwaitLoaded();
  f.Submit("racing");
  f.RunUntil([&] { return f.HasStarted("racing"); });
  f.CancelEarly("racing");
  f.RunUntil([&] { return f.IsCancelled("racing"); });
}

// Guards against the same if the leader changes between the cancellation and the submission, or
// after both.
Test(EarlyCancellations, hold_for_later_leaders)
{
  CancelFixture f;
  f.AwaitLoaded();
  f.CancelEarly("before");
  f.CancelEarly("between");
  f.mElection->Resign("test");
  f.Submit("before");
  f.RunUntil([&] { return f.IsCancelled("before"); });
  f.Submit("between");
  f.RunUntil([&] { return f.IsCancelled("between"); });
  f.Submit("other");
  f.RunUntil([&] { return f.HasStarted("other"); });
  cr_assert_not(f.HasStarted("before"));
  cr_assert_not(f.HasStarted("between"));
}

// Guards against the same for a job that doesn't fit into the leader's memory and is loaded later.
Test(EarlyCancellations, stop_a_job_that_is_parked)
{
  CancelFixture f;
  f.mSettings.mBacklogMemory = MemoryMiB(1);
  f.AwaitLoaded();
  f.CancelEarly("late");
  for (int i = 0; i < 1200; ++i) {
    f.Submit("job" + std::to_string(i));
  }
  f.Submit("late");
  f.RunUntil([&] { return f.IsCancelled("late"); });
  cr_assert_gt(f.mLeader->Status().mBacklog.mParked, 0);
  cr_assert_not(f.HasStarted("late"));
}

// Guards against a store that fills with records of cancellations.
Test(EarlyCancellations, are_deleted_by_the_leader)
{
  CancelFixture f;
  f.AwaitLoaded();
  f.CancelEarly("old", {}, WallClockMs() - 2 * kEarlyCancellationTime.count());
  f.CancelEarly("new");
  f.RunUntil([&] { return !f.mStore.mItems.contains(Record(JobId("old"), {}).mKey); });
  cr_assert(f.mStore.mItems.contains(Record(JobId("new"), {}).mKey));
}

// Guards against an acknowledgement that leaves no trace, and against one that tells whether a
// stranger's job exists.
Test(CallerApi, records_the_cancellation_of_a_job_that_is_not_visible)
{
  RelayFixture f;
  cr_assert_eq(f.Call(0, http::Method::Delete).mStatus, 410);
  cr_assert(HasRecord(f, kAccount));
  cr_assert_eq(f.Call(0, http::Method::Post).mStatus, 200);
  cr_assert_eq(f.Call(0, http::Method::Delete, "other").mStatus, 410);
  cr_assert(HasRecord(f, kStranger));
  cr_assert_eq(f.mStore.mItems.count(KeyOf(kCancelPrefix, kJob)), 0);
  // A visible job is cancelled as such.
  cr_assert_eq(f.Call(0, http::Method::Delete).mStatus, 200);
  cr_assert_eq(f.mStore.mItems.count(KeyOf(kCancelPrefix, kJob)), 1);
}

// Guards against a flood of cancellations that takes the store's writes from others, and against
// an acknowledgement beyond the limit.
Test(CallerApi, refuses_early_cancellations_beyond_their_limit)
{
  RelayFixture f;
  f.Node(0).mMayRecordCancellations = false;
  RequireRefused(f.Call(0, http::Method::Delete));
  cr_assert_eq(f.Records(), 0);
  cr_assert_eq(f.Call(1, http::Method::Post).mStatus, 200);
  RequireRefused(f.Call(0, http::Method::Delete, "other"));
  cr_assert_eq(f.Call(0, http::Method::Delete).mStatus, 200, "a stored job can be cancelled");
}

// Guards against an acknowledgement of a cancellation whose record may not be stored.
Test(CallerApi, acknowledges_an_early_cancellation_only_once_it_is_recorded)
{
  RelayFixture f(1);
  f.mStore.mWritesToDelay = 1000000;
  cr_assert_eq(f.Call(0, http::Method::Delete, "key", "1000").mStatus, 504);
  cr_assert_gt(f.mStore.mWrites, 1, "the write isn't repeated");
  f.mStore.mWritesToDelay = 1;
  cr_assert_eq(f.Call(0, http::Method::Delete).mStatus, 410);
  cr_assert(HasRecord(f, kAccount));
}

// Guards against the same over another node while the store rejects this one.
Test(WriteRelay, records_early_cancellations_through_another_node)
{
  RelayFixture f;
  f.Node(1).CloseStore();
  cr_assert_eq(f.Call(1, http::Method::Delete).mStatus, 410);
  cr_assert(HasRecord(f, kAccount));
  cr_assert_eq(f.Node(1).mOutcomes, (std::vector{ RelayOutcome::Gone }));
  f.Node(0).mMayRecordCancellations = false;
  RequireRefused(f.Call(1, http::Method::Delete, "other"));
  cr_assert_not(HasRecord(f, kStranger));
}

// Guards against an acknowledgement on the word of a node of an earlier version, which records
// nothing.
Test(WriteRelay, does_not_acknowledge_a_cancellation_that_an_earlier_version_did_not_record)
{
  RelayFixture f;
  f.Node(1).CloseStore();
  f.mNetwork.mHandlers[RelayFixture::Address(0)]["store_write"] =
    [](const Json&, const peer::ReplyFunction& aReply) {
      aReply({ { "outcome", "gone" }, { "reason", "no_such_job" }, { "busy", false } });
    };
  RequireRefused(f.Call(1, http::Method::Delete));
}
