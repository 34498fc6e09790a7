#pragma once

#include "base/Units.h"
#include "load/Outcome.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lovagerock::load {

// The body of a request or the payload of a task: JSON with the run time, a unique token, and
// padding up to aSize bytes. The stand-in worker echoes it, so it is also the expected answer.
std::string
MakePayload(const std::string& aToken, Duration aRunTime, std::size_t aSize);

// The token of an echoed payload; empty if there is none.
std::string
TokenOf(const std::string& aAnswer);

// Compares an answer with the expected one: Ok, Truncated, Doubled or Wrong.
Outcome
CheckAnswer(std::string_view aExpected, std::string_view aAnswer);

} // namespace lovagerock::load
