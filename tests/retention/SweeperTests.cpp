#include "RetentionFixture.h"

using namespace lovagerock;
using namespace lovagerock::retention;

// Guards against keys that are lost before their time, in each state they can have.
Test(Sweeper, deletes_expired_keys_only)
{
  Fixture fixture;
  fixture.PutClaim("claims/a/old", kNow - kDay);
  fixture.PutClaim("claims/a/new", kNow - kDay + 1);
  fixture.PutChange("old", kNow - 7 * kDay);
  fixture.PutChange("new", kNow - 7 * kDay + 1);
  fixture.PutJob("done/r/old", jobs::JobState::Finished, 2, kNow - 7 * kDay);
  fixture.PutJob("done/r/new", jobs::JobState::Finished, 2, kNow - 7 * kDay + 1);
  fixture.PutJob("done/other/far", jobs::JobState::Finished, 1, kNow - 9 * kDay);
  fixture.PutJob("jobs/r/live", jobs::JobState::Started, 1, 0);
  for (const auto* it : { "old/1.0/0", "old/2.0/0", "old/2.0/1", "new/2.0/0", "far/1.0/0",
                          "live/1.0/0", "gone/1.0/0" }) {
    fixture.Put(std::string("answers/") + it, "x");
  }
  const auto report = fixture.RunOnce();
  cr_assert_eq(report.mReason, std::string("complete"));
  cr_assert_eq(fixture.Keys(), (std::set<std::string>{
                                 "claims/a/new", "changes/new", "done/r/new", "done/other/far",
                                 "jobs/r/live", "answers/new/2.0/0", "answers/far/1.0/0",
                                 "answers/live/1.0/0", "answers/gone/1.0/0" }));
  cr_assert_eq(report.mClaims + report.mChanges + report.mJobs, 3);
  cr_assert_eq(report.mPieces, 3);
}

// Guards against orphans and records of older releases that are kept for ever, or deleted before
// the limit has passed on this planner; a job without a record that still writes is kept.
Test(Sweeper, counts_from_the_first_sight_without_a_time)
{
  Fixture fixture;
  fixture.Put("changes/old-release", R"({"version":1,"hash":"h"})");
  fixture.Put("claims/a/damaged", "x");
  fixture.Put("done/r/damaged", "x");
  fixture.PutJob("jobs/r/live", jobs::JobState::Started, 2, 0);
  for (const auto* it : { "lost/1.0/0", "lost/2.0/0", "live/2.0/0", "gone/1.0/0", "gone/1.1/0" }) {
    fixture.Put(std::string("answers/") + it, "x");
  }
  auto expected = fixture.Keys();
  fixture.RunOnce();
  fixture.mNow = kNow + 7 * kDay - 1;
  fixture.Put("answers/gone/1.0/0", "rewritten");
  fixture.RunOnce();
  expected.erase("claims/a/damaged");
  cr_assert_eq(fixture.Keys(), expected);
  fixture.mNow = kNow + 7 * kDay;
  cr_assert_eq(fixture.RunOnce().mOrphans, 2);
  for (const auto* it :
       { "changes/old-release", "done/r/damaged", "answers/lost/1.0/0", "answers/lost/2.0/0" }) {
    expected.erase(it);
  }
  cr_assert_eq(fixture.Keys(), expected);
}

// Guards against a claim that is taken anew between the listing and the delete.
Test(Sweeper, keeps_a_claim_that_changed_after_the_listing)
{
  Fixture fixture;
  fixture.PutClaim("claims/a/k", kNow - 2 * kDay);
  fixture.PutClaim("claims/a/l", kNow - 2 * kDay);
  fixture.mStore.mBeforeTransact = [&](const auto&) { fixture.PutClaim("claims/a/k", kNow); };
  const auto report = fixture.RunOnce();
  cr_assert_eq(fixture.Keys(), (std::set<std::string>{ "claims/a/k" }));
  cr_assert_eq(report.mSkipped, 1);
  cr_assert_eq(report.mClaims, 1);
}

