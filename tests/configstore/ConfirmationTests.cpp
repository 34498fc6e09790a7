#include "configstore/Confirmation.h"
#include "configstore/PromiseTable.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::configstore;

namespace {

using State = ConfirmationState;

constexpr ConfigVersion kNone{ 0 };
const NodeId kOther("b");

// Returns the time aSeconds after the start of the node.
TimePoint
At(int aSeconds)
{
  return TimePoint(std::chrono::hours(1)) + std::chrono::seconds(aSeconds);
}

// A node with version 5 in force, which it read 20 s after its start.
Confirmation
Current()
{
  Confirmation confirmation({}, At(0));
  confirmation.SetInForce(ConfigVersion(5));
  confirmation.NoteDirectRead(ConfigVersion(5), At(20));
  return confirmation;
}

// The report of a member with version 5 whose confirmation expired (last read 60 s ago).
MemberReport
UnconfirmedMember()
{
  MemberReport report;
  report.mVersion = ConfigVersion(5);
  report.mSettled = true;
  report.mDirectVersion = ConfigVersion(5);
  report.mDirectAge = report.mConfirmedAge = Duration(60000);
  return report;
}

} // namespace

Test(Confirmation, is_none_before_the_first_configuration)
{
  Confirmation confirmation({}, At(0));
  confirmation.NoteDirectRead(kNone, At(1));
  cr_assert(confirmation.State(At(1), 1, kNone) == State::None);
}

// Guards against a node that counts a read as recent after its process was paused.
Test(Confirmation, expires_without_an_event)
{
  const auto confirmation = Current();
  cr_assert(confirmation.State(At(27), 3, kNone) == State::Confirmed);
  cr_assert(confirmation.State(At(28), 3, kNone) == State::Isolated);
}

// Guards against ages that leave out the transit time of the heartbeat.
Test(Confirmation, counts_a_peers_read_from_the_time_the_heartbeat_was_sent)
{
  auto confirmation = Current();
  auto report = UnconfirmedMember();
  report.mDirectAge = report.mConfirmedAge = Duration(4000);
  confirmation.NoteReport(kOther, report, At(40));
  cr_assert(confirmation.State(At(43), 2, kNone) == State::Confirmed);
  cr_assert(confirmation.State(At(44), 2, kNone) != State::Confirmed);
}

// Guards against nodes that keep confirming each other although none of them reads the head.
Test(Confirmation, is_not_passed_on_by_members_that_did_not_read)
{
  auto confirmation = Current();
  auto report = UnconfirmedMember();
  report.mConfirmedAge = Duration(0);
  confirmation.NoteReport(kOther, report, At(40));
  cr_assert(confirmation.State(At(40), 2, kNone) == State::Isolated);
}

// Guards against a node that stays confirmed although it knows of a newer version that it lacks.
Test(Confirmation, needs_the_version_that_was_read)
{
  auto confirmation = Current();
  confirmation.NoteDirectRead(ConfigVersion(6), At(40));
  cr_assert(confirmation.State(At(41), 1, kNone) == State::Isolated);
  confirmation.SetInForce(ConfigVersion(6));
  cr_assert(confirmation.State(At(41), 1, kNone) == State::Confirmed);
}

Test(Confirmation, is_service_down_while_a_majority_lacks_the_service)
{
  auto confirmation = Current();
  confirmation.NoteReport(kOther, UnconfirmedMember(), At(40));
  cr_assert(confirmation.State(At(42), 3, kNone) == State::ServiceDown);
  cr_assert(confirmation.State(At(42), 4, kNone) == State::Isolated, "half is not a majority");
  cr_assert(confirmation.State(At(43), 3, kNone) == State::Isolated, "report is too old");
}

// Guards against a majority that accepts work although a change may have been accepted elsewhere.
Test(Confirmation, is_isolated_if_a_change_may_have_been_accepted)
{
  const auto stateWith = [](const MemberReport& aReport, ConfigVersion aOwnPromise = kNone) {
    auto confirmation = Current();
    confirmation.NoteReport(kOther, aReport, At(40));
    return confirmation.State(At(40), 3, aOwnPromise);
  };
  auto report = UnconfirmedMember();
  cr_assert(stateWith(report) == State::ServiceDown);
  cr_assert(stateWith(report, ConfigVersion(6)) == State::Isolated, "own open promise");
  report.mOpenPromise = ConfigVersion(6);
  cr_assert(stateWith(report) == State::Isolated, "open promise of a member");
  report = UnconfirmedMember();
  report.mVersion = ConfigVersion(6);
  cr_assert(stateWith(report) == State::Isolated, "newer version of a member");
  report = UnconfirmedMember();
  report.mSettled = false;
  cr_assert(stateWith(report) == State::Isolated, "restarted member");
  report = UnconfirmedMember();
  report.mConfirmedAge = Duration(1000);
  cr_assert(stateWith(report) == State::Isolated, "confirmed member");
}

// Guards against a restarted node that has lost a promise whose write is still in flight.
Test(Confirmation, is_isolated_after_a_restart_until_promises_are_settled)
{
  Confirmation confirmation({}, At(0));
  confirmation.SetInForce(ConfigVersion(5));
  confirmation.NoteDirectRead(ConfigVersion(5), At(9));
  confirmation.NoteReport(kOther, UnconfirmedMember(), At(20));
  cr_assert(confirmation.State(At(20), 3, kNone) == State::Isolated);
}

Test(PromiseTable, keeps_a_promise_until_its_outcome_is_known)
{
  PromiseTable table(Duration(10000));
  table.Add("one", ConfigVersion(6), At(0));
  table.Add("two", ConfigVersion(7), At(0));
  table.NoteDirectRead(ConfigVersion(5), At(9));
  cr_assert(table.HighestOpen() == ConfigVersion(7), "the write may still be in flight");
  table.Abandon("two");
  cr_assert(table.HighestOpen() == ConfigVersion(6));
  table.SetInForce(ConfigVersion(6));
  cr_assert(table.HighestOpen() == kNone);
  table.Add("three", ConfigVersion(7), At(10));
  table.NoteDirectRead(ConfigVersion(7), At(20));
  cr_assert(table.HighestOpen() == ConfigVersion(7), "accepted and not yet in force");
  table.NoteDirectRead(ConfigVersion(6), At(20));
  cr_assert(table.HighestOpen() == kNone);
}
