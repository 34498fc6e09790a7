#pragma once

#include "base/Units.h"

#include <optional>
#include <string>
#include <string_view>

namespace lovagerock::standin {

// What a task or request does, read from its payload.
struct TaskSpec
{
  // Time that the work takes at full speed.
  Duration mRun{ 0 };
  // The answer; by default the payload itself.
  std::optional<std::string> mAnswer;
  // Ends with an error after its run time.
  bool mFail = false;
  // Time that writing a checkpoint takes; nothing if the task can't write one.
  std::optional<Duration> mCheckpoint;
  // Goes on after a stop command until the deadline.
  bool mIgnoreStop = false;
};

// Reads {"run_ms", "answer", "answer_bytes", "fail", "checkpoint_ms", "ignore_stop"}. Empty text
// gives the defaults; nothing for other text that isn't a JSON object, for a negative time or for
// more than 64 MiB of answer.
std::optional<TaskSpec>
ReadTaskSpec(std::string_view aPayload);

} // namespace lovagerock::standin
