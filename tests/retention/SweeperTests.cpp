#include "RetentionFixture.h"

using namespace lovagerock;
using namespace lovagerock::retention;

// Guards against keys that are deleted before they expire, for each kind of key and state of a job.
Test(Sweeper, deletes_expired_keys_only)
{
  Fixture fixture;
  fixture.PutClaim("claims/a/old", kNowMs - kDayMs);
  fixture.PutClaim("claims/a/new", kNowMs - kDayMs + 1);
  fixture.PutChange("old", kNowMs - 7 * kDayMs);
  fixture.PutChange("new", kNowMs - 7 * kDayMs + 1);
  fixture.PutJob("done/r/old", jobs::JobState::Finished, 2, kNowMs - 7 * kDayMs);
  fixture.PutJob("done/r/new", jobs::JobState::Finished, 2, kNowMs - 7 * kDayMs + 1);
  fixture.PutJob("done/other/far", jobs::JobState::Finished, 1, kNowMs - 9 * kDayMs);
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

// Guards against orphaned pieces, and records without a time (as older releases wrote them), that
// are kept forever or deleted before the retention time has passed since this planner first saw
// them. The pieces of a job without a record that still writes are kept.
Test(Sweeper, expires_keys_without_a_time_by_when_first_seen)
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
  fixture.mNowMs = kNowMs + 7 * kDayMs - 1;
  fixture.Put("answers/gone/1.0/0", "rewritten");
  fixture.RunOnce();
  expected.erase("claims/a/damaged");
  cr_assert_eq(fixture.Keys(), expected);
  fixture.mNowMs = kNowMs + 7 * kDayMs;
  cr_assert_eq(fixture.RunOnce().mOrphans, 2);
  for (const auto* it :
       { "changes/old-release", "done/r/damaged", "answers/lost/1.0/0", "answers/lost/2.0/0" }) {
    expected.erase(it);
  }
  cr_assert_eq(fixture.Keys(), expected);
}

// Guards against deleting a claim that is written again between the listing and the delete.
Test(Sweeper, keeps_a_claim_that_changed_after_the_listing)
{
  Fixture fixture;
  fixture.PutClaim("claims/a/k", kNowMs - 2 * kDayMs);
  fixture.PutClaim("claims/a/l", kNowMs - 2 * kDayMs);
  fixture.mStore.mBeforeTransact = [&](const auto&) { fixture.PutClaim("claims/a/k", kNowMs); };
  const auto report = fixture.RunOnce();
  cr_assert_eq(fixture.Keys(), (std::set<std::string>{ "claims/a/k" }));
  cr_assert_eq(report.mSkipped, 1);
  cr_assert_eq(report.mClaims, 1);
}

// Guards against a record that is deleted before its answer pieces: after an interruption, later
// runs could not tell any more that the remaining pieces belong to an expired job.
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
      fixture.PutJob("done/other/far", jobs::JobState::Finished, 1, kNowMs);
      fixture.PutExpiredJob(100);
      if (isOrphan) {
        fixture.mStore.mMemory.Transact({ { kv::Operation::Kind::Delete, "done/r/j", "", 0 } },
                                        [](std::error_code, const kv::TransactionResult&) {});
        fixture.RunOnce();
        fixture.mNowMs += 7 * kDayMs;
      }
      auto expected = fixture.Keys();
      expected.insert(record);
      fixture.mStore.mBeforeTransact = [&](const auto&) {
        fixture.PutJob(record, jobs::JobState::Finished, 1, fixture.mNowMs);
      };
      cr_assert_eq(fixture.RunOnce().mSkipped, 1);
      cr_assert_eq(fixture.Keys(), expected, "%s", record);
    }
  }
}

// Guards against deleting an orphaned piece that its job writes again between the read and the
// delete.
Test(Sweeper, keeps_an_orphaned_piece_that_changed_after_the_read)
{
  Fixture fixture;
  fixture.Put("answers/j/1.0/0", "x");
  fixture.RunOnce();
  fixture.mNowMs += 7 * kDayMs;
  fixture.mStore.mBeforeTransact = [&](const auto&) { fixture.Put("answers/j/1.0/0", "y"); };
  cr_assert_eq(fixture.RunOnce().mSkipped, 1);
  cr_assert_eq(fixture.Keys().size(), 1U);
}

// Guards against deleting the answers of a job in another region that has the same id as an expired
// job.
Test(Sweeper, keeps_answers_of_a_job_id_that_another_region_uses)
{
  Fixture fixture;
  fixture.PutExpiredJob(2);
  fixture.PutJob("jobs/other/j", jobs::JobState::Started, 1, 0);
  fixture.RunOnce();
  cr_assert_eq(fixture.Keys(),
               (std::set<std::string>{ "answers/j/1.0/0", "answers/j/1.1/0", "jobs/other/j" }));
}

