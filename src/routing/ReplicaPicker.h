#pragma once

#include "base/Random.h"
#include "routing/RoutingTable.h"

namespace lovagerock::routing {

// Chooses the replica for each attempt and keeps the workers' failure counts. Belongs to its loop.
class ReplicaPicker
{
public:
  ReplicaPicker(const RoutingTable& aTable, ZoneId aZone, Random& aRandom);

  // A replica with a free slot and a free connection, by power of two choices on outstanding
  // requests over slots; the own zone wins a tie. Non-idempotent requests get replicas that can't
  // be reclaimed. aAvoid is used only if nothing else is free. Null if nothing is free.
  ReplicaPtr
  Pick(const ServiceId& aService, bool aIdempotent, const WorkerId& aAvoid, TimePoint aNow);
  // Counts a request on the replica, and takes it off again.
  static void Reserve(Replica& aReplica);
  static void Release(Replica& aReplica);
  // Records the outcome of an attempt. True if the failure ejected the worker.
  bool Report(ReplicaHost& aHost, bool aSuccess, TimePoint aNow);

private:
  bool IsUsable(const Replica& aReplica, bool aIdempotent, TimePoint aNow) const;
  bool IsBetter(const Replica& aLeft, const Replica& aRight) const;

  const RoutingTable& mTable;
  ZoneId mZone;
  Random& mRandom;
};

} // namespace lovagerock::routing
