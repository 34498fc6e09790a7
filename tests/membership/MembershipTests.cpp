#include "base/EventLoop.h"
#include "base/Random.h"
#include "http/HttpServer.h"
#include "membership/Membership.h"
#include "membership/VmList.h"
#include "peer/NghttpTransport.h"
#include "support/LocalAddress.h"

#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::membership;
using peer::NghttpTransport;

namespace {

// Time limits below the defaults, so that the tests don't wait for seconds.
MembershipSettings
ShortTimes()
{
  MembershipSettings settings;
  settings.mHeartbeatPeriod = Duration(100);
  settings.mLiveTimeout = Duration(500);
  return settings;
}

// An entry node with its own transport.
struct Node
{
  NghttpTransport mTransport;
  std::unique_ptr<Membership<NghttpTransport>> mMembership;

  Node(EventLoop& aLoop, Random& aRandom, const std::string& aNode, std::uint64_t aIncarnation = 1,
       const SocketAddress& aAddress = testing::LocalAddress())
    : mTransport(aLoop, aRandom)
  {
    cr_assert_not(mTransport.Listen(aAddress));
    Member self;
    self.mNode = NodeId(aNode);
    self.mIncarnation = aIncarnation;
    self.mRegion = RegionId("east");
    self.mAddress = mTransport.Address();
    mMembership =
      std::make_unique<Membership<NghttpTransport>>(aLoop, mTransport, self, ShortTimes());
  }

  Vm ListEntry() const
  {
    Vm vm;
    vm.mAddress = mTransport.Address();
    return vm;
  }

  // Whether this node has the other as a member of the given state and incarnation.
  bool Sees(const std::string& aNode, MemberState aState, std::uint64_t aIncarnation = 1) const
  {
    for (const auto& it : mMembership->Members()) {
      if (it.mMember.mNode.Value() == aNode) {
        return it.mState == aState && it.mMember.mIncarnation == aIncarnation;
      }
    }
    return false;
  }
};

// Two nodes, of which only the first knows the other's address.
struct Fixture
{
  EventLoop mLoop;
  Random mRandom{ 1 };
  std::unique_ptr<Node> mFirst = std::make_unique<Node>(mLoop, mRandom, "a");
  std::unique_ptr<Node> mSecond = std::make_unique<Node>(mLoop, mRandom, "b");
  Timer mLimit;

