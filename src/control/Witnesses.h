#pragma once

#include "base/SocketAddress.h"
#include "base/Units.h"
#include "kv/PrefixStore.h"
#include "scheduler/Fleet.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::control {

// One of a few workers, named by a record in the store, of which leaders learn whether there is a
// later one: a worker refuses the calls of a leader once a later one has called it. Only this
// incarnation counts, since a worker that has restarted doesn't know who has called it before.
struct Witness
{
  WorkerId mWorker;
  SocketAddress mAddress;
  scheduler::WorkerIncarnation mIncarnation;

  bool operator==(const Witness&) const = default;
};

// The stored record.
struct WitnessRecord
{
  std::vector<Witness> mWitnesses;
  kv::Revision mRevision;
  // Whether there is a record that can't be read. A leader may have witnesses then.
  bool mIsMalformed = false;
};

// The most witnesses that there are. More than half of them have to answer, so up to four may be
// gone or silent.
inline constexpr std::size_t kMaxWitnesses = 9;

// Serializes the witnesses for the store.
std::string
WriteWitnesses(const std::vector<Witness>& aWitnesses);
// Parses the stored witnesses; returns nullopt if the record is malformed.
std::optional<std::vector<Witness>>
ReadWitnesses(const std::string& aText);

// Returns the witnesses that the record has to name: the present ones that still are fit, and
// others in their place, spread over availability zones and racks. An odd number, so that no two
// halves are equal.
std::vector<Witness>
ChooseWitnesses(const scheduler::Fleet& aFleet, const std::vector<Witness>& aPresent);

// The answers of witnesses to one leader.
class WitnessAnswers
{
public:
  // The worker has answered a call that was sent at that BootTime(), and accepted its fencing
  // token.
  void OnAnswer(const WorkerId& aWorker, scheduler::WorkerIncarnation aIncarnation, Duration aSent);
  // Returns the latest time such that more than half of the witnesses have answered a call which
  // was sent then or later; nullopt if there is none.
  std::optional<Duration> AnsweredSince(const std::vector<Witness>& aWitnesses) const;

private:
  using Incarnation = std::pair<WorkerId, scheduler::WorkerIncarnation>;

  std::map<Incarnation, Duration> mLastAnswered;
};

// The witnesses of the leader of this node, and whether they allow it to renew workers' leases
// although the store doesn't confirm its leadership.
class LeaderWitnesses
{
public:
  // The stored record, which other leaders can't change any more.
  explicit LeaderWitnesses(std::vector<Witness> aStored) { mMayBeStored.push_back(aStored); }

  // See WitnessAnswers::OnAnswer().
  void OnAnswer(const WorkerId& aWorker, scheduler::WorkerIncarnation aIncarnation, Duration aSent);
  bool IsWitness(const WorkerId& aWorker) const;
  // Whether more than half of the witnesses have answered calls that were sent kWitnessAnswerAge
  // ago or later. A successor that more than half have answered knows that this is not so for
  // longer than kWitnessAnswerAge after that.
  bool HaveAnswered(Duration aNow) const;

  // Returns the witnesses to store if the record has to be changed, or if it isn't known which one
  // is stored. One that names fewer than kMaxWitnesses isn't extended while workers are awaited, so
  // that it isn't rewritten with each first answer.
  std::optional<std::vector<Witness>> Change(const scheduler::Fleet& aFleet) const;
  // The change is being stored. Until it is known to be stored, either record may be.
  void OnStoring(std::vector<Witness> aWitnesses);
  void OnStored(bool aIsStored);

private:
  // The records of which one is stored, the last that this leader has written at the end.
  std::vector<std::vector<Witness>> mMayBeStored;
  WitnessAnswers mAnswers;
};

} // namespace lovagerock::control
