#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "scheduler/WorkerReport.h"

#include <optional>
#include <string>
#include <vector>

namespace lovagerock::scheduler {

// What a scheduler that takes over must know of a worker, even if the worker isn't registered.
struct WorkerContact
{
  WorkerId mWorker;
  SocketAddress mAddress;
  // The worker's last known incarnation; 0 if unknown.
  WorkerIncarnation mIncarnation;
  // See Worker::mHasRestarted.
  bool mHasRestarted = false;
};

// Serializes the workers of a rack on which runs may be started, for the store.
std::string
WriteRackRecord(const std::vector<WorkerContact>& aWorkers);
// Parses a stored rack record; returns nullopt if it is malformed.
std::optional<std::vector<WorkerContact>>
ReadRackRecord(const std::string& aText);

} // namespace lovagerock::scheduler
