#include "control/ControlSettings.h"
#include "control/Witnesses.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::control;

namespace {

const SocketAddress kAddress("127.0.0.1", 7001);
const scheduler::WorkerIncarnation kBorn(5);

void
AddWorker(scheduler::Fleet& aFleet, const std::string& aName, const std::string& aZone,
          const std::string& aRack)
{
  auto& worker = aFleet[WorkerId(aName)];
  worker.mEntry.mId = WorkerId(aName);
  worker.mEntry.mAddress = kAddress;
  worker.mEntry.mZone = ZoneId(aZone);
  worker.mEntry.mRack = RackId(aRack);
  worker.mEntry.mIncarnation = kBorn;
  worker.mHasAnswered = true;
}

// Workers in a number of racks, two racks a zone.
scheduler::Fleet
MakeFleet(int aRacks, int aWorkersPerRack)
{
  scheduler::Fleet fleet;
  for (int rack = 0; rack < aRacks; ++rack) {
    for (int i = 0; i < aWorkersPerRack; ++i) {
      const auto name = std::to_string(rack) + "-" + std::to_string(i);
      AddWorker(fleet, name, std::to_string(rack / 2), std::to_string(rack));
    }
  }
  return fleet;
}

std::vector<Witness>
Witnesses(const std::vector<std::string>& aNames)
{
  std::vector<Witness> witnesses;
  witnesses.reserve(aNames.size());
  for (const auto& it : aNames) {
    witnesses.push_back({ WorkerId(it), kAddress, kBorn });
  }
  return witnesses;
}

} // namespace

Test(Witnesses, round_trip_through_the_record)
{
  const auto witnesses = Witnesses({ "a", "b", "c" });
  cr_assert_eq(*ReadWitnesses(WriteWitnesses(witnesses)), witnesses);
}

// Guards against a majority of a part of the witnesses.
Test(Witnesses, of_a_malformed_record_are_unknown)
{
  for (const auto* text : { "", "{}", "7", R"([["a","127.0.0.1:1",5],["b"]])",
                            R"([["a","nowhere",5]])", R"([["a","127.0.0.1:1",0]])" }) {
    cr_assert_not(ReadWitnesses(text).has_value(), "%s", text);
  }
}

// Guards against witnesses that are lost together with a rack or an availability zone.
Test(Witnesses, are_spread_over_zones_and_racks)
{
  const auto fleet = MakeFleet(10, 5);
  const auto chosen = ChooseWitnesses(fleet, {});
  cr_assert_eq(chosen.size(), kMaxWitnesses);
  std::set<RackId> racks;
  std::map<ZoneId, int> zones;
  for (const auto& it : chosen) {
    racks.insert(fleet.at(it.mWorker).mEntry.mRack);
    ++zones[fleet.at(it.mWorker).mEntry.mZone];
  }
  cr_assert_eq(racks.size(), kMaxWitnesses);
  for (const auto& [zone, number] : zones) {
    cr_assert_leq(number, 2);
  }
}

// Guards against a record that is rewritten although its witnesses are fit, and against witnesses
// that can't be told from a later incarnation of theirs.
Test(Witnesses, are_replaced_only_if_they_are_not_fit)
{
  auto fleet = MakeFleet(10, 5);
  const auto chosen = ChooseWitnesses(fleet, {});
  cr_assert_eq(ChooseWitnesses(fleet, chosen), chosen);
  fleet.at(chosen[0].mWorker).mEntry.mDraining = true;
  fleet.at(chosen[1].mWorker).mRegistered = false;
  fleet.at(chosen[2].mWorker).mEntry.mIncarnation = scheduler::WorkerIncarnation(6);
  fleet.at(chosen[3].mWorker).mEntry.mIncarnation = scheduler::WorkerIncarnation();
  const auto changed = ChooseWitnesses(fleet, chosen);
  cr_assert_eq(changed.size(), kMaxWitnesses);
  cr_assert(std::equal(chosen.begin() + 4, chosen.end(), changed.begin()));
  for (const auto& it : changed) {
    cr_assert_not(it == chosen[0] || it == chosen[1] || it == chosen[2] || it == chosen[3]);
  }
}

