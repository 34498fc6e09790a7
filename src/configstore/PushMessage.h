#pragma once

#include "base/Json.h"
#include "configstore/ConfigRecord.h"

#include <optional>

namespace lovagerock::configstore {

// A push with the JSON patch from one configuration to the next.
Json
WritePatch(const AcceptedConfig& aBase, const AcceptedConfig& aNext);

// A push with the whole body.
Json
WriteWhole(const AcceptedConfig& aConfig);

// The configuration of a push. Nothing if the push is malformed, its patch has another base than
// the given configuration (null for none), or the result does not have the hash of the head.
std::optional<AcceptedConfig>
ReadPush(const Json& aMessage, const AcceptedConfig* aCurrent);

} // namespace lovagerock::configstore