// Guards against a sweep that ends early, or deletes a record before its pieces, when the key-value
// service is down in the middle of a job's deletion or the response to a transaction is lost.
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

// Guards against a run that never ends while the service is down, and a later run that doesn't
// delete the rest.
Test(Sweeper, ends_a_run_in_a_long_outage_and_completes_the_next_one)
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

// Guards against one listing that fails, e.g. because it is too large, and keeps the other kinds of
// keys from being deleted.
Test(Sweeper, sweeps_other_keys_when_one_listing_fails)
{
  Fixture fixture;
  fixture.PutExpiredJob(1);
  fixture.PutChange("old", kNowMs - 8 * kDayMs);
  fixture.mStore.mFailingPrefix = "claims/";
  cr_assert(fixture.RunOnce().mReason.starts_with("list claims/"));
  cr_assert(fixture.Keys().empty());
}

// Guards against a sweep that uses up the service's write rate for all other clients. The period is
// so long that any second transaction is noticed, also one for another kind of keys.
Test(Sweeper, sends_at_most_one_transaction_per_period)
{
  for (const int claims : { 10, 200 }) {
    Fixture fixture(std::chrono::hours(1));
    for (int i = 0; i < claims; ++i) {
      fixture.PutClaim("claims/a/" + std::to_string(i), kNowMs - 2 * kDayMs);
    }
    fixture.PutChange("old", kNowMs - 8 * kDayMs);
    fixture.mSweeper.Start();
    // Listings: the client accounts, then a sample and a page of the claims and, if one transaction
    // deletes all claims, a sample and a page of the changes.
    const auto lists = claims == 10 ? 5U : 3U;
    fixture.RunUntil(
      [&] { return fixture.mStore.mTransactions > 0 && fixture.mStore.mLists >= lists; });
    fixture.RunTurns(1000);
    cr_assert_eq(fixture.mStore.mTransactions, 1U);
    cr_assert_eq(fixture.mStore.mDeletes.size(), std::min<std::size_t>(claims, 64));
    cr_assert_eq(fixture.mStore.mLists, lists);
  }
}

// Guards against a sweep that uses up the service's read rate for all other clients. The period is
// so long that any second read is noticed.
Test(Sweeper, sends_at_most_one_read_per_period)
{
  Fixture fixture;
  fixture.PutExpiredJob(10);
  auto settings = fixture.mSettings;
  settings.mReadPeriod = std::chrono::hours(1);
  Sweeper<ObservedStore> sweeper(fixture.mLoop, fixture.mStore, fixture.mRandom, RegionId("r"),
                                 settings);
  sweeper.Start();
  fixture.RunUntil([&] { return fixture.mStore.mLists > 0; });
  fixture.RunTurns(1000);
  cr_assert_eq(fixture.mStore.mLists + fixture.mStore.mGets, 1U);
}

// Guards against more calls than one listing for each page, one read for each record and one
// transaction for 64 keys, and against records that are read again in each run.
Test(Sweeper, batches_deletes_and_reads_a_record_once)
{
  Fixture fixture;
  for (int i = 0; i < 200; ++i) {
    fixture.PutClaim("claims/a/" + std::to_string(i), kNowMs - 2 * kDayMs);
  }
  fixture.PutExpiredJob(10);
  fixture.PutJob("done/r/new", jobs::JobState::Finished, 1, kNowMs);
  fixture.RunOnce();
  cr_assert_eq(fixture.mStore.mTransactions, 5U);
  // Client accounts (1), regions (2), samples and pages of claims and changes (4), sample of done
  // jobs (1), names of answers, live and done jobs (3), pieces of the expired job (1).
  cr_assert_eq(fixture.mStore.mLists, 12U);
  cr_assert_eq(fixture.mStore.mGets, 2U);
  fixture.RunOnce();
  cr_assert_eq(fixture.mStore.mGets, 2U);
  cr_assert_eq(fixture.mStore.mTransactions, 5U);
}

// Guards against a node that makes further calls after it has lost the planner role.
Test(Sweeper, makes_no_call_after_stop)
{
  Fixture fixture;
  fixture.PutExpiredJob(200);
  fixture.mStore.mBeforeTransact = [&](const auto&) {
    fixture.mLoop.Post([&] { fixture.mSweeper.Stop(); });
  };
  const auto report = fixture.RunOnce();
  cr_assert_eq(report.mReason, std::string("stopped"));
  const auto calls = fixture.mStore.mMemory.Calls();
  fixture.RunTurns(1000);
  cr_assert_eq(fixture.mStore.mMemory.Calls(), calls);
  cr_assert_eq(fixture.mStore.mTransactions, 1U);
}
