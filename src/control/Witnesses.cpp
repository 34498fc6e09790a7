#include "control/Witnesses.h"

#include "base/Json.h"
#include "base/LogEvent.h"
#include "control/ControlSettings.h"
#include "scheduler/Limits.h"

#include <algorithm>
#include <functional>

namespace lovagerock::control {

namespace {

std::optional<Witness>
WitnessOf(const scheduler::Worker& aWorker)
{
  const auto& entry = aWorker.mEntry;
  const bool isFit = aWorker.AcceptsWork() && aWorker.mHasAnswered && !aWorker.mNeedsHigherToken &&
                     entry.mIncarnation.Value() != 0;
  return isFit ? std::optional(Witness{ entry.mId, entry.mAddress, entry.mIncarnation })
               : std::nullopt;
}

bool
IsFit(const scheduler::Fleet& aFleet, const Witness& aWitness)
{
  const auto it = aFleet.find(aWitness.mWorker);
  return it != aFleet.end() && WitnessOf(it->second) == aWitness;
}

// Whether a worker hasn't answered yet that may become a witness.
bool
IsAnyAwaited(const scheduler::Fleet& aFleet)
{
  return std::any_of(aFleet.begin(), aFleet.end(), [](const auto& aIt) {
    return aIt.second.AcceptsWork() && !aIt.second.mHasAnswered;
  });
}

// The largest odd number up to the given one; 0 for 0.
std::size_t
OddUpTo(std::size_t aNumber)
{
  return aNumber == 0 ? 0 : aNumber - (aNumber + 1) % 2;
}

// Adds workers one by one, each time one from a zone, and there from a rack, that has the fewest
// witnesses.
class WitnessSearch
{
public:
  WitnessSearch(const scheduler::Fleet& aFleet, std::vector<Witness> aKept)
    : mFleet(aFleet)
    , mChosen(std::move(aKept))
  {
    for (const auto& it : mChosen) {
      Count(mFleet.at(it.mWorker).mEntry);
    }
  }

  // Adds one; returns false if no fit worker is left.
  bool AddOne()
  {
    const scheduler::Worker* best = nullptr;
    for (const auto& [id, worker] : mFleet) {
      if (WitnessOf(worker) && !IsChosen(id) && (!best || Rank(worker) < Rank(*best))) {
        best = &worker;
      }
    }
    if (best) {
      mChosen.push_back(*WitnessOf(*best));
      Count(best->mEntry);
    }
    return best != nullptr;
  }

  const std::vector<Witness>& Chosen() const { return mChosen; }

private:
  bool IsChosen(const WorkerId& aWorker) const
  {
    return std::any_of(mChosen.begin(), mChosen.end(),
                       [&aWorker](const auto& aIt) { return aIt.mWorker == aWorker; });
  }

  std::pair<int, int> Rank(const scheduler::Worker& aWorker) const
  {
    const auto zone = mInZone.find(aWorker.mEntry.mZone);
    const auto rack = mInRack.find(aWorker.mEntry.mRack);
    return { zone == mInZone.end() ? 0 : zone->second, rack == mInRack.end() ? 0 : rack->second };
  }

  void Count(const scheduler::WorkerEntry& aEntry)
  {
    ++mInZone[aEntry.mZone];
    ++mInRack[aEntry.mRack];
  }