Test(Witnesses, are_an_odd_number)
{
  for (int workers = 0; workers < 6; ++workers) {
    const auto chosen = ChooseWitnesses(MakeFleet(1, workers), {});
    cr_assert_eq(chosen.size(),
                 static_cast<std::size_t>(workers == 0 ? 0 : workers - (workers + 1) % 2));
  }
}

Test(WitnessAnswers, tell_since_when_a_majority_has_answered)
{
  const auto witnesses = Witnesses({ "a", "b", "c" });
  WitnessAnswers answers;
  answers.OnAnswer(WorkerId("a"), kBorn, Duration(100));
  cr_assert_not(answers.AnsweredSince(witnesses).has_value());
  answers.OnAnswer(WorkerId("b"), kBorn, Duration(70));
  cr_assert_eq(*answers.AnsweredSince(witnesses), Duration(70));
  answers.OnAnswer(WorkerId("c"), kBorn, Duration(90));
  cr_assert_eq(*answers.AnsweredSince(witnesses), Duration(90));
  answers.OnAnswer(WorkerId("a"), kBorn, Duration(20));
  cr_assert_eq(*answers.AnsweredSince(witnesses), Duration(90), "an answer that came late");
}

// Guards against the answer of a restarted witness, which has forgotten who has called it.
Test(WitnessAnswers, count_only_those_of_the_recorded_incarnation)
{
  const auto witnesses = Witnesses({ "a" });
  WitnessAnswers answers;
  answers.OnAnswer(WorkerId("a"), scheduler::WorkerIncarnation(6), Duration(100));
  cr_assert_not(answers.AnsweredSince(witnesses).has_value());
  cr_assert_not(answers.AnsweredSince({}).has_value());
}

// Guards against a majority of a record that isn't the stored one, which a successor would read.
Test(LeaderWitnesses, have_answered_if_those_of_each_record_have_that_may_be_stored)
{
  const auto stored = Witnesses({ "a", "b", "c" });
  const auto later = Witnesses({ "c", "d", "e" });
  LeaderWitnesses witnesses(stored);
  const auto answer = [&witnesses](const char* aWorker) {
    witnesses.OnAnswer(WorkerId(aWorker), kBorn, Duration(100));
  };
  answer("a");
  answer("b");
  cr_assert(witnesses.HaveAnswered(Duration(100)));
  cr_assert_not(witnesses.HaveAnswered(Duration(100) + kWitnessAnswerAge));
  witnesses.OnStoring(later);
  cr_assert_not(witnesses.HaveAnswered(Duration(100)));
  witnesses.OnStored(false);
  answer("d");
  answer("e");
  cr_assert(witnesses.HaveAnswered(Duration(100)));
  witnesses.OnStoring(later);
  witnesses.OnStored(true);
  cr_assert(witnesses.HaveAnswered(Duration(100)));
  cr_assert_not(witnesses.IsWitness(WorkerId("a")));
}

// Guards against a record that stays uncertain after a write without an answer.
Test(LeaderWitnesses, are_stored_again_until_it_is_known_which_record_is)
{
  const auto fleet = MakeFleet(10, 5);
  LeaderWitnesses witnesses({});
  const auto chosen = witnesses.Change(fleet);
  cr_assert(chosen.has_value());
  witnesses.OnStoring(*chosen);
  witnesses.OnStored(false);
  cr_assert_eq(*witnesses.Change(fleet), *chosen);
  witnesses.OnStoring(*chosen);
  witnesses.OnStored(true);
  cr_assert_not(witnesses.Change(fleet).has_value());
}

// Guards against a leader without witnesses that renews leases as if all of them had answered.
Test(LeaderWitnesses, have_not_answered_if_there_are_none)
{
  const LeaderWitnesses witnesses({});
  cr_assert_not(witnesses.HaveAnswered(Duration(0)));
}
