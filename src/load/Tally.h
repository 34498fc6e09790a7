#pragma once

#include "base/Json.h"
#include "load/Latencies.h"
#include "load/Outcome.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>

namespace lovagerock::load {

// Counts outcomes and the times of good answers.
class Tally
{
public:
  // aError names the reason of a refusal or an unknown outcome.
  void Add(Outcome aOutcome, const std::string& aError, std::chrono::microseconds aTime);
  void AddRetries(std::int64_t aCount) { mRetries += aCount; }

  std::int64_t Count(Outcome aOutcome) const;
  std::int64_t Total() const;
  // Whether no answer was lost, wrong, truncated or doubled.
  bool IsClean() const;
  // aElapsed is the time of the whole run.
  Json ToJson(std::chrono::microseconds aElapsed) const;

private:
  std::map<Outcome, std::int64_t> mCounts;
  std::map<std::string, std::int64_t> mErrors;
  std::int64_t mRetries = 0;
  Latencies mLatencies;
};

// Prints the members of a report in lines, nested ones indented.
void
PrintReport(const Json& aReport, std::ostream& aOut, int aIndent = 0);

} // namespace lovagerock::load
