#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"

#include <optional>
#include <string>
#include <vector>

namespace lovagerock::scheduler {

// How a scheduler that takes over reaches a worker that isn't registered.
struct WorkerContact
{
  WorkerId mWorker;
  SocketAddress mAddress;
};

// The stored form of the workers of a rack on which work may be started.
std::string
WriteRackRecord(const std::vector<WorkerContact>& aWorkers);
// Reads it; nothing if it is malformed.
std::optional<std::vector<WorkerContact>>
ReadRackRecord(const std::string& aText);

} // namespace lovagerock::scheduler
