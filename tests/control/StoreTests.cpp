#include "FakeStore.h"
#include "base/Random.h"
#include "control/Election.h"
#include "control/PrefixWatch.h"
#include "control/ProgressWriter.h"

#include <criterion/criterion.h>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::control;

namespace {

// Time limit of a wait; long enough for a loaded machine.
constexpr Duration kLimit{ 20000 };

struct Fixture
{
  // Runs the loop until the condition holds; fails the test if it never does.
  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    const auto limit = std::chrono::steady_clock::now() + kLimit;
    const auto check = mLoop.Every(Duration(2), [&] {
      if (aCondition() || std::chrono::steady_clock::now() > limit) {
        mLoop.Stop();
      }
    });
    if (!aCondition()) {
      mLoop.Run();
    }
    cr_assert(aCondition());
  }

  EventLoop mLoop;
  FakeStore mStore{ mLoop };
};

} // namespace

Test(PrefixWatch, lists_all_pages_and_then_reports_changes)
{
  Fixture f;
  f.mStore.mPageSize = 2;
  for (const auto* key : { "p/a", "p/b", "p/c", "q/x" }) {
    f.mStore.Put(key, "1");
  }
  std::size_t listed = 0;
  std::vector<kv::ItemEvent> events;
  WatchCallbacks callbacks;
  callbacks.mOnList = [&](const auto& aItems) { listed = aItems.size(); };
  callbacks.mOnEvent = [&](const auto& aEvent) { events.push_back(aEvent); };
  PrefixWatch watch(f.mLoop, f.mStore, "p/", std::move(callbacks));
  f.RunUntil([&] { return listed == 3; });
  f.mStore.Put("p/d", "2");
  f.mStore.Put("q/y", "2");
  f.RunUntil([&] { return !events.empty(); });
  cr_assert_eq(events.size(), 1);
  cr_assert_eq(events[0].mKey, std::string("p/d"));
}

// Guards against a listing that never ends over a bad connection, because each failed page begins
// it anew.
Test(PrefixReader, reads_a_failed_page_again)
{
  Fixture f;
  f.mStore.mPageSize = 1;
  f.mStore.mPagesToFail = 2;
  for (const auto* key : { "p/a", "p/b", "p/c" }) {
    f.mStore.Put(key, "1");
  }
  std::vector<std::string> read;
  bool hasEnded = false;
  ReaderCallbacks callbacks;
  callbacks.mOnItems = [&](const std::vector<kv::Item>& aItems, kv::Revision) {
    for (const auto& it : aItems) {
      read.push_back(it.mKey);
    }
  };
  callbacks.mOnEnd = [&] { hasEnded = true; };
  PrefixReader reader(f.mLoop, f.mStore, "p/", std::move(callbacks));
  reader.Start();
  f.RunUntil([&] { return hasEnded; });
  cr_assert_eq(read, (std::vector<std::string>{ "p/a", "p/b", "p/c" }));
  cr_assert_eq(f.mStore.mLists, 5);
}

// Guards against a leader that loses its lease while it works through a page of many jobs, and so
// never gets through its listing on a slow machine: other events are served meanwhile.
Test(PrefixReader, serves_other_events_while_it_passes_on_a_page)
{
  Fixture f;
  constexpr int kItems = 400;
  f.mStore.mPageSize = kItems;
  for (int i = 0; i < kItems; ++i) {
    f.mStore.Put("p/" + std::to_string(i), "1");
  }
  int read = 0;
  int readWhenServed = 0;
  bool hasEnded = false;
  ReaderCallbacks callbacks;
  callbacks.mOnItems = [&](const std::vector<kv::Item>& aItems, kv::Revision) {
    if (read == 0) {
      f.mLoop.Post([&] { readWhenServed = read; });
    }
    read += static_cast<int>(aItems.size());
    std::this_thread::sleep_for(kMaxListWork);
  };
  callbacks.mOnEnd = [&] { hasEnded = true; };
  PrefixReader reader(f.mLoop, f.mStore, "p/", std::move(callbacks));
  reader.Start();
  f.RunUntil([&] { return hasEnded; });
  cr_assert_eq(read, kItems);
  cr_assert_eq(readWhenServed, static_cast<int>(kListedAtATime));
}

