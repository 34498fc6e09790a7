#include "load/WorkerRuns.h"

#include "load/TraceFields.h"

#include <algorithm>

namespace lovagerock::load {

namespace detail {
namespace {

namespace field = worker_trace;

std::vector<WorkerRun>&
RunsOf(WorkerRuns& aRuns, const Json& aLine)
{
  const auto job = JsonValue(aLine, field::kJob, std::string());
  if (job.empty()) {
    return aRuns.mRequests[JsonValue(aLine, field::kRequest, std::string())];
  }
  return aRuns.mJobs[job][JsonValue(aLine, field::kAttempt, std::int64_t{ 0 })]
                    [JsonValue(aLine, field::kTask, 0)];
}

bool
AddEvent(WorkerRuns& aRuns, const Json& aLine)
{
  const auto event = JsonValue(aLine, field::kEvent, std::string());
  if (event == field::kLeaving || event == field::kRefused) {
    return true;
  }
  const double time = JsonValue(aLine, field::kTime, -1.0);
  const bool named = !JsonValue(aLine, field::kJob, std::string()).empty() ||
                     !JsonValue(aLine, field::kRequest, std::string()).empty();
  if (time < 0 || !named) {
    return false;
  }
  auto& runs = RunsOf(aRuns, aLine);
  if (event == field::kStart) {
    if (const auto token = JsonValue(aLine, field::kToken, std::string()); !token.empty()) {
      ++aRuns.mTokenStarts[token];
    }
    runs.push_back({ time, WorkerRun::kOpen, "", JsonValue(aLine, field::kIdempotent, true),
                     JsonValue(aLine, field::kTasks, 1) });
    return true;
  }
  if (event != field::kEnd) {
    return false;
  }
  const auto open = std::ranges::find(runs, WorkerRun::kOpen, &WorkerRun::mEnd);
  if (open == runs.end()) {
    return false;
  }
  open->mEnd = time;
  open->mOutcome = JsonValue(aLine, field::kOutcome, std::string());
  return true;
}

} // namespace
} // namespace detail

bool
WorkerRuns::Read(std::istream& aFile, std::string& aProblem)
{
  int number = 0;
  for (std::string line; std::getline(aFile, line);) {
    ++number;
    const auto json = ParseJson(line);
    if (!json && aFile.eof()) {
      return true;
    }
    if (!json || !detail::AddEvent(*this, *json)) {
      aProblem = "line " + std::to_string(number) + " is malformed or ends what did not start";
      return false;
    }
  }
  return true;
}

std::string
BaseRequestId(const std::string& aId)
{
  const auto dot = aId.rfind('.');
  const bool numbered = dot != std::string::npos && dot + 1 < aId.size() &&
                        std::all_of(aId.begin() + static_cast<std::ptrdiff_t>(dot) + 1, aId.end(),
                                    [](char aLetter) { return aLetter >= '0' && aLetter <= '9'; });
  return numbered ? aId.substr(0, dot) : aId;
}

} // namespace lovagerock::load