  Fixture()
  {
    mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
    mFirst->mMembership->SetVmList({ mFirst->ListEntry(), mSecond->ListEntry() });
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

  void WaitUntilJoined()
  {
    WaitUntil([&] {
      return mFirst->Sees("b", MemberState::Live) && mSecond->Sees("a", MemberState::Live) &&
             !mFirst->mMembership->IsViewUnconfirmed() &&
             !mSecond->mMembership->IsViewUnconfirmed();
    });
  }
};

} // namespace

// Guards against a node that stays unknown to those whose VM list lacks it: it must become a member
// by its own heartbeat.
Test(Membership, learns_members_from_heartbeats)
{
  Fixture f;
  f.WaitUntilJoined();
  cr_assert_eq(f.mSecond->mMembership->KnownCount(), 2);
  f.WaitUntil([&] {
    return f.mFirst->mMembership->OwnerOf("planner/east", RegionId("east")) ==
           f.mSecond->mMembership->OwnerOf("planner/east", RegionId("east"));
  });
  cr_assert(f.mFirst->mMembership->OwnerOf("planner/west", RegionId("west")).IsEmpty());
}

// Guards against computing a payload's age from the arrival of the answer instead of the time when
// the heartbeat was sent, which would make the payload look newer than it is.
Test(Membership, passes_payloads_with_the_send_time_of_the_heartbeat)
{
  Fixture f;
  const auto start = std::chrono::steady_clock::now();
  f.mSecond->mMembership->AddPayload(
    "config", [] { return Json(7); }, [](const Member&, const Json&, TimePoint) {});
  int version = 0;
  f.mFirst->mMembership->AddPayload(
    "config", [] { return Json(6); },
    [&](const Member& aMember, const Json& aPayload, TimePoint aSent) {
      cr_assert_eq(aMember.mNode, NodeId("b"));
      cr_assert(aSent <= std::chrono::steady_clock::now());
      cr_assert(aSent + Duration(1000) > start);
      version = aPayload.get<int>();
    });
  f.WaitUntil([&] { return version == 7; });
}

// Guards against a leaving node that the others take for the planner until its next heartbeat.
Test(Membership, announces_at_once_that_it_is_leaving)
{
  Fixture f;
  f.WaitUntilJoined();
  int changes = 0;
  f.mSecond->mMembership->OnChange([&] { ++changes; });
  f.mFirst->mMembership->SetLeaving();
  f.WaitUntil([&] { return f.mSecond->Sees("a", MemberState::Leaving); });
  f.WaitUntil([&] { return changes > 0; });
  f.WaitUntil([&] { return f.mSecond->mMembership->OwnerOf("key") == NodeId("b"); });
  f.WaitUntil([&] { return f.mFirst->mMembership->OwnerOf("key") == NodeId("b"); });
}

// Guards against a stopped node that still owns keys, and against a restarted node that is taken
// for its previous incarnation.
Test(Membership, suspects_a_stopped_node_and_sees_its_restart)
{
  Fixture f;
  f.WaitUntilJoined();
  const auto address = f.mSecond->mTransport.Address();
  f.mSecond.reset();
  f.WaitUntil([&] { return f.mFirst->Sees("b", MemberState::Suspected); });
  cr_assert_eq(f.mFirst->mMembership->OwnerOf("key"), NodeId("a"));
  f.mSecond = std::make_unique<Node>(f.mLoop, f.mRandom, "b", 2, address);
  f.WaitUntil([&] { return f.mFirst->Sees("b", MemberState::Live, 2); });
}

// Guards against a resumed node that acts on its old view before a timer has detected the pause.
Test(Membership, view_is_unconfirmed_right_after_a_pause)
{
  Fixture f;
  f.WaitUntilJoined();
  std::this_thread::sleep_for(ShortTimes().mLiveTimeout + Duration(50));
  cr_assert(f.mFirst->mMembership->IsViewUnconfirmed());
  f.WaitUntil([&] { return !f.mFirst->mMembership->IsViewUnconfirmed(); });
}

// Guards against a malformed heartbeat that changes the members or stops the node.
Test(Membership, ignores_malformed_heartbeats)
{
  Fixture f;
  f.WaitUntilJoined();
  Random random(2);
  NghttpTransport stranger(f.mLoop, random);
  int answers = 0;
  for (const auto& it : { Json(1), Json::object(), Json{ { "node", 5 } },
                          Json{ { "node", "c" }, { "state", "live" }, { "address", "x" } } }) {
    stranger.Call(f.mFirst->mTransport.Address(), "heartbeat", it, Duration(30000),
                  [&](std::error_code, const Json&) { ++answers; });
  }
  f.WaitUntil([&] { return answers == 4; });
  cr_assert_eq(f.mFirst->mMembership->Members().size(), 2);
}

Test(VmList, reads_the_service_discovery_format)
{
  const auto vms = ParseVmList(R"([
    {"targets":["10.0.0.1:7000","bad"],
     "labels":{"role":"entry","state":"leaving","zone":"z","region":"r","node":"n1"}},
    {"targets":["10.0.0.2:7000"],"labels":{"role":"worker","state":"live"}},
    {"targets":["10.0.0.3:7000"],"labels":{"role":"database"}}, 5])");
  cr_assert_eq(vms->size(), 2);
  cr_assert((*vms)[0].mLeaving);
  cr_assert_eq((*vms)[0].mName, std::string("n1"));
  cr_assert((*vms)[1].mRole == Vm::Role::Worker);
  cr_assert_not(ParseVmList("{}"));
}

