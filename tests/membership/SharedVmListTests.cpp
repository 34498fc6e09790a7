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
constexpr Duration kLongValidity{ 3600000 };

Vm
Worker(std::uint16_t aPort, bool aLeaving)
{
  Vm vm;
  vm.mAddress = { "10.0.0.1", aPort };
  vm.mRole = Vm::Role::Worker;
  vm.mLeaving = aLeaving;
  return vm;
}

// The service that serves the VM list. Each node reads its own path, so that reads can fail for one
// node alone.
struct ListService
{
  http::HttpServer mServer;
  std::string mState = "live";
  // Names of the nodes that get an error.
  std::string mFailing;
  // Names of the nodes that get no answer.
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
  // Answers the hanging reads with an error, and later ones normally.
  void Release()
  {
    mHanging.clear();
    for (const auto& it : std::exchange(mUnanswered, {})) {
      it.Send({ 500, {}, "" });
    }
  }
};

// A node with a shared VM list whose periods are short.
struct ListNode
{
  using List = SharedVmList<NghttpTransport>;

  NghttpTransport mTransport;
  bool mIsReader;
  std::vector<SocketAddress> mPeers;
  std::unique_ptr<List> mList;

  ListNode(EventLoop& aLoop, Random& aRandom, const ListService& aService, const char* aNode,
           bool aIsReader, Duration aValidity)
    : mTransport(aLoop, aRandom)
    , mIsReader(aIsReader)
  {
    cr_assert_not(mTransport.Listen(testing::LocalAddress()));
    VmListSettings settings;
    settings.mServer = aService.mServer.Address();
    settings.mPath = std::string("/") + aNode;
    settings.mPeriod = Duration(50);
    mList = std::make_unique<List>(
      aLoop, mTransport, aRandom, NodeId(aNode), 1,
      List::Hooks{ [this] { return mIsReader; }, [this] { return mPeers; } }, settings,
      [](const std::vector<Vm>&) {},
      SharedVmListSettings{ .mFollowedReader = { aValidity, 2 * aValidity },
                            .mCheckPeriod = Duration(20),
                            .mCallTimeout = Duration(30000),
                            .mOwnReadPeriod = Duration(3600000) });
  }
  // Processes the payload of aOther's answer to a heartbeat.
  void ReceiveAnswer(const char* aNode, const ListNode& aOther) const
  {
    mList->ReadPayload(NodeId(aNode), 1, aOther.mList->WritePayload(),
                       std::chrono::steady_clock::now());
  }
  bool SeesLeaving() const
  {
    return !mList->List().Vms().empty() && mList->List().Vms().front().mLeaving;
  }
};

// The node "a" is the reader, which "b" follows.
struct ListFixture
{
  EventLoop mLoop;
  Random mRandom{ 3 };
  ListService mService{ mLoop };
  std::unique_ptr<ListNode> mFirst;
  std::unique_ptr<ListNode> mSecond;
  Timer mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  // Replaces the heartbeats from the second node to the first.
  Timer mHeartbeats = mLoop.Every(Duration(50), [this] { mSecond->ReceiveAnswer("a", *mFirst); });

  // Tests in which the reader must stay valid need a long validity, because the test may be delayed
  // on a busy machine.
  explicit ListFixture(Duration aValidity = Duration(1000))
    : mFirst(std::make_unique<ListNode>(mLoop, mRandom, mService, "a", true, aValidity))
    , mSecond(std::make_unique<ListNode>(mLoop, mRandom, mService, "b", false, aValidity))
  {
    mFirst->mPeers = { mSecond->mTransport.Address() };
    WaitUntil([&] { return IsFollowingIdle("b", *mSecond); });
  }

