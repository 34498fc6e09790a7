#include "base/Json.h"

#include <utility>

namespace lovagerock {

std::optional<Json>
ParseJson(std::string_view aText)
{
  // Deeper nesting than any valid message would only serve to exhaust the stack.
  constexpr int kMaxDepth = 64;
  bool tooDeep = false;
  const auto check = [&tooDeep](int aDepth, Json::parse_event_t, Json&) {
    tooDeep = tooDeep || aDepth > kMaxDepth;
    return aDepth <= kMaxDepth;
  };
  auto value = Json::parse(aText, check, false);
  if (tooDeep || value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

std::string
DumpJson(const Json& aValue)
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace lovagerock
