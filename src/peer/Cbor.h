#pragma once

#include "base/Json.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lovagerock::peer {

// Writes a value as CBOR.
std::string
EncodeCbor(const Json& aValue);

// Reads one CBOR value; nothing if it is malformed, nested too deeply, followed by other bytes or
// has more than aMaxValues values and keys. 0 is no limit.
std::optional<Json>
DecodeCbor(std::string_view aBytes, std::size_t aMaxValues = 0);

} // namespace lovagerock::peer