  // Whether the node follows a reader, and each read that it started has reached the service.
  bool IsFollowingIdle(const char* aName, const ListNode& aNode)
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

// Guards against a changed list that each node reads itself, and against changes that don't reach
// the other nodes.
Test(SharedVmList, applies_the_readers_updates_without_reading)
{
  ListFixture f(kLongValidity);
  const auto reads = f.mSecond->mList->List().Reads();
  for (const char* state : { "leaving", "live", "leaving" }) {
    f.mService.mState = state;
    f.WaitUntil([&] { return f.mSecond->SeesLeaving() == (f.mService.mState == "leaving"); });
  }
  cr_assert(f.mSecond->mList->IsRelayed());
  cr_assert_eq(f.mSecond->mList->List().Reads(), reads);
  cr_assert_eq(f.mService.mWholeReads["b"], 1);
  // The update contains the ETag, so that a later read by this node gets 304 Not Modified.
  f.mSecond->mIsReader = true;
  f.WaitUntil([&] { return f.mSecond->mList->List().Reads() > reads + 2; });
  cr_assert_eq(f.mService.mWholeReads["b"], 1);
}

// Guards against a list that stays outdated, so that a leaving worker gets work, after the reader
// was killed or an update was lost.
Test(SharedVmList, reads_the_list_itself_without_the_reader_or_after_a_lost_update)
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

// Guards against following a reader that answers heartbeats with an old list, because its reads
// hang or it was paused, and against nodes that lose the list or stop reading while the service is
// down.
Test(SharedVmList, does_not_follow_a_reader_whose_reads_hang_or_fail)
{
  ListFixture f;
  f.mService.mHanging = "a";
  f.mService.mState = "leaving";
  f.WaitUntil([&] { return f.mSecond->SeesLeaving(); });
  cr_assert_not(f.mFirst->SeesLeaving());
  cr_assert_not(f.mSecond->mList->IsRelayed());
  // The reader's reads succeed again; its late update must not undo the newer list of this node.
  f.mService.Release();
  f.WaitUntil([&] { return f.mSecond->mList->IsRelayed(); });
  cr_assert(f.mSecond->SeesLeaving());
  // The service fails for all nodes: they keep the list.
  f.mService.mFailing = "ab";
  f.WaitUntil([&] { return f.mSecond->mList->List().Failures() >= 2; });
  cr_assert(f.mSecond->SeesLeaving());
  f.mService.mState = "live";
  f.mService.mFailing.clear();
  f.WaitUntil([&] { return !f.mSecond->SeesLeaving() && f.mSecond->mList->IsRelayed(); });
}

// Guards against a node that follows a reader before it has read the reader's current list itself,
// and against two readers that make a node go back to an older list.
Test(SharedVmList, reads_the_list_itself_at_the_start_and_tolerates_two_readers)
{
  ListFixture f(kLongValidity);
  f.mService.mState = "leaving";
  f.mService.mHanging = "c";
  ListNode third(f.mLoop, f.mRandom, f.mService, "c", false, kLongValidity);
  f.mFirst->mPeers.push_back(third.mTransport.Address());
  const auto heartbeats = f.mLoop.Every(Duration(50), [&] {
    third.ReceiveAnswer("a", *f.mFirst);
    third.ReceiveAnswer("b", *f.mSecond);
  });
  f.WaitUntil([&] { return f.mSecond->SeesLeaving(); });
  cr_assert_not(third.mList->IsRelayed());
  cr_assert(third.mList->List().Vms().empty());
  f.mService.Release();
  f.WaitUntil([&] { return third.SeesLeaving() && f.IsFollowingIdle("c", third); });
  f.mSecond->mIsReader = true;
  f.mSecond->mPeers = f.mFirst->mPeers;
  f.mService.mState = "live";
  f.WaitUntil([&] { return !f.mSecond->SeesLeaving() && !third.SeesLeaving(); });
  f.WaitUntil([&] { return third.mList->IsRelayed(); });
  cr_assert_eq(f.mService.mWholeReads["c"], 1);
}

// Guards against one node that always has the reader's traffic, and against selecting the planner.
Test(ListReader, changes_over_time_and_is_not_the_planner)
{
  const RegionId region("east");
  const std::vector<NodeId> nodes{ kReader, NodeId("b"), NodeId("c"), NodeId("d") };
  std::set<NodeId> readers;
  for (int i = 0; i < 200; ++i) {
    readers.insert(
      SelectListReader(region, nodes, Clock::time_point(std::chrono::minutes(10 * i))));
  }
  cr_assert_eq(readers.size(), 3);
  cr_assert_not(readers.contains(RendezvousOwner("planner/east", nodes)));
  cr_assert_eq(SelectListReader(region, { kReader }, {}), kReader);
  cr_assert(SelectListReader(region, {}, {}).IsEmpty());
}

// Guards against accepting late updates, updates after a gap and those of other nodes, and against
// a status that stays valid for too long.
Test(FollowedReader, is_valid_only_with_the_readers_current_list_and_until_the_time_limit)
{
  const TimePoint start{ Duration(100000) };
  const auto at = [&](int aMs) { return start + Duration(aMs); };
  const auto update = [](const char* aNode, std::uint64_t aSequence, std::uint64_t aBase) {
    return VmListUpdate{ NodeId(aNode), 1, aSequence, aBase, aBase + 1, "", {} };
  };
  FollowedReader followed({ Duration(1300), Duration(2600) });
  // Not followed: a reader whose last read is too old, and one whose list differs.
  followed.AcceptStatus(kReader, 1, { 5, 70, Duration(2600) }, 70, start, start);
  cr_assert_not(followed.IsValid(start));
  followed.AcceptStatus(kReader, 1, { 5, 71, Duration(0) }, 70, start, start);
  cr_assert_not(followed.IsValid(start));
  // The validity ends early if the reader's last read is old.
  followed.AcceptStatus(kReader, 1, { 5, 70, Duration(1600) }, 70, start, start);
  cr_assert(followed.IsValid(at(999)));
  cr_assert_not(followed.IsValid(at(1000)));
  cr_assert_eq(followed.AcceptUpdate(update("b", 6, 70), 70, at(1)),
               FollowedReader::Result::Ignored);
  cr_assert_eq(followed.AcceptUpdate(update("a", 5, 70), 70, at(1)),
               FollowedReader::Result::Ignored);
  cr_assert_eq(followed.AcceptUpdate(update("a", 6, 70), 70, at(1)), FollowedReader::Result::Next);
  // A status with a version that hasn't arrived doesn't prolong the validity, nor does one of
  // another incarnation.
  followed.AcceptStatus(kReader, 1, { 7, 72, Duration(0) }, 71, at(500), at(500));
  followed.AcceptStatus(kReader, 2, { 6, 71, Duration(0) }, 71, at(500), at(500));
  cr_assert_not(followed.IsValid(at(1000)));
  cr_assert_eq(followed.AcceptUpdate(update("a", 7, 71), 71, at(1000)),
               FollowedReader::Result::Ignored);
  followed.AcceptStatus(kReader, 1, { 6, 71, Duration(0) }, 71, at(1000), at(1000));
  cr_assert_eq(followed.AcceptUpdate(update("a", 8, 71), 71, at(1001)),
               FollowedReader::Result::Gap);
  cr_assert_not(followed.IsValid(at(1001)));
}

// Guards against differences that lose entries when they are sent, and against accepting malformed
// bodies.
Test(VmSet, differences_are_unchanged_by_serialization)
{
  const VmSet before({ Worker(1, false), Worker(2, false), Worker(2, true) });
  auto entry = Worker(2, false);
  entry.mRole = Vm::Role::Entry;
  entry.mName = "n";
  const VmSet after({ entry, Worker(3, false), Worker(2, false) });
  cr_assert_eq(before.Vms().size(), 2);
  cr_assert(before.Vms()[1].mLeaving);
  cr_assert_neq(VmSet(std::vector<Vm>()).Hash(), VmSet().Hash());
  VmListUpdate update{
    kReader, 1, 2, before.Hash(), after.Hash(), "t", after.DifferenceSince(before)
  };
  auto json = WriteVmListUpdate(update);
  const auto read = ReadVmListUpdate(json);
  cr_assert(read->mEntityTag == "t" && read->mBaseHash == before.Hash());
  cr_assert(before.With(read->mDifference).Vms() == after.Vms());
  cr_assert_eq(before.With(read->mDifference).Hash(), after.Hash());
  json["changed"][0]["address"] = "x";
  cr_assert_not(ReadVmListUpdate(json));
  cr_assert_not(ReadVmListUpdate(Json(5)));
  for (const auto& it : { Json(), Json(7), Json{ { "sequence", 1 }, { "age_ms", -1 } } }) {
    cr_assert_not(ReadVmListStatus(it));
  }
}