// Guards against a node that takes its view for old, and refuses requests, although it has just
// been listed: the first attempts failed in an outage of the store.
Test(PrefixWatch, confirms_a_listing_from_the_attempt_that_succeeded)
{
  Fixture f;
  f.mStore.mIsDown = true;
  std::optional<Duration> confirmed;
  WatchCallbacks callbacks;
  callbacks.mOnList = [](const auto&) {};
  callbacks.mOnEvent = [](const auto&) {};
  callbacks.mOnConfirmed = [&](Duration aTime) { confirmed = confirmed.value_or(aTime); };
  PrefixWatch watch(f.mLoop, f.mStore, "p/", std::move(callbacks));
  f.RunUntil([&] { return f.mStore.mFailedLists == 3; });
  const auto end = BootTime();
  f.mStore.mIsDown = false;
  f.RunUntil([&] { return confirmed.has_value(); });
  cr_assert_geq(confirmed->count(), end.count());
}

// Guards against missing changes when the store drops its history.
Test(PrefixWatch, lists_again_when_the_history_is_gone)
{
  Fixture f;
  std::map<std::string, kv::Item> listed;
  int lists = 0;
  WatchCallbacks callbacks;
  callbacks.mOnList = [&](const auto& aItems) {
    listed = aItems;
    ++lists;
  };
  callbacks.mOnEvent = [](const auto&) {};
  PrefixWatch watch(f.mLoop, f.mStore, "p/", std::move(callbacks));
  f.RunUntil([&] { return lists == 1; });
  f.mStore.PutWithoutNotification("p/a", "1");
  f.mStore.Compact();
  f.RunUntil([&] { return lists == 2; });
  cr_assert(listed.contains("p/a"));
}

Test(PrefixWatch, resumes_after_an_outage)
{
  Fixture f;
  f.mStore.mIsDown = true;
  int lists = 0;
  WatchCallbacks callbacks;
  callbacks.mOnList = [&](const auto&) { ++lists; };
  callbacks.mOnEvent = [](const auto&) {};
  PrefixWatch watch(f.mLoop, f.mStore, "p/", std::move(callbacks));
  f.RunUntil([&] { return f.mStore.mLists >= 2; });
  cr_assert_eq(lists, 0);
  f.mStore.mIsDown = false;
  f.RunUntil([&] { return lists == 1; });
}

// Guards against one watch call per change when changes are frequent.
Test(PrefixWatch, reads_frequent_changes_in_one_call)
{
  Fixture f;
  int lists = 0;
  int events = 0;
  WatchCallbacks callbacks;
  callbacks.mOnList = [&](const auto&) { ++lists; };
  int before = 0;
  callbacks.mOnEvent = [&](const auto&) {
    if (++events == 1) {
      before = f.mStore.mWatchCalls;
      for (int i = 0; i < 20; ++i) {
        f.mStore.Put("p/" + std::to_string(i), "1");
      }
    }
  };
  PrefixWatch watch(f.mLoop, f.mStore, "p/", std::move(callbacks), Duration(50));
  f.RunUntil([&] { return lists == 1; });
  f.mStore.Put("p/first", "1");
  f.RunUntil([&] { return events == 21; });
  cr_assert_eq(f.mStore.mWatchCalls, before + 1);
}

namespace {

// Returns how many of the writes aren't awaited any more; fails if one of these isn't stored.
std::size_t
CountStored(const FakeStore& aStore, const std::vector<kv::ConditionalWrites::Write>& aWrites,
            const AwaitedRecords& aAwaited)
{
  std::size_t stored = 0;
  for (const auto& it : aWrites) {
    const bool isAwaited = aAwaited.Contains(it.mKey);
    cr_assert(isAwaited || aStore.mItems.contains(it.mKey));
    stored += isAwaited ? 0 : 1;
  }
  return stored;
}

} // namespace

// Guards against overwriting newer progress when the store applies an older write late.
Test(ProgressWriter, prevents_a_late_batch_from_overwriting_a_newer_one)
{
  Fixture f;
  f.mStore.Put(std::string(kLeaderKey), "{}");
  const auto leader = f.mStore.mItems.at(std::string(kLeaderKey)).mRevision;
  ProgressWriter writer(f.mStore, { std::string(kLeaderKey), leader }, kv::Revision());
  std::vector<bool> results;
  const auto done = [&](bool aIsStored) { results.push_back(aIsStored); };
  f.mStore.mWritesToDelay = 1;
  writer.StoreBatch({ { KeyOf(kProgressPrefix, JobId("j")), "old", {} } }, {}, done);
  f.RunUntil([&] { return results.size() == 1; });
  cr_assert_not(results[0]);
  writer.StoreBatch({ { KeyOf(kProgressPrefix, JobId("j")), "new", {} } }, {}, done);
  f.RunUntil([&] { return results.size() == 2; });
  cr_assert(results[1]);
  cr_assert_eq(f.mStore.ApplyDelayedWrites(), 0);
  cr_assert_eq(f.mStore.mItems.at("progress/job/j").mValue, std::string("new"));
}

