#include "base/EventLoop.h"
#include "base/Random.h"
#include "http/HttpServer.h"
#include "membership/ListReader.h"
#include "membership/Rendezvous.h"
#include "membership/SharedVmList.h"
#include "peer/NghttpTransport.h"
#include "support/LocalAddress.h"

#include <criterion/criterion.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::membership;
using peer::NghttpTransport;

namespace {

using Clock = std::chrono::system_clock;

const NodeId kReader("a");
constexpr Duration kLong{ 3600000 };

Vm
Worker(std::uint16_t aPort, bool aLeaving)
{
  Vm vm;
  vm.mAddress = { "10.0.0.1", aPort };
  vm.mRole = Vm::Role::Worker;
  vm.mLeaving = aLeaving;
  return vm;
}

// The list service. Each node reads its own path, so that it can be cut off alone.
struct ListService
{
  http::HttpServer mServer;
  std::string mState = "live";
  // Which nodes get an error, or no answer at all.
  std::string mFailing;
  std::string mHanging;
  std::vector<http::Responder> mUnanswered;
  std::map<std::string, std::size_t> mReads;
  std::map<std::string, int> mWholeReads;

  explicit ListService(EventLoop& aLoop)
    : mServer(aLoop)
  {
    cr_assert_not(mServer.Listen(testing::LocalAddress()));
    mServer.Handle(
      http::Method::Get, "/{node}", [this](const auto& aRequest, const auto& aResponder) {
        const std::string node(aRequest.PathParameter("node"));
        ++mReads[node];
        if (mHanging.find(node) != std::string::npos) {
          mUnanswered.push_back(aResponder);
        } else if (mFailing.find(node) != std::string::npos) {
          aResponder.Send({ 500, {}, "" });
        } else if (aRequest.mHeaders.Get("If-None-Match") == mState) {
          aResponder.Send({ 304, { { "ETag", mState } }, "" });
        } else {
          ++mWholeReads[node];
          aResponder.Send({ 200,
                            { { "ETag", mState } },
                            R"([{"targets":["10.0.0.1:1"],"labels":{"role":"worker","state":")" +
                              mState + R"("}}])" });
        }
      });
  }
  // Ends the hanging reads without a list.
  void Release()
  {
    mHanging.clear();
    for (const auto& it : std::exchange(mUnanswered, {})) {
      it.Send({ 500, {}, "" });
    }
  }
};

// A node that shares the list with short times.
struct ListNode
{
  using List = SharedVmList<NghttpTransport>;

  NghttpTransport mTransport;
  bool mOwns;
  std::vector<SocketAddress> mPeers;
  std::unique_ptr<List> mList;

  ListNode(EventLoop& aLoop, Random& aRandom, const ListService& aService, const char* aNode,
           bool aOwns, Duration aValidity)
    : mTransport(aLoop, aRandom)
    , mOwns(aOwns)
  {
    cr_assert_not(mTransport.Listen(testing::LocalAddress()));
    VmListSettings settings;
    settings.mServer = aService.mServer.Address();
    settings.mPath = std::string("/") + aNode;
    settings.mPeriod = Duration(50);
    mList = std::make_unique<List>(
      aLoop, mTransport, aRandom, NodeId(aNode), 1,
      List::Hooks{ [this] { return mOwns; }, [this] { return mPeers; } }, settings,
      [](const std::vector<Vm>&) {},
      SharedVmListSettings{ .mReliance = { aValidity, 2 * aValidity },
                            .mCheckPeriod = Duration(20),
                            .mCallTimeout = Duration(30000),
                            .mOwnReadPeriod = Duration(3600000) });
  }
  // Takes the answer to a heartbeat.
  void Hear(const char* aNode, const ListNode& aOther) const
  {
    mList->ReadPayload(NodeId(aNode), 1, aOther.mList->WritePayload(),
                       std::chrono::steady_clock::now());
  }
  bool SeesLeaving() const
  {
    return !mList->List().Vms().empty() && mList->List().Vms().front().mLeaving;
  }
};

// The node "a" reads for "b".
struct ListFixture
{
  EventLoop mLoop;
  Random mRandom{ 3 };
  ListService mService{ mLoop };
  std::unique_ptr<ListNode> mFirst;
  std::unique_ptr<ListNode> mSecond;
  Timer mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  // Stands for the heartbeats from the second node to the first.
  Timer mHeartbeats = mLoop.Every(Duration(50), [this] { mSecond->Hear("a", *mFirst); });

  // Tests in which a reliance must not lapse take a long validity, because the machine may stall.
  explicit ListFixture(Duration aValidity = Duration(1000))
    : mFirst(std::make_unique<ListNode>(mLoop, mRandom, mService, "a", true, aValidity))
    , mSecond(std::make_unique<ListNode>(mLoop, mRandom, mService, "b", false, aValidity))
  {
    mFirst->mPeers = { mSecond->mTransport.Address() };
    WaitUntil([&] { return IsResting("b", *mSecond); });
  }

