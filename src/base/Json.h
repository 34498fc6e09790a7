#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace lovagerock {

using Json = nlohmann::json;

// Reads JSON text; nothing if it is malformed.
std::optional<Json>
ParseJson(std::string_view aText);

// Whether the text, JSON or CBOR, is well-formed and not nested too deeply to be handled by
// recursive functions.
bool
IsWellFormedJson(std::string_view aText, Json::input_format_t aFormat = Json::input_format_t::json);

// Writes JSON text; bytes that aren't UTF-8 are replaced.
std::string
DumpJson(const Json& aValue);

// The member of an object if it is present and converts to T, else the default.
template<typename T>
T
JsonValue(const Json& aObject, std::string_view aKey, T aDefault)
{
  if (!aObject.is_object()) {
    return aDefault;
  }
  const auto it = aObject.find(aKey);
  if (it == aObject.end()) {
    return aDefault;
  }
  try {
    return it->template get<T>();
  } catch (const Json::exception&) {
    return aDefault;
  }
}

} // namespace lovagerock
