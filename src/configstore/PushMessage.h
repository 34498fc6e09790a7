#pragma once

#include "base/Json.h"
#include "configstore/ConfigRecord.h"

#include <optional>

namespace lovagerock::configstore {

// Returns a push message with the JSON patch from one configuration to the next.
Json
WritePatch(const AcceptedConfig& aBase, const AcceptedConfig& aNext);

// Returns a push message with the full body.
Json
WriteFullBody(const AcceptedConfig& aConfig);

// Returns the configuration of a push message. Returns nullopt if the message is malformed, if its
// patch is for another base than aCurrent (null for none), or if the hash of the result differs
// from the hash in the head.
std::optional<AcceptedConfig>
ReadPush(const Json& aMessage, const AcceptedConfig* aCurrent);

} // namespace lovagerock::configstore
