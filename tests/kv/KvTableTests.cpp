#include "standin/kv/KvTable.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::standin;

// Guards against a transaction of which a part takes effect.
Test(KvTable, rolls_a_failed_transaction_back)
{
  KvTable table;
  table.Put("a", "old", {});
  const auto before = table.IndexOf("a");
  using Verb = KvOperation::Verb;
  const auto result = table.Transact({ { Verb::Set, "a", "new", 0, 0 },
                                       { Verb::Cas, "a", "newer", 0, 99 },
                                       { Verb::Delete, "a", "", 0, 0 } });
  cr_assert_eq(result.mErrors.size(), 1);
  cr_assert_eq(result.mErrors[0].mOperation, 1);
  cr_assert_eq(table.Get("a")->mValue, std::string("old"));
  cr_assert_eq(table.IndexOf("a"), before);
}

// Guards against two creators that both believe to have won.
Test(KvTable, creates_only_once_with_index_zero)
{
  KvTable table;
  cr_assert(table.Put("a", "1", 0));
  cr_assert_not(table.Put("a", "2", 0));
  cr_assert(table.Put("a", "3", table.IndexOf("a")));
}

// Guards against a watcher that misses a deletion.
Test(KvTable, raises_the_index_of_a_deleted_key)
{
  KvTable table;
  table.Put("a", "1", {});
  const auto index = table.IndexOf("a");
  table.Delete("a", {});
  cr_assert_gt(table.IndexOf("a"), index);
  cr_assert_gt(table.IndexOfPrefix(""), index);
}

// Guards against an index that is given out twice, which would let a stale compare-and-swap pass.
Test(KvTable, does_not_reuse_an_index_after_a_restore)
{
  KvTable table;
  table.Put("a", "1", {});
  const KvTable snapshot = table;
  table.Put("a", "2", {});
  const auto index = table.IndexOf("a");
  table.Restore(snapshot);
  cr_assert_eq(table.Get("a")->mValue, std::string("1"));
  table.Put("a", "3", {});
  cr_assert_gt(table.IndexOf("a"), index);
}

// Guards against a lock that outlives its holder's lease.
Test(KvTable, releases_locks_when_a_session_lapses)
{
  KvTable table;
  const TimePoint start{};
  const auto first = table.CreateSession(Duration(1000), false, start);
  const auto second = table.CreateSession(Duration(0), false, start);
  cr_assert(table.Acquire("lock", "1", first));
  cr_assert_not(table.Acquire("lock", "2", second));
  cr_assert(table.RenewSession(first, start + Duration(900)));
  cr_assert_not(table.ExpireSessions(start + Duration(1500)));
  cr_assert(table.ExpireSessions(start + Duration(2000)));
  cr_assert_not(table.RenewSession(first, start + Duration(2000)));
  cr_assert(table.Acquire("lock", "2", second));
  cr_assert(table.Release("lock", "2", second));
}

// Guards against a listing that gives every piece of every answer in place of the jobs.
Test(KvTable, lists_names_up_to_the_separator)
{
  KvTable table;
  for (const auto* it : { "a/x", "a/y/1", "a/y/2", "a/z", "b" }) {
    table.Put(it, "1", {});
  }
  cr_assert_eq(table.ListNames("a/", "/"), (std::vector<std::string>{ "a/x", "a/y/", "a/z" }));
  cr_assert_eq(table.ListNames("a/y", ""), (std::vector<std::string>{ "a/y/1", "a/y/2" }));
}
