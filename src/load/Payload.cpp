#include "load/Payload.h"

#include "base/Json.h"

namespace lovagerock::load {

std::string
MakePayload(const std::string& aToken, Duration aRunTime, std::size_t aSize)
{
  Json json{ { "run_ms", aRunTime.count() }, { "token", aToken } };
  auto text = DumpJson(json);
  // The member "pad" takes 9 bytes besides its text.
  constexpr std::size_t kPadOverhead = 9;
  if (text.size() + kPadOverhead < aSize) {
    json["pad"] = std::string(aSize - text.size() - kPadOverhead, 'x');
    text = DumpJson(json);
  }
  return text;
}

std::string
TokenOf(const std::string& aAnswer)
{
  const auto json = ParseJson(aAnswer);
  return json ? JsonValue(*json, "token", std::string()) : std::string();
}

Outcome
CheckAnswer(std::string_view aExpected, std::string_view aAnswer)
{
  if (aAnswer == aExpected) {
    return Outcome::Ok;
  }
  if (aExpected.starts_with(aAnswer)) {
    return Outcome::Truncated;
  }
  const auto first = aAnswer.find(aExpected);
  if (first != std::string_view::npos &&
      aAnswer.find(aExpected, first + aExpected.size()) != std::string_view::npos) {
    return Outcome::Doubled;
  }
  return Outcome::Wrong;
}

} // namespace lovagerock::load
