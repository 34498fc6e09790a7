#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagerock {

// A 64-bit hash (XXH3) that is the same on every node; not for secrets.
std::uint64_t
HashText(std::string_view aText);

// The SHA-256 digest in lower-case hexadecimal.
std::string
Sha256Hex(std::string_view aText);

} // namespace lovagerock
