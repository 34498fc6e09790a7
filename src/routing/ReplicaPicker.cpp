#include "routing/ReplicaPicker.h"

#include <algorithm>

namespace lovagerock::routing {

namespace detail {
namespace {

constexpr int kFailuresToEject = 5;
constexpr Duration kFirstEjection{ 5000 };
constexpr Duration kLongestEjection{ 60000 };

} // namespace
} // namespace detail

ReplicaPicker::ReplicaPicker(const RoutingTable& aTable, ZoneId aZone, Random& aRandom)
  : mTable(aTable)
  , mZone(std::move(aZone))
  , mRandom(aRandom)
{
}

ReplicaPtr
ReplicaPicker::Pick(const ServiceId& aService, bool aIdempotent, const WorkerId& aAvoid,
                    TimePoint aNow)
{
  const auto& replicas = mTable.Replicas(aService);
  if (replicas.empty()) {
    return nullptr;
  }
  // Takes the first usable replica after each of two random positions. If the first scan finds
  // none, there is no second one, so a service without a free replica costs one pass.
  ReplicaPtr best;
  ReplicaPtr avoided;
  for (int choice = 0; choice < 2; ++choice) {
    const auto start = mRandom.Below(replicas.size());
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      const auto& it = replicas[(start + i) % replicas.size()];
      if (it == best || !IsUsable(*it, aIdempotent, aNow)) {
        continue;
      }
      if (it->mHost->mWorker == aAvoid) {
        avoided = it;
        continue;
      }
      if (!best || IsBetter(*it, *best)) {
        best = it;
      }
      break;
    }
    if (!best) {
      break;
    }
  }
  return best ? best : avoided;
}

void
ReplicaPicker::Reserve(Replica& aReplica)
{
  ++aReplica.mOutstanding;
  ++aReplica.mHost->mOutstanding;
}

void
ReplicaPicker::Release(Replica& aReplica)
{
  --aReplica.mOutstanding;
  --aReplica.mHost->mOutstanding;
}

bool
ReplicaPicker::RecordOutcome(ReplicaHost& aHost, bool aSuccess, TimePoint aNow)
{
  if (aSuccess) {
    aHost.mFailures = 0;
    aHost.mNextEjection = detail::kFirstEjection;
    return false;
  }
  ++aHost.mFailures;
  const bool mayEject = (mTable.EjectedCount(aNow) + 1) * 2 <= mTable.HostCount();
  if (aHost.mFailures < detail::kFailuresToEject || aHost.mEjectedUntil > aNow || !mayEject) {
    return false;
  }
  aHost.mFailures = 0;
  aHost.mEjectedUntil = aNow + aHost.mNextEjection;
  aHost.mNextEjection = std::min(aHost.mNextEjection * 2, detail::kLongestEjection);
  return true;
}

bool
ReplicaPicker::IsUsable(const Replica& aReplica, bool aIdempotent, TimePoint aNow) const
{
  return aReplica.mOutstanding < aReplica.mSlots && (aIdempotent || !aReplica.mReclaimable) &&
         aReplica.mHost->mOutstanding < mTable.ConnectionShare(*aReplica.mHost) &&
         aReplica.mHost->mEjectedUntil <= aNow;
}

bool
ReplicaPicker::IsBetter(const Replica& aLeft, const Replica& aRight) const
{
  // Compares outstanding / slots without division.
  const auto left = static_cast<std::int64_t>(aLeft.mOutstanding) * aRight.mSlots;
  const auto right = static_cast<std::int64_t>(aRight.mOutstanding) * aLeft.mSlots;
  if (left != right) {
    return left < right;
  }
  return aLeft.mHost->mZone == mZone && aRight.mHost->mZone != mZone;
}

} // namespace lovagerock::routing