Test(ProgressWriter, recovers_from_a_write_whose_answer_was_lost)
{
  Fixture f;
  f.mStore.Put(std::string(kLeaderKey), "{}");
  const auto leader = f.mStore.mItems.at(std::string(kLeaderKey)).mRevision;
  ProgressWriter writer(f.mStore, { std::string(kLeaderKey), leader }, kv::Revision());
  int failures = 0;
  bool isStored = false;
  std::function<void(bool)> done;
  const auto begin = [&] {
    writer.StoreBatch({ { KeyOf(kProgressPrefix, JobId("j")), "text", {} } }, {}, done);
  };
  done = [&](bool aIsStored) {
    isStored = aIsStored;
    if (!aIsStored && ++failures < 3) {
      f.mLoop.Post(begin);
    }
  };
  f.mStore.mLoseAnswers = 1;
  begin();
  f.RunUntil([&] { return isStored; });
}

// Guards against starts that wait for a second retry of the write that records them: the answer of
// the first write was lost, and the next one finds that it was applied.
Test(ProgressWriter, writes_again_at_once_after_a_write_whose_answer_was_lost)
{
  Fixture f;
  f.mStore.Put(std::string(kLeaderKey), "{}");
  const auto leader = f.mStore.mItems.at(std::string(kLeaderKey)).mRevision;
  ProgressWriter writer(f.mStore, { std::string(kLeaderKey), leader }, kv::Revision());
  std::vector<bool> outcomes;
  const auto store = [&](const char* aText) {
    writer.StoreBatch({ { KeyOf(kProgressPrefix, JobId("j")), aText, {} } }, {},
                      [&](bool aIsStored) { outcomes.push_back(aIsStored); });
  };
  f.mStore.mLoseAnswers = 1;
  store("first");
  f.RunUntil([&] { return outcomes.size() == 1; });
  store("second");
  f.RunUntil([&] { return outcomes.size() == 2; });
  cr_assert_eq(outcomes, (std::vector<bool>{ false, true }));
  cr_assert_eq(f.mStore.mItems.at("progress/job/j").mValue, std::string("second"));
}

// Guards against writes of a former leader: it must not take the batches of its successor for its
// own.
Test(ProgressWriter, stores_nothing_after_another_leader_has_stored_a_batch)
{
  Fixture f;
  f.mStore.Put(std::string(kLeaderKey), "{}");
  const auto leader = f.mStore.mItems.at(std::string(kLeaderKey)).mRevision;
  ProgressWriter writer(f.mStore, { std::string(kLeaderKey), leader }, kv::Revision());
  f.mStore.Put(std::string(kLeaderKey), "{}");
  f.mStore.Put(std::string(kBatchKey), "1");
  std::optional<bool> outcome;
  writer.StoreBatch({ { KeyOf(kProgressPrefix, JobId("j")), "text", {} } }, {},
                    [&](bool aIsStored) { outcome = aIsStored; });
  f.RunUntil([&] { return outcome.has_value(); });
  cr_assert_not(*outcome);
  cr_assert_not(f.mStore.mItems.contains("progress/job/j"));
}

// Guards against transactions of large records that take many times their size in memory.
Test(ProgressWriter, splits_large_records_into_several_transactions)
{
  Fixture f;
  f.mStore.Put(std::string(kLeaderKey), "{}");
  const auto leader = f.mStore.mItems.at(std::string(kLeaderKey)).mRevision;
  ProgressWriter writer(f.mStore, { std::string(kLeaderKey), leader }, kv::Revision());
  constexpr int kWrites = 6;
  std::vector<kv::ConditionalWrites::Write> writes;
  writes.reserve(kWrites);
  for (int i = 0; i < kWrites; ++i) {
    writes.push_back({ "large" + std::to_string(i), std::string(300 * 1024, 'x'), {} });
  }
  bool isStored = false;
  std::vector<std::size_t> parts;
  writer.StoreBatch(
    writes, { "old" }, [&](bool aIsStored) { isStored = aIsStored; },
    [&](const auto& aAwaited) { parts.push_back(CountStored(f.mStore, writes, aAwaited)); });
  f.RunUntil([&] { return isStored; });
  cr_assert_eq(parts, (std::vector<std::size_t>{ 2, 4, 6 }));
}