  // Whether the node relies on a reader, and no read of its own is under way to the service.
  bool IsResting(const char* aName, const ListNode& aNode)
  {
    return aNode.mList->IsRelayed() && aNode.mList->List().Reads() == mService.mReads[aName];
  }

  void WaitUntil(const std::function<bool()>& aCondition)
  {
    const auto timer = mLoop.Every(Duration(5), [&] {
      if (aCondition()) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
  }
};

} // namespace

// Guards against a change that each node reads whole, and one that the others don't learn.
Test(SharedVmList, takes_changes_from_the_reader_without_reading)
{
  ListFixture f(kLong);
  const auto reads = f.mSecond->mList->List().Reads();
  for (const char* state : { "leaving", "live", "leaving" }) {
    f.mService.mState = state;
    f.WaitUntil([&] { return f.mSecond->SeesLeaving() == (f.mService.mState == "leaving"); });
  }
  cr_assert(f.mSecond->mList->IsRelayed());
  cr_assert_eq(f.mSecond->mList->List().Reads(), reads);
  cr_assert_eq(f.mService.mWholeReads["b"], 1);
  // The content came with its entity tag, so that an own read later is short.
  f.mSecond->mOwns = true;
  f.WaitUntil([&] { return f.mSecond->mList->List().Reads() > reads + 2; });
  cr_assert_eq(f.mService.mWholeReads["b"], 1);
}

// Guards against a list that nobody reads, and work for a leaving worker, after the reader was
// killed, or after a batch was lost.
Test(SharedVmList, reads_itself_without_the_reader_or_a_batch)
{
  for (const bool killed : { true, false }) {
    ListFixture f;
    f.mFirst->mPeers.clear();
    if (killed) {
      f.mHeartbeats.Cancel();
      f.mFirst.reset();
    }
    f.mService.mState = "leaving";
    f.WaitUntil([&] { return f.mSecond->SeesLeaving(); });
    cr_assert_eq(f.mService.mWholeReads["b"], 2);
    if (!killed) {
      f.WaitUntil([&] { return f.mSecond->mList->IsRelayed(); });
    }
  }
}

// Guards against a reader that answers heartbeats with an old list, because its own reads hang or
// because it was paused, and against nodes that lose the list or rest while the service is down.
Test(SharedVmList, does_not_rely_on_a_reader_whose_reads_hang_or_fail)
{
  ListFixture f;
  f.mService.mHanging = "a";
  f.mService.mState = "leaving";
  f.WaitUntil([&] { return f.mSecond->SeesLeaving(); });
  cr_assert_not(f.mFirst->SeesLeaving());
  cr_assert_not(f.mSecond->mList->IsRelayed());
  // The reader goes on; its late change is not a newer one.
  f.mService.Release();
  f.WaitUntil([&] { return f.mSecond->mList->IsRelayed(); });
  cr_assert(f.mSecond->SeesLeaving());
  // The service is down for all: the list is kept.
  f.mService.mFailing = "ab";
  f.WaitUntil([&] { return f.mSecond->mList->List().Failures() >= 2; });
  cr_assert(f.mSecond->SeesLeaving());
  f.mService.mState = "live";
  f.mService.mFailing.clear();
  f.WaitUntil([&] { return !f.mSecond->SeesLeaving() && f.mSecond->mList->IsRelayed(); });
}

// Guards against a node without a list, or with an older one, that relies on the reader, and
// against two readers that make a node fall back to an older list.
Test(SharedVmList, starts_alone_and_bears_two_readers)
{
  ListFixture f(kLong);
  f.mService.mState = "leaving";
  f.mService.mHanging = "c";
  ListNode third(f.mLoop, f.mRandom, f.mService, "c", false, kLong);
  f.mFirst->mPeers.push_back(third.mTransport.Address());
  const auto heartbeats = f.mLoop.Every(Duration(50), [&] {
    third.Hear("a", *f.mFirst);
    third.Hear("b", *f.mSecond);
  });
  f.WaitUntil([&] { return f.mSecond->SeesLeaving(); });
  cr_assert_not(third.mList->IsRelayed());
  cr_assert(third.mList->List().Vms().empty());
  f.mService.Release();
  f.WaitUntil([&] { return third.SeesLeaving() && f.IsResting("c", third); });
  f.mSecond->mOwns = true;
  f.mSecond->mPeers = f.mFirst->mPeers;
  f.mService.mState = "live";
  f.WaitUntil([&] { return !f.mSecond->SeesLeaving() && !third.SeesLeaving(); });
  f.WaitUntil([&] { return third.mList->IsRelayed(); });
  cr_assert_eq(f.mService.mWholeReads["c"], 1);
}

// Guards against one node that bears all whole reads, and a planner that has to.
Test(ListReader, changes_with_time_and_is_not_the_planner)
{
  const RegionId region("east");
  const std::vector<NodeId> nodes{ kReader, NodeId("b"), NodeId("c"), NodeId("d") };
  std::set<NodeId> readers;
  for (int i = 0; i < 200; ++i) {
    readers.insert(ListReaderOf(region, nodes, Clock::time_point(std::chrono::minutes(10 * i))));
  }
  cr_assert_eq(readers.size(), 3);
  cr_assert_not(readers.contains(RendezvousOwner("planner/east", nodes)));
  cr_assert_eq(ListReaderOf(region, { kReader }, {}), kReader);
  cr_assert(ListReaderOf(region, {}, {}).IsEmpty());
}

// Guards against late, missing and foreign batches, and assurances that count for too long.
Test(ListReliance, counts_only_on_the_latest_content_of_a_reader_in_time)
{
  const TimePoint start{ Duration(100000) };
  const auto at = [&](int aMs) { return start + Duration(aMs); };
  const auto batch = [](const char* aNode, std::uint64_t aSequence, std::uint64_t aBase) {
    return VmListBatch{ NodeId(aNode), 1, aSequence, aBase, aBase + 1, "", {} };
  };
  ListReliance reliance({ Duration(1300), Duration(2600) });
  // A resumed reader with an old list, and one with another list.
  reliance.Assure(kReader, 1, { 5, 70, Duration(2600) }, 70, start, start);
  cr_assert_not(reliance.Counts(start));
  reliance.Assure(kReader, 1, { 5, 71, Duration(0) }, 70, start, start);
  cr_assert_not(reliance.Counts(start));
  // An old read shortens the validity.
  reliance.Assure(kReader, 1, { 5, 70, Duration(1600) }, 70, start, start);
  cr_assert(reliance.Counts(at(999)));
  cr_assert_not(reliance.Counts(at(1000)));
  cr_assert_eq(reliance.Take(batch("b", 6, 70), 70, at(1)), ListReliance::Result::Ignored);
  cr_assert_eq(reliance.Take(batch("a", 5, 70), 70, at(1)), ListReliance::Result::Ignored);
  cr_assert_eq(reliance.Take(batch("a", 6, 70), 70, at(1)), ListReliance::Result::Next);
  // A content that hasn't come doesn't count, nor one of another incarnation.
  reliance.Assure(kReader, 1, { 7, 72, Duration(0) }, 71, at(500), at(500));
  reliance.Assure(kReader, 2, { 6, 71, Duration(0) }, 71, at(500), at(500));
  cr_assert_not(reliance.Counts(at(1000)));
  cr_assert_eq(reliance.Take(batch("a", 7, 71), 71, at(1000)), ListReliance::Result::Ignored);
  reliance.Assure(kReader, 1, { 6, 71, Duration(0) }, 71, at(1000), at(1000));
  cr_assert_eq(reliance.Take(batch("a", 8, 71), 71, at(1001)), ListReliance::Result::Gap);
  cr_assert_not(reliance.Counts(at(1001)));
}

// Guards against differences that lose entries, and malformed bodies.
Test(VmSet, differences_survive_a_call)
{
  const VmSet before({ Worker(1, false), Worker(2, false), Worker(2, true) });
  auto entry = Worker(2, false);
  entry.mRole = Vm::Role::Entry;
  entry.mName = "n";
  const VmSet after({ entry, Worker(3, false), Worker(2, false) });
  cr_assert_eq(before.Vms().size(), 2);
  cr_assert(before.Vms()[1].mLeaving);
  cr_assert_neq(VmSet(std::vector<Vm>()).Hash(), VmSet().Hash());
  VmListBatch batch{ kReader, 1, 2, before.Hash(), after.Hash(), "t", after.Since(before) };
  auto json = WriteVmListBatch(batch);
  const auto read = ReadVmListBatch(json);
  cr_assert(read->mEntityTag == "t" && read->mBase == before.Hash());
  cr_assert(before.With(read->mDifference).Vms() == after.Vms());
  cr_assert_eq(before.With(read->mDifference).Hash(), after.Hash());
  json["changed"][0]["address"] = "x";
  cr_assert_not(ReadVmListBatch(json));
  cr_assert_not(ReadVmListBatch(Json(5)));
  for (const auto& it : { Json(), Json(7), Json{ { "sequence", 1 }, { "age_ms", -1 } } }) {
    cr_assert_not(ReadListAssurance(it));
  }
}