// Guards against a record that is deleted before its pieces, so that an interrupted run leaves
// pieces that no later run finds as the job's.
Test(Sweeper, deletes_the_record_after_all_pieces)
{
  Fixture fixture;
  fixture.PutExpiredJob(100);
  fixture.RunOnce();
  cr_assert_eq(fixture.mStore.mDeletes.size(), 101U);
  cr_assert_eq(fixture.mStore.mDeletes.back(), std::string("done/r/j"));
}

// Guards against answers that are deleted although a record of their job was written between the
// reads and the delete, in each place where a record can be.
Test(Sweeper, keeps_a_job_whose_record_changed_after_the_read)
{
  for (const auto* record : { "done/r/j", "jobs/r/j", "done/other/j", "jobs/other/j" }) {
    for (const bool isOrphan : { false, true }) {
      Fixture fixture;
      fixture.PutJob("done/other/far", jobs::JobState::Finished, 1, kNow);
      fixture.PutExpiredJob(100);
      if (isOrphan) {
        fixture.mStore.mMemory.Transact({ { kv::Operation::Kind::Delete, "done/r/j", "", 0 } },
                                        [](std::error_code, const kv::TransactionResult&) {});
        fixture.RunOnce();
        fixture.mNow += 7 * kDay;
      }
      auto expected = fixture.Keys();
      expected.insert(record);
      fixture.mStore.mBeforeTransact = [&](const auto&) {
        fixture.PutJob(record, jobs::JobState::Finished, 1, fixture.mNow);
      };
      cr_assert_eq(fixture.RunOnce().mSkipped, 1);
      cr_assert_eq(fixture.Keys(), expected, "%s", record);
    }
  }
}

// Guards against an orphan that is deleted although its job writes it anew meanwhile.
Test(Sweeper, keeps_an_orphan_that_is_written_anew)
{
  Fixture fixture;
  fixture.Put("answers/j/1.0/0", "x");
  fixture.RunOnce();
  fixture.mNow += 7 * kDay;
  fixture.mStore.mBeforeTransact = [&](const auto&) { fixture.Put("answers/j/1.0/0", "y"); };
  cr_assert_eq(fixture.RunOnce().mSkipped, 1);
  cr_assert_eq(fixture.Keys().size(), 1U);
}

// Guards against a job of another region with the same id that loses its answers.
Test(Sweeper, keeps_answers_that_another_region_refers_to)
{
  Fixture fixture;
  fixture.PutExpiredJob(2);
  fixture.PutJob("jobs/other/j", jobs::JobState::Started, 1, 0);
  fixture.RunOnce();
  cr_assert_eq(fixture.Keys(),
               (std::set<std::string>{ "answers/j/1.0/0", "answers/j/1.1/0", "jobs/other/j" }));
}

// Guards against a sweep that gives up, or deletes a record early, when the service goes down in
// the middle of a job or loses an answer.
Test(Sweeper, resumes_after_an_outage)
{
  Fixture fixture;
  fixture.PutExpiredJob(100);
  fixture.mStore.mBeforeTransact = [&](const auto&) {
    const auto n = fixture.mStore.mTransactions;
    fixture.mStore.mMemory.SetAvailable(n == 0 || n > 3);
  };
  const auto report = fixture.RunOnce();
  cr_assert_eq(report.mFailures, 3);
  cr_assert_eq(report.mPieces, 100);
  cr_assert_eq(report.mJobs, 1);
  fixture.PutExpiredJob(100);
  fixture.mStore.mBeforeTransact = {};
  fixture.mStore.mMemory.LoseAnswers(1);
  fixture.RunOnce();
  fixture.RunOnce();
  cr_assert(fixture.Keys().empty());
}

// Guards against a run that never ends while the service is down, and a later one that doesn't
// finish its work.
Test(Sweeper, ends_a_run_in_a_long_outage_and_repeats_it)
{
  Fixture fixture;
  fixture.PutExpiredJob(100);
  fixture.mStore.mBeforeTransact = [&](const auto&) {
    fixture.mStore.mMemory.SetAvailable(fixture.mStore.mTransactions == 0);
  };
  cr_assert_neq(fixture.RunOnce().mReason, std::string("complete"));
  fixture.mStore.mMemory.SetAvailable(true);
  // The first transaction deleted 61 pieces: 64 operations with 2 checks and room for the record.
  cr_assert_eq(fixture.Keys().size(), 40U);
  fixture.mStore.mBeforeTransact = {};
  cr_assert_eq(fixture.RunOnce().mReason, std::string("complete"));
  cr_assert(fixture.Keys().empty());
}

