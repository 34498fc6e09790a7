#include "membership/MemberTable.h"
#include "membership/Rendezvous.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace lovagerock;
using namespace lovagerock::membership;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

Member
MakeMember(const std::string& aNode, std::uint16_t aPort, std::uint64_t aIncarnation = 1)
{
  Member member;
  member.mNode = NodeId(aNode);
  member.mIncarnation = aIncarnation;
  member.mRegion = RegionId("east");
  member.mAddress = SocketAddress("10.0.0.1", aPort);
  return member;
}

Vm
MakeVm(std::uint16_t aPort)
{
  Vm vm;
  vm.mAddress = SocketAddress("10.0.0.1", aPort);
  return vm;
}

MemberState
StateOf(const MemberTable& aTable, const std::string& aNode, TimePoint aNow)
{
  for (const auto& it : aTable.Members(aNow)) {
    if (it.mMember.mNode.Value() == aNode) {
      return it.mState;
    }
  }
  cr_assert_fail("no such member");
  return MemberState::Suspected;
}

// Advances the table second by second, as a running node does, and returns the new time.
TimePoint
RunFor(MemberTable& aTable, TimePoint aNow, int aSeconds)
{
  for (int i = 0; i < aSeconds; ++i) {
    aNow += seconds(1);
    aTable.Advance(aNow);
  }
  return aNow;
}

} // namespace

// Guards against work sent to a dead member, and against members that are never removed.
Test(MemberTable, suspects_a_silent_member_and_removes_it_later)
{
  MemberTable table(MakeMember("a", 1), {}, kStart);
  table.RecordHeartbeat(MakeMember("b", 2), kStart);
  auto now = RunFor(table, kStart, 3);
  cr_assert(StateOf(table, "b", now) == MemberState::Live);
  now = RunFor(table, now, 1);
  cr_assert(StateOf(table, "b", now) == MemberState::Suspected);
  cr_assert_eq(table.LiveNodes({}, now), std::vector<NodeId>{ NodeId("a") });
  cr_assert_eq(table.KnownCount(), 2);
  RunFor(table, now, 60);
  cr_assert_eq(table.KnownCount(), 1);
}

// Guards against a VM list that lags: a member that sends heartbeats must be known although the
// list lacks it, and a listed node must not be live before it sends one.
Test(MemberTable, merges_listed_nodes_with_members_heard_from)
{
  MemberTable table(MakeMember("a", 1), {}, kStart);
  auto worker = MakeVm(9);
  worker.mRole = Vm::Role::Worker;
  table.SetVmList({ MakeVm(1), MakeVm(3), worker }, kStart);
  table.RecordHeartbeat(MakeMember("b", 2), kStart);
  cr_assert_eq(table.KnownCount(), 3);
  cr_assert_eq(table.HeartbeatTargets().size(), 2);
  cr_assert_eq(table.LiveNodes({}, kStart).size(), 2);
  table.SetVmList({}, kStart);
  cr_assert_eq(table.KnownCount(), 2);
}

// Guards against a late message of an old incarnation that overwrites the state of the new one, and
// against a node that restarted under another id and is counted twice in a majority.
Test(MemberTable, replaces_a_member_by_its_next_incarnation)
{
  MemberTable table(MakeMember("a", 1), {}, kStart);
  auto old = MakeMember("b", 2, 5);
  old.mLeaving = true;
  table.RecordHeartbeat(old, kStart);
  // An earlier heartbeat of the same incarnation arrives late.
  table.RecordHeartbeat(MakeMember("b", 2, 5), kStart);
  cr_assert(StateOf(table, "b", kStart) == MemberState::Leaving);
  table.RecordHeartbeat(MakeMember("b", 2, 6), kStart);
  cr_assert(StateOf(table, "b", kStart) == MemberState::Live);
  table.RecordHeartbeat(old, kStart);
  cr_assert(StateOf(table, "b", kStart) == MemberState::Live);
  table.RecordHeartbeat(MakeMember("c", 2, 7), kStart);
  cr_assert_eq(table.Members(kStart).size(), 2);
}

// Guards against a resumed node that acts as owner on its view from before the pause, and against
// confirming the view by an answer that waited in a socket during the pause.
Test(MemberTable, view_is_unconfirmed_after_a_pause_until_a_new_answer)
{
  MemberTable table(MakeMember("a", 1), {}, kStart);
  const auto peer = MakeMember("b", 2);
  table.RecordAnswer(peer, kStart, kStart);
  cr_assert_not(table.IsViewUnconfirmed());
  const auto resumed = kStart + seconds(10);
  table.Advance(resumed);
  cr_assert(table.IsViewUnconfirmed());
  table.RecordHeartbeat(peer, resumed);
  table.RecordAnswer(peer, kStart + seconds(1), resumed);
  cr_assert(table.IsViewUnconfirmed());
  RunFor(table, resumed, 10);
  cr_assert(table.IsViewUnconfirmed());
  table.RecordAnswer(peer, resumed + seconds(10), resumed + seconds(10));
  cr_assert_not(table.IsViewUnconfirmed());
}

// Guards against a node that never becomes able to work while all others are down, and against one
// that acts as owner before the others could answer.
Test(MemberTable, view_is_unconfirmed_at_the_start_for_a_limited_time)
{
  MemberTable table(MakeMember("a", 1), {}, kStart);
  table.SetVmList({ MakeVm(2) }, kStart);
  cr_assert(table.IsViewUnconfirmed());
  RunFor(table, kStart, 4);
  cr_assert_not(table.IsViewUnconfirmed());
  MemberTable alone(MakeMember("a", 1), {}, kStart);
  alone.SetVmList({ MakeVm(1) }, kStart);
  cr_assert_not(alone.IsViewUnconfirmed());
}

// Guards against keys of other nodes that move when one node leaves, and against an uneven
// distribution of the keys.
Test(Rendezvous, moves_only_the_keys_of_the_removed_node)
{
  std::vector<NodeId> nodes{ NodeId("a"), NodeId("b"), NodeId("c"), NodeId("d") };
  const std::vector<NodeId> fewer{ NodeId("d"), NodeId("a"), NodeId("b") };
  std::map<NodeId, int> owned;
  for (int i = 0; i < 4000; ++i) {
    const auto key = "key/" + std::to_string(i);
    const auto owner = RendezvousOwner(key, nodes);
    ++owned[owner];
    if (owner != NodeId("c")) {
      cr_assert_eq(RendezvousOwner(key, fewer), owner);
    }
  }
  for (const auto& it : nodes) {
    cr_assert_geq(owned[it], 800);
  }
  cr_assert(RendezvousOwner("key", {}).IsEmpty());
}
