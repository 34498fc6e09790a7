#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lovagerock::kv {

// Encodes bytes as base64 with padding.
std::string
EncodeBase64(std::string_view aBytes);

// Decodes base64 with padding; nothing if the text is malformed.
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace lovagerock::kv
