#include "standin/worker/TaskSpec.h"

#include "base/Json.h"

#include <cstdint>

namespace lovagerock::standin {

std::optional<TaskSpec>
ReadTaskSpec(std::string_view aPayload)
{
  constexpr std::int64_t kMaxAnswer = 64 * 1024 * 1024;
  TaskSpec spec;
  if (aPayload.empty()) {
    return spec;
  }
  const auto json = ParseJson(aPayload);
  if (!json || !json->is_object()) {
    return std::nullopt;
  }
  spec.mRun = Duration(JsonValue<std::int64_t>(*json, "run_ms", 0));
  spec.mFail = JsonValue(*json, "fail", false);
  spec.mIgnoreStop = JsonValue(*json, "ignore_stop", false);
  const auto checkpoint = JsonValue<std::int64_t>(*json, "checkpoint_ms", -1);
  if (checkpoint >= 0) {
    spec.mCheckpoint = Duration(checkpoint);
  }
  const auto bytes = JsonValue<std::int64_t>(*json, "answer_bytes", -1);
  if (spec.mRun.count() < 0 || bytes > kMaxAnswer) {
    return std::nullopt;
  }
  if (json->contains("answer")) {
    spec.mAnswer = JsonValue<std::string>(*json, "answer", "");
  } else if (bytes >= 0) {
    spec.mAnswer = std::string(static_cast<std::size_t>(bytes), 'x');
  }
  return spec;
}

} // namespace lovagerock::standin