// Guards against a node that no longer follows the list because one of its entries can't be read.
Test(VmList, reads_the_entries_beside_an_odd_one)
{
  const std::string good = R"({"targets":["10.0.0.2:7000"],"labels":{"role":"worker"}})";
  const std::string last = R"({"targets":["10.0.0.3:7000"],"labels":{"role":"worker"}})";
  const std::vector<std::string> odd{
    std::string(100000, '[') + std::string(100000, ']'),
    R"({"targets":["10.0.0.9:1"],"labels":{"role":"worker","x":)" + std::string(5000, '[') +
      std::string(5000, ']') + "}}",
    R"({"targets":["10.0.0.9:1"],"labels":{"role":"worker"},"load":1e999})",
    R"({"targets":["10.0.0.9:65536"],"labels":{"role":"worker"}})",
    R"({"targets":["10.0.0.9:0"],"labels":{"role":"worker"}})",
    R"({"targets":["10.0.0.9:-1"],"labels":{"role":"worker"}})",
    R"({"targets":"10.0.0.9:1","labels":{"role":"worker"}})",
    R"({"targets":["10.0.0.9:1"],"labels":{"role":7}})",
    R"({"targets":["10.0.0.9:1"],"labels":"worker"})",
    "{\"targets\":[\"10.0.0.9:1\"],\"labels\":{\"role\":\"worker\",\"zone\":\"\xff\xfe\"}}",
    R"({"targets":["10.0.0.9:1"],"labels":{"role":"worker"}}})",
    R"("a quoted \"] bracket")",
    "null",
    "nonsense",
  };
  for (const auto& it : odd) {
    std::string list = "[";
    list.append(good).append(" , ").append(it).append(",\n").append(last).append("]");
    const auto vms = ParseVmList(list);
    cr_assert(vms.has_value(), "%s", it.substr(0, 100).c_str());
    cr_assert_eq(vms->size(), 2, "%s", it.substr(0, 100).c_str());
    cr_assert_eq(vms->back().mAddress, SocketAddress("10.0.0.3", 7000));
  }
  const auto mixed =
    ParseVmList(R"([{"targets":["10.0.0.2:1",7,"10.0.0.3:1"],"labels":{"role":"worker"}}])");
  cr_assert_eq(mixed->size(), 2);
}

// Guards against taking text that was cut off, or whose entries are all unreadable, for a list
// without VMs.
Test(VmList, rejects_text_without_any_readable_entry)
{
  for (const auto* const it : { "", "[", "[{}", "[{}]]", "[{},", "[nonsense]", "[\"", "[,]" }) {
    cr_assert_not(ParseVmList(it).has_value(), "%s", it);
  }
  cr_assert(ParseVmList(" [ ] ").has_value());
}

// Guards against losing all entries when the list service returns an error or malformed text.
Test(VmList, keeps_the_last_list_while_reading_fails)
{
  EventLoop loop;
  const auto limit = loop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  http::HttpServer server(loop);
  int reads = 0;
  server.Handle(
    http::Method::Get, "/v1/targets", [&](const http::Request&, const http::Responder& aResponder) {
      const std::string list = R"([{"targets":["10.0.0.1:7000"],"labels":{"role":"entry"}}])";
      ++reads;
      aResponder.Send({ reads == 2 ? 500 : 200, {}, reads == 1 ? list : "[{" });
    });
  cr_assert_not(server.Listen(testing::LocalAddress()));
  VmListSettings settings;
  settings.mServer = server.Address();
  settings.mPeriod = Duration(10);
  VmList list(loop, settings, [](const std::vector<Vm>&) {});
  const auto check = loop.Every(Duration(5), [&] {
    if (list.Failures() >= 2) {
      loop.Stop();
    }
  });
  loop.Run();
  cr_assert_eq(list.Vms().size(), 1);
}

// Guards against transferring an unchanged list with each read, and against losing the list on
// 304 Not Modified.
Test(VmList, transfers_the_list_only_if_it_has_changed)
{
  EventLoop loop;
  const auto limit = loop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  http::HttpServer server(loop);
  int unchanged = 0;
  server.Handle(
    http::Method::Get, "/v1/targets",
    [&](const http::Request& aRequest, const http::Responder& aResponder) {
      const std::string list = R"([{"targets":["10.0.0.1:7000"],"labels":{"role":"entry"}}])";
      const bool known = aRequest.mHeaders.Get("If-None-Match") == "\"1\"";
      unchanged += known ? 1 : 0;
      aResponder.Send({ known ? 304 : 200, { { "ETag", "\"1\"" } }, known ? "" : list });
    });
  cr_assert_not(server.Listen(testing::LocalAddress()));
  VmListSettings settings;
  settings.mServer = server.Address();
  settings.mPeriod = Duration(10);
  std::size_t last = 0;
  VmList list(loop, settings, [&](const std::vector<Vm>& aVms) {
    last = aVms.size();
    if (unchanged >= 2) {
      loop.Stop();
    }
  });
  loop.Run();
  cr_assert_eq(last, 1);
  cr_assert_eq(list.Failures(), 0);
}