Test(ProgressWriter, splits_a_large_batch_into_several_transactions)
{
  Fixture f;
  f.mStore.Put(std::string(kLeaderKey), "{}");
  const auto leader = f.mStore.mItems.at(std::string(kLeaderKey)).mRevision;
  ProgressWriter writer(f.mStore, { std::string(kLeaderKey), leader }, kv::Revision());
  constexpr int kWrites = 70;
  std::vector<kv::ConditionalWrites::Write> writes;
  writes.reserve(kWrites);
  for (int i = 0; i < kWrites; ++i) {
    writes.push_back({ KeyOf(kProgressPrefix, JobId("j" + std::to_string(i))), "text", {} });
  }
  bool isStored = false;
  std::vector<std::size_t> parts;
  writer.StoreBatch(
    writes, { "requests/job/old" }, [&](bool aIsStored) { isStored = aIsStored; },
    [&](const auto& aAwaited) { parts.push_back(CountStored(f.mStore, writes, aAwaited)); });
  f.RunUntil([&] { return isStored; });
  cr_assert(f.mStore.mItems.contains("progress/job/j69"));
  cr_assert_eq(parts, (std::vector<std::size_t>{ 29, 58, 70 }));
}

namespace {

// A writer that stores a batch of three transactions.
struct LongBatchFixture : Fixture
{
  LongBatchFixture()
  {
    mStore.Put(std::string(kLeaderKey), "{}");
    const auto leader = mStore.mItems.at(std::string(kLeaderKey)).mRevision;
    mWriter.emplace(mStore, kv::ConditionalWrites::Condition{ std::string(kLeaderKey), leader },
                    kv::Revision());
    mStore.mWriteTime = Duration(20);
    mWriter->StoreBatch(
      Writes(0, "old"), {}, [this](bool aIsStored) { mBatch = aIsStored; },
      [this](const AwaitedRecords& aAwaited) {
        mAwaitedOfReplaced.emplace_back(aAwaited.Contains(Key(40)),
                                        mStore.mItems.contains(Key(40)));
      });
  }

  static constexpr int kWrites = 70;

  // The writes of the batch's keys from the given one on.
  static std::vector<kv::ConditionalWrites::Write> Writes(int aFirst, const std::string& aValue)
  {
    std::vector<kv::ConditionalWrites::Write> writes;
    writes.reserve(kWrites);
    for (int i = aFirst; i < kWrites; ++i) {
      writes.push_back({ Key(i), aValue, {} });
    }
    return writes;
  }

  static std::string Key(int aJob) { return KeyOf(kProgressPrefix, JobId(std::to_string(aJob))); }

  std::optional<ProgressWriter<FakeStore>> mWriter;
  std::optional<bool> mBatch;
  std::optional<bool> mFirst;
  // After each transaction: whether the record of job 40 was awaited, and whether it was stored.
  std::vector<std::pair<bool, bool>> mAwaitedOfReplaced;
};

} // namespace

// Guards against records that a start waits for until all of a long batch is stored.
Test(ProgressWriter, stores_urgent_writes_before_the_rest_of_a_batch)
{
  LongBatchFixture f;
  f.mWriter->StoreFirst({ { "progress/job/urgent", "text", {} } },
                        [&](bool aIsStored) { f.mFirst = aIsStored; });
  f.RunUntil([&] { return f.mFirst.has_value(); });
  cr_assert(*f.mFirst);
  const auto& items = f.mStore.mItems;
  cr_assert_eq(items.at("progress/job/urgent").mRevision.Value(),
               items.at(LongBatchFixture::Key(0)).mRevision.Value() + 1,
               "the next transaction after the one that was under way");
  cr_assert_not(f.mBatch.has_value());
  f.RunUntil([&] { return f.mBatch.has_value(); });
  cr_assert(*f.mBatch);
  cr_assert(f.mStore.mItems.contains(LongBatchFixture::Key(69)));
}

// Guards against ends that are never acknowledged while starts are planned without a pause.
Test(ProgressWriter, stores_a_batch_beside_urgent_writes_without_end)
{
  LongBatchFixture f;
  constexpr int kManyWrites = 40;
  int n = 0;
  std::function<void(bool)> storeAgain = [&](bool) {
    if (!f.mBatch && ++n < kManyWrites) {
      f.mWriter->StoreFirst({ { "progress/job/urgent", std::to_string(n), {} } }, storeAgain);
    }
  };
  storeAgain(true);
  f.RunUntil([&] { return f.mBatch.has_value(); });
  cr_assert(*f.mBatch);
  cr_assert_lt(n, kManyWrites);
}

