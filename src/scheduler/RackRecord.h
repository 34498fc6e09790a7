#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"

#include <optional>
#include <string>
#include <vector>

namespace lovagerock::scheduler {

// The address of a worker, so that a scheduler that takes over can reach it even if it isn't
// registered.
struct WorkerContact
{
  WorkerId mWorker;
  SocketAddress mAddress;
};

// Serializes the workers of a rack on which runs may be started, for the store.
std::string
WriteRackRecord(const std::vector<WorkerContact>& aWorkers);
// Parses a stored rack record; returns nullopt if it is malformed.
std::optional<std::vector<WorkerContact>>
ReadRackRecord(const std::string& aText);

} // namespace lovagerock::scheduler
