#pragma once

#include "base/Random.h"
#include "routing/RoutingTable.h"

namespace lovagerock::routing {

// Chooses the replica for each attempt, and ejects workers after consecutive failures. Not
// thread-safe.
class ReplicaPicker
{
public:
  ReplicaPicker(const RoutingTable& aTable, ZoneId aZone, Random& aRandom);

  // Returns a replica with a free slot and a free connection, or null if there is none. Compares
  // two random candidates by outstanding requests per slot; a replica in this node's availability
  // zone wins a tie. Non-idempotent requests get only replicas that can't be reclaimed. The worker
  // aAvoid is chosen only if no other is free.
  ReplicaPtr
  Pick(const ServiceId& aService, bool aIdempotent, const WorkerId& aAvoid, TimePoint aNow);
  // Reserve() adds a request to the counts of the replica and its worker, Release() subtracts it.
  static void Reserve(Replica& aReplica);
  static void Release(Replica& aReplica);
  // Records the outcome of an attempt. Returns true if the failure ejected the worker: after 5
  // consecutive failures, for 5 s, doubling up to 60 s, as long as at most half of the workers with
  // replicas are ejected.
  bool RecordOutcome(ReplicaHost& aHost, bool aSuccess, TimePoint aNow);

private:
  bool IsUsable(const Replica& aReplica, bool aIdempotent, TimePoint aNow) const;
  bool IsBetter(const Replica& aLeft, const Replica& aRight) const;

  const RoutingTable& mTable;
  ZoneId mZone;
  Random& mRandom;
};

} // namespace lovagerock::routing