// Guards against progress that an earlier value overwrites: of the transaction under way, which the
// store refuses at first, or of the rest of the batch.
Test(ProgressWriter, keeps_urgent_writes_of_keys_that_the_batch_has_too)
{
  LongBatchFixture f;
  // As an earlier transaction of this writer does that is applied late.
  f.mStore.Put(std::string(kBatchKey), "late");
  f.mWriter->StoreFirst(
    { { LongBatchFixture::Key(0), "new", {} }, { LongBatchFixture::Key(69), "new", {} } },
    [&f](bool aIsStored) { f.mFirst = aIsStored; });
  f.RunUntil([&] { return f.mBatch.has_value(); });
  cr_assert(*f.mFirst);
  cr_assert(*f.mBatch);
  cr_assert_eq(f.mStore.mItems.at(LongBatchFixture::Key(0)).mValue, "new");
  cr_assert_eq(f.mStore.mItems.at(LongBatchFixture::Key(68)).mValue, "old");
  cr_assert_eq(f.mStore.mItems.at(LongBatchFixture::Key(69)).mValue, "new");
}

// Guards against ends that are acknowledged before any record of them is stored: the urgent writes
// have replaced all that was left of the batch.
Test(ProgressWriter, finishes_a_batch_only_once_what_has_replaced_its_rest_is_stored)
{
  LongBatchFixture f;
  // The batch's first transaction, which is under way, has 29 writes.
  const auto urgent = LongBatchFixture::Writes(29, "new");
  f.mWriter->StoreFirst(urgent, [&f](bool aIsStored) { f.mFirst = aIsStored; });
  f.RunUntil([&] {
    const auto isStored = [&f](const auto& aIt) { return f.mStore.mItems.contains(aIt.mKey); };
    cr_assert(!f.mBatch || std::all_of(urgent.begin(), urgent.end(), isStored));
    return f.mBatch && f.mFirst;
  });
  cr_assert(*f.mBatch);
  cr_assert(*f.mFirst);
}

// Guards against the same if the urgent writes are not stored after all.
Test(ProgressWriter, fails_a_batch_whose_whole_rest_was_replaced_by_writes_that_fail)
{
  LongBatchFixture f;
  f.mWriter->StoreFirst(LongBatchFixture::Writes(0, "new"),
                        [&f](bool aIsStored) { f.mFirst = aIsStored; });
  f.RunUntil([&] { return f.mStore.mWrites == 2; });
  f.mStore.mIsDown = true;
  f.RunUntil([&] { return f.mBatch && f.mFirst; });
  cr_assert_not(*f.mFirst);
  cr_assert_not(*f.mBatch);
}

// Guards against starts whose runs no stored record names: they are released by the records that
// the batch still awaits, and one that is replaced is awaited until the newer one is stored.
Test(ProgressWriter, tells_which_replaced_records_are_still_awaited)
{
  LongBatchFixture f;
  f.mWriter->StoreFirst({ { LongBatchFixture::Key(40), "new", {} } },
                        [&f](bool aIsStored) { f.mFirst = aIsStored; });
  f.RunUntil([&] { return f.mBatch.has_value(); });
  cr_assert_gt(f.mAwaitedOfReplaced.size(), 1);
  for (const auto& [isAwaited, isStored] : f.mAwaitedOfReplaced) {
    cr_assert_eq(isAwaited, !isStored);
  }
  cr_assert(f.mAwaitedOfReplaced.front().first);
}

// Guards against a batch that counts as stored without the writes that urgent ones have replaced.
Test(ProgressWriter, fails_both_if_the_urgent_writes_are_not_stored)
{
  LongBatchFixture f;
  f.mWriter->StoreFirst({ { LongBatchFixture::Key(69), "new", {} } },
                        [&f](bool aIsStored) { f.mFirst = aIsStored; });
  f.mStore.mIsDown = true;
  f.RunUntil([&] { return f.mBatch.has_value(); });
  cr_assert_not(*f.mFirst);
  cr_assert_not(*f.mBatch);
  cr_assert(f.mWriter->IsFailing());
  cr_assert_not(f.mWriter->IsBusy());
}

