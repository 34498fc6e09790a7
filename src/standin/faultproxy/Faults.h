#pragma once

#include "base/Json.h"
#include "base/Units.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lovagerock::standin {

// Which connections carry no bytes.
enum class Silence
{
  None,
  Existing,
  All
};

// The faults in effect on one mapping.
struct Faults
{
  // Added to each direction.
  Duration mLatency{ 0 };
  // New connections are refused by the operating system.
  bool mRefuseNew = false;
  // Connections opened from now on are silent.
  bool mSilenceNew = false;
  // Both sides of a connection are closed after so many bytes of answers; 0 for never.
  std::int64_t mCutAfterBytes = 0;
  // Number of requests still to come whose answers are dropped.
  std::int64_t mDropAnswers = 0;
};

// A change of faults. Members that are absent keep the present value.
struct FaultChange
{
  std::optional<Duration> mLatency;
  std::optional<bool> mRefuseNew;
  std::optional<Silence> mSilence;
  std::optional<std::int64_t> mCutAfterBytes;
  std::optional<std::int64_t> mDropAnswers;
  // Closes all open connections once.
  bool mReset = false;
};

// Reads the body of POST /v1/faults. Nothing if it isn't a JSON object or a member is unknown or
// has a wrong type or value, so that a misspelled fault doesn't pass as a test without faults.
std::optional<FaultChange>
ReadFaultChange(std::string_view aText);

} // namespace lovagerock::standin