  const scheduler::Fleet& mFleet;
  std::vector<Witness> mChosen;
  std::map<ZoneId, int> mInZone;
  std::map<RackId, int> mInRack;
};

} // namespace

std::string
WriteWitnesses(const std::vector<Witness>& aWitnesses)
{
  auto json = Json::array();
  for (const auto& it : aWitnesses) {
    json.push_back(
      Json::array({ it.mWorker.Value(), it.mAddress.ToString(), it.mIncarnation.Value() }));
  }
  return DumpJson(json);
}

std::optional<std::vector<Witness>>
ReadWitnesses(const std::string& aText)
{
  const auto json = ParseJson(aText).value_or(Json());
  std::vector<Witness> witnesses;
  try {
    for (const auto& it : json.get_ref<const Json::array_t&>()) {
      const auto address = SocketAddress::Parse(it.at(1).get<std::string>());
      if (!address) {
        throw Json::other_error::create(501, "malformed address", &it);
      }
      witnesses.push_back({ WorkerId(it.at(0).get<std::string>()), *address,
                            scheduler::WorkerIncarnation(
                              JsonInRange(it.at(2), std::int64_t{ 1 }, scheduler::kMaxTimeMs)) });
    }
  } catch (const Json::exception& ex) {
    LogEvent("witness_record_malformed", LogLevel::Error).With("reason", ex.what());
    return std::nullopt;
  }
  return witnesses;
}

std::vector<Witness>
ChooseWitnesses(const scheduler::Fleet& aFleet, const std::vector<Witness>& aPresent)
{
  std::vector<Witness> kept;
  std::copy_if(aPresent.begin(), aPresent.end(), std::back_inserter(kept),
               [&aFleet](const auto& aIt) { return IsFit(aFleet, aIt); });
  WitnessSearch search(aFleet, std::move(kept));
  while (search.Chosen().size() < kMaxWitnesses && search.AddOne()) {
  }
  auto chosen = search.Chosen();
  chosen.resize(std::min(OddUpTo(chosen.size()), kMaxWitnesses));
  return chosen;
}

void
WitnessAnswers::OnAnswer(const WorkerId& aWorker, scheduler::WorkerIncarnation aIncarnation,
                         Duration aSent)
{
  auto& last = mLastAnswered.try_emplace({ aWorker, aIncarnation }, aSent).first->second;
  last = std::max(last, aSent);
}

std::optional<Duration>
WitnessAnswers::AnsweredSince(const std::vector<Witness>& aWitnesses) const
{
  std::vector<Duration> times;
  for (const auto& it : aWitnesses) {
    const auto last = mLastAnswered.find({ it.mWorker, it.mIncarnation });
    if (last != mLastAnswered.end()) {
      times.push_back(last->second);
    }
  }
  const auto majority = aWitnesses.size() / 2 + 1;
  if (times.size() < majority) {
    return std::nullopt;
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times.at(majority - 1);
}

void
LeaderWitnesses::OnAnswer(const WorkerId& aWorker, scheduler::WorkerIncarnation aIncarnation,
                          Duration aSent)
{
  if (IsWitness(aWorker)) {
    mAnswers.OnAnswer(aWorker, aIncarnation, aSent);
  }
}

bool
LeaderWitnesses::IsWitness(const WorkerId& aWorker) const
{
  return std::any_of(mMayBeStored.begin(), mMayBeStored.end(), [&aWorker](const auto& aRecord) {
    return std::any_of(aRecord.begin(), aRecord.end(),
                       [&aWorker](const auto& aIt) { return aIt.mWorker == aWorker; });
  });
}

bool
LeaderWitnesses::HaveAnswered(Duration aNow) const
{
  return std::all_of(mMayBeStored.begin(), mMayBeStored.end(), [this, aNow](const auto& aRecord) {
    const auto since = mAnswers.AnsweredSince(aRecord);
    return since && aNow - *since < kWitnessAnswerAge;
  });
}

std::optional<std::vector<Witness>>
LeaderWitnesses::Change(const scheduler::Fleet& aFleet) const
{
  const auto& present = mMayBeStored.back();
  const bool isKnown = mMayBeStored.size() == 1;
  const bool areFit =
    !present.empty() && std::all_of(present.begin(), present.end(),
                                    [&aFleet](const auto& aIt) { return IsFit(aFleet, aIt); });
  if (isKnown && areFit && (present.size() == kMaxWitnesses || IsAnyAwaited(aFleet))) {
    return std::nullopt;
  }
  auto chosen = ChooseWitnesses(aFleet, present);
  return isKnown && chosen == present ? std::nullopt : std::optional(std::move(chosen));
}

void
LeaderWitnesses::OnStoring(std::vector<Witness> aWitnesses)
{
  if (mMayBeStored.back() != aWitnesses) {
    mMayBeStored.push_back(std::move(aWitnesses));
  }
}

void
LeaderWitnesses::OnStored(bool aIsStored)
{
  if (aIsStored) {
    mMayBeStored.erase(mMayBeStored.begin(), mMayBeStored.end() - 1);
  }
}

} // namespace lovagerock::control