namespace {

struct Candidate
{
  Candidate(Fixture& aFixture, const std::string& aName, double aCores = 0.25)
  {
    mSettings.mCores = aCores;
    mSettings.mNode = NodeId(aName);
    mSettings.mPeers = SocketAddress("127.0.0.1", 7000);
    ElectionCallbacks callbacks;
    callbacks.mOnElected = [this](FencingToken aToken) { mTokens.push_back(aToken); };
    callbacks.mOnLost = [this](const char*) { ++mLost; };
    mElection.emplace(aFixture.mLoop, aFixture.mStore, mRandom, mSettings, std::move(callbacks));
  }

  ControlSettings mSettings;
  Random mRandom{ 7 };
  std::vector<FencingToken> mTokens;
  int mLost = 0;
  std::optional<Election<FakeStore>> mElection;
};

} // namespace

Test(Election, elects_one_leader_and_another_one_when_it_resigns)
{
  Fixture f;
  Candidate a(f, "a");
  Candidate b(f, "b");
  f.RunUntil([&] { return a.mElection->IsLeader() || b.mElection->IsLeader(); });
  auto& first = a.mElection->IsLeader() ? a : b;
  auto& second = a.mElection->IsLeader() ? b : a;
  f.RunUntil([&] { return second.mElection->LeaderAddress().has_value(); });
  cr_assert_not(second.mElection->IsLeader());
  first.mElection->Withdraw();
  f.RunUntil([&] { return second.mElection->IsLeader(); });
  cr_assert_gt(second.mTokens.at(0), first.mTokens.at(0));
  cr_assert_eq(first.mLost, 1);
}

// Guards against stopping all work in an outage of the whole store, in which no other node can take
// over.
Test(Election, stays_leader_in_a_short_outage_of_the_store)
{
  Fixture f;
  Candidate a(f, "a");
  f.RunUntil([&] { return a.mElection->IsLeader(); });
  f.mStore.mIsDown = true;
  const auto until = std::chrono::steady_clock::now() + 3 * kLeadershipRenewal;
  f.RunUntil([&] { return std::chrono::steady_clock::now() > until; });
  cr_assert(a.mElection->IsLeader());
  f.mStore.mIsDown = false;
  f.mStore.ExpireLease(kv::StoreLease(1));
  f.RunUntil([&] { return a.mTokens.size() == 2; });
  cr_assert_gt(a.mTokens[1], a.mTokens[0]);
}

// Guards against electing the smallest machine, which can't keep up with the workers' reports.
Test(Election, prefers_the_larger_machine)
{
  Fixture f;
  Candidate small(f, "small", 0.05);
  Candidate large(f, "large", 0.5);
  f.RunUntil([&] { return small.mElection->IsLeader() || large.mElection->IsLeader(); });
  cr_assert(large.mElection->IsLeader());
}

// Guards against requesting the hand-over from a node that wasn't the last leader.
Test(Election, reports_the_former_leader)
{
  Fixture f;
  Candidate a(f, "a");
  f.RunUntil([&] { return a.mElection->IsLeader(); });
  cr_assert(a.mElection->FormerLeaders().empty());
  Candidate b(f, "b");
  f.RunUntil([&] { return b.mElection->LeaderAddress().has_value(); });
  a.mElection->Withdraw();
  f.RunUntil([&] { return b.mElection->IsLeader(); });
  const auto former = b.mElection->FormerLeaders();
  cr_assert_eq(former.size(), 1);
  cr_assert_eq(former[0].mToken, a.mTokens.at(0));
  cr_assert_eq(former[0].mNode, NodeId("a"));
  cr_assert(former[0].mAddress.has_value());
}

// Simulates a leadership whose leader key this node didn't see. Guards against claims that are
// refused forever, and against requesting the hand-over from the leader before that leadership.
Test(Election, reports_no_former_leader_after_a_leadership_it_did_not_observe)
{
  Fixture f;
  Candidate a(f, "a");
  f.RunUntil([&] { return a.mElection->IsLeader(); });
  Candidate b(f, "b");
  f.RunUntil([&] { return b.mElection->LeaderAddress().has_value(); });
  f.mStore.PutWithoutNotification(std::string(kLastLeaderKey), "c");
  a.mElection->Withdraw();
  f.RunUntil([&] { return b.mElection->IsLeader(); });
  const auto former = b.mElection->FormerLeaders();
  cr_assert_eq(former.size(), 1);
  cr_assert_gt(former[0].mToken, a.mTokens.at(0));
  cr_assert_not(former[0].mAddress.has_value());
}
