#include "peer/Cbor.h"

namespace lovagerock::peer {

std::string
EncodeCbor(const Json& aValue)
{
  std::string bytes;
  Json::to_cbor(aValue, bytes);
  return bytes;
}

std::optional<Json>
DecodeCbor(std::string_view aBytes)
{
  // The parser is recursive, and a hostile body could exhaust the stack.
  if (!IsWellFormedJson(aBytes, Json::input_format_t::cbor)) {
    return std::nullopt;
  }
  auto value = Json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  return value.is_discarded() ? std::nullopt : std::optional(std::move(value));
}

} // namespace lovagerock::peer
