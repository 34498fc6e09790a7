#pragma once

#include "base/Json.h"

#include <optional>
#include <string>
#include <string_view>

namespace lovagerock::peer {

// Writes a value as CBOR.
std::string
EncodeCbor(const Json& aValue);

// Reads one CBOR value; nothing if it is malformed, nested too deeply or followed by other bytes.
std::optional<Json>
DecodeCbor(std::string_view aBytes);

} // namespace lovagerock::peer