// Guards against a listing that is too large for the service and keeps all else from being deleted.
Test(Sweeper, goes_on_when_one_listing_fails)
{
  Fixture fixture;
  fixture.PutExpiredJob(1);
  fixture.PutChange("old", kNow - 8 * kDay);
  fixture.mStore.mFailedList = "claims/";
  cr_assert(fixture.RunOnce().mReason.starts_with("list claims/"));
  cr_assert(fixture.Keys().empty());
}

// Guards against a sweep that takes the service's writes from all other users. The period is so
// long that any second transaction shows, also that of another kind of keys.
Test(Sweeper, sends_one_transaction_in_a_period)
{
  for (const int claims : { 10, 200 }) {
    Fixture fixture(std::chrono::hours(1));
    for (int i = 0; i < claims; ++i) {
      fixture.PutClaim("claims/a/" + std::to_string(i), kNow - 2 * kDay);
    }
    fixture.PutChange("old", kNow - 8 * kDay);
    fixture.mSweeper.Start();
    // The accounts, a sample and a page, and after all claims the same of the changes.
    const auto lists = claims == 10 ? 5U : 3U;
    fixture.Until(
      [&] { return fixture.mStore.mTransactions > 0 && fixture.mStore.mLists >= lists; });
    fixture.Turns(1000);
    cr_assert_eq(fixture.mStore.mTransactions, 1U);
    cr_assert_eq(fixture.mStore.mDeletes.size(), std::min<std::size_t>(claims, 64));
    cr_assert_eq(fixture.mStore.mLists, lists);
  }
}

// Guards against a sweep that takes the service's reads from all other users: the period is so long
// that any second read shows.
Test(Sweeper, sends_one_read_in_a_period)
{
  Fixture fixture;
  fixture.PutExpiredJob(10);
  auto settings = fixture.mSettings;
  settings.mReadPeriod = std::chrono::hours(1);
  Sweeper<ObservedStore> sweeper(fixture.mLoop, fixture.mStore, fixture.mRandom, RegionId("r"),
                                 settings);
  sweeper.Start();
  fixture.Until([&] { return fixture.mStore.mLists > 0; });
  fixture.Turns(1000);
  cr_assert_eq(fixture.mStore.mLists + fixture.mStore.mGets, 1U);
}

// Guards against more calls than pages, one read of a record and one transaction for 64 keys, and
// against records that are read again in each run.
Test(Sweeper, batches_deletes_and_reads_a_record_once)
{
  Fixture fixture;
  for (int i = 0; i < 200; ++i) {
    fixture.PutClaim("claims/a/" + std::to_string(i), kNow - 2 * kDay);
  }
  fixture.PutExpiredJob(10);
  fixture.PutJob("done/r/new", jobs::JobState::Finished, 1, kNow);
  fixture.RunOnce();
  cr_assert_eq(fixture.mStore.mTransactions, 5U);
  // Accounts, regions (2), 4 samples and pages, 3 kinds of names of jobs, pieces and one sample.
  cr_assert_eq(fixture.mStore.mLists, 12U);
  cr_assert_eq(fixture.mStore.mGets, 2U);
  fixture.RunOnce();
  cr_assert_eq(fixture.mStore.mGets, 2U);
  cr_assert_eq(fixture.mStore.mTransactions, 5U);
}

// Guards against a node that goes on writing after its role was lost.
Test(Sweeper, stops_at_once)
{
  Fixture fixture;
  fixture.PutExpiredJob(200);
  fixture.mStore.mBeforeTransact = [&](const auto&) {
    fixture.mLoop.Post([&] { fixture.mSweeper.Stop(); });
  };
  const auto report = fixture.RunOnce();
  cr_assert_eq(report.mReason, std::string("stopped"));
  const auto calls = fixture.mStore.mMemory.Calls();
  fixture.Turns(1000);
  cr_assert_eq(fixture.mStore.mMemory.Calls(), calls);
  cr_assert_eq(fixture.mStore.mTransactions, 1U);
}
