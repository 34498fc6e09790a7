#pragma once

#include "hostile/ConnectionFlood.h"

#include <string>
#include <vector>

namespace lovagerock::integration {

// What hostile callers send, for ConnectionFlood.

// Requests that are sent ahead.
std::vector<FloodPayload>
Pipelined(const std::vector<std::string>& aTargets);

// Bodies of unknown length: in large and in small chunks, with an endless line of a chunk's size,
// with endless empty lines, and with trailers that are larger in memory than on the wire.
std::vector<FloodPayload>
ChunkedBodies();

// Bodies of an announced length: far over what is accepted, and as much as is accepted without
// limits of the settings. The latter stop before their last byte.
std::vector<FloodPayload>
AnnouncedBodies();

// Connections that send nothing, a part of a request, endless lines or header fields.
std::vector<FloodPayload>
IdleAndSlow();

// What unknown peers send to the port for other nodes: no HTTP/2 at all, endless PINGs, many calls
// with bodies that don't end, and calls whose answers are not read.
std::vector<FloodPayload>
PeerFloods();

} // namespace lovagerock::integration
