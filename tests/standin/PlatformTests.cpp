#include "standin/platform/MetadataTable.h"
#include "standin/platform/RunLedger.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::standin;

namespace {

MetadataTransaction
Write(const std::string& aKey, const std::string& aValue, std::int64_t aLease = 0)
{
  MetadataTransaction write;
  write.mWrites.push_back({ aKey, aValue, aLease });
  return write;
}

} // namespace

// Guards against a checker that finds nothing: each broken history has to be found.
Test(RunLedger, finds_two_runs_of_a_task_at_a_time)
{
  RunLedger ledger;
  ledger.OnStart("a", "task", 1);
  ledger.OnStart("b", "task", 2);
  cr_assert_eq(ledger.Violations().size(), 1);
}

// Guards against two lives of a worker that nobody can tell apart, because the second begins within
// the millisecond of the first or after the clock was set back.
Test(RunLedger, gives_each_life_of_a_worker_a_later_birth)
{
  RunLedger ledger;
  cr_assert_eq(ledger.OnWorkerBorn("w1", 1000), 1000);
  cr_assert_eq(ledger.OnWorkerBorn("w1", 1000), 1001);
  cr_assert_eq(ledger.OnWorkerBorn("w1", 400), 1002);
  cr_assert_eq(ledger.OnWorkerBorn("w1", 3000), 3000);
  cr_assert_eq(ledger.OnWorkerBorn("w2", 500), 500);
}

Test(RunLedger, finds_a_start_after_an_acknowledged_end)
{
  RunLedger ledger;
  ledger.OnStart("a", "task", 1);
  ledger.OnEnd("a", "task", 1, true);
  ledger.OnAcknowledged("a", "task", 1);
  cr_assert(ledger.Violations().empty());
  ledger.OnStart("b", "task", 2);
  cr_assert_eq(ledger.Violations().size(), 1);
}

Test(RunLedger, finds_a_start_after_an_end_that_is_acknowledged_later)
{
  RunLedger ledger;
  ledger.OnStart("a", "task", 1);
  ledger.OnEnd("a", "task", 1, true);
  ledger.OnStart("b", "task", 2);
  cr_assert(ledger.Violations().empty());
  ledger.OnAcknowledged("a", "task", 1);
  cr_assert_eq(ledger.Violations().size(), 1);
}

Test(RunLedger, finds_a_start_after_a_completion_was_shown)
{
  RunLedger ledger;
  ledger.OnStart("a", "job.0.0.0", 1);
  ledger.OnEnd("a", "job.0.0.0", 1, true);
  ledger.OnWorkerGone("a");
  ledger.OnCompletionShown("job");
  ledger.OnStart("b", "other.0.0.0", 1);
  cr_assert(ledger.Violations().empty());
  ledger.OnStart("b", "job.0.0.0", 2);
  cr_assert_eq(ledger.Violations().size(), 1);
}

// Guards against a checker that finds what is allowed: a scheduler may start a task again if the
// lease of the worker that keeps its end has expired.
Test(RunLedger, allows_another_run_after_the_lease_of_an_unacknowledged_end)
{
  RunLedger ledger;
  ledger.OnStart("a", "task", 1);
  ledger.OnEnd("a", "task", 1, true);
  ledger.OnLeaseExpired("a");
  ledger.OnStart("b", "task", 2);
  ledger.OnAcknowledged("a", "task", 1);
  cr_assert(ledger.Violations().empty());
}

Test(RunLedger, allows_another_run_after_a_worker_has_gone)
{
  RunLedger ledger;
  ledger.OnStart("a", "running", 1);
  ledger.OnStart("a", "done", 1);
  ledger.OnEnd("a", "done", 1, true);
  ledger.OnWorkerGone("a");
  cr_assert(ledger.Running().empty());
  ledger.OnStart("b", "running", 2);
  ledger.OnStart("b", "done", 2);
  cr_assert(ledger.Violations().empty());
}

Test(RunLedger, allows_another_run_after_a_stop)
{
  RunLedger ledger;
  ledger.OnStart("a", "task", 1);
  ledger.OnEnd("a", "task", 1, false);
  ledger.OnAcknowledged("a", "task", 1);
  ledger.OnStart("b", "task", 2);
  cr_assert(ledger.Violations().empty());
  cr_assert_eq(ledger.AllStarts().at("task"), 2);
}

Test(MetadataTable, commits_all_or_nothing)
{
  MetadataTable table;
  cr_assert(table.Commit(Write("a", "1")) == CommitResult::Committed);
  auto late = Write("b", "2");
  late.mExpected.push_back({ "a", 0 });
  cr_assert(table.Commit(late) == CommitResult::Conflict);
  cr_assert_not(table.Get("b").has_value());
  late.mExpected[0].mRevision = table.Get("a")->mRevision;
  cr_assert(table.Commit(late) == CommitResult::Committed);
}

Test(MetadataTable, removes_the_keys_of_an_ended_lease)
{
  MetadataTable table;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  const auto lease = table.GrantLease(Duration(1000), now);
  table.Commit(Write("leader", "n", lease));
  table.ExpireLeases(now + Duration(900));
  cr_assert(table.RenewLease(lease, now + Duration(900)));
  table.ExpireLeases(now + Duration(1800));
  cr_assert(table.Get("leader").has_value());
  table.ExpireLeases(now + Duration(1900));
  cr_assert_not(table.Get("leader").has_value());
  cr_assert_not(table.RenewLease(lease, now + Duration(1900)));
}

Test(MetadataTable, tells_changes_until_its_history_is_discarded)
{
  MetadataTable table;
  table.Commit(Write("p/a", "1"));
  const auto before = table.Revision();
  table.Commit(Write("p/b", "2"));
  table.Commit(Write("q/c", "3"));
  cr_assert_eq(table.EventsAfter("p/", before)->size(), 1);
  table.DiscardHistory();
  cr_assert_not(table.EventsAfter("p/", before).has_value());
  cr_assert(table.EventsAfter("p/", table.Revision())->empty());
}

Test(MetadataTable, lists_a_prefix_in_pages)
{
  MetadataTable table;
  for (const auto* key : { "a", "p", "p/1", "p/2", "p/3", "q" }) {
    table.Commit(Write(key, "v"));
  }
  const auto first = table.Range("p/", "", 2);
  cr_assert_eq(first.size(), 2);
  const auto rest = table.Range("p/", first.back().mKey, 2);
  cr_assert_eq(rest.size(), 1);
  cr_assert_eq(rest[0].mKey, std::string("p/3"));
  cr_assert_eq(table.Range("p", "", 10).size(), 4);
}
