#include "load/Verifier.h"

#include "load/Outcome.h"
#include "load/TraceFields.h"

#include <algorithm>
#include <utility>

namespace lovagerock::load {

namespace detail {
namespace {

constexpr const char* kRanTwice = "ran_twice";
constexpr const char* kNotRunButRan = "not_run_but_ran";
constexpr const char* kPartialGang = "partial_gang";
constexpr const char* kNotAnsweredOnce = "not_answered_once";

using TaskRuns = std::map<int, std::vector<WorkerRun>>;

std::string
Text(const Json& aLine, const char* aField)
{
  return JsonValue(aLine, aField, std::string());
}

bool
IsIdempotent(const std::vector<WorkerRun>& aRuns)
{
  return std::ranges::all_of(aRuns, &WorkerRun::mIdempotent);
}

// Whether the outcomes that a client trace may hold for an accepted request or job include this.
bool
IsAnswer(const Json& aLine)
{
  const auto outcome = Text(aLine, client_trace::kOutcome);
  return outcome == OutcomeName(Outcome::Ok) || outcome == OutcomeName(Outcome::Refused) ||
         outcome == OutcomeName(Outcome::Unknown);
}

} // namespace
} // namespace detail

Verifier::Verifier(VerifyOptions aOptions)
  : mOptions(aOptions)
{
}

bool
Verifier::ReadWorkerTrace(std::istream& aFile, std::string& aProblem)
{
  return mRuns.Read(aFile, aProblem);
}

bool
Verifier::ReadClientTrace(std::istream& aFile, std::string& aProblem)
{
  int number = 0;
  for (std::string line; std::getline(aFile, line);) {
    ++number;
    auto json = ParseJson(line);
    const auto kind = json ? detail::Text(*json, client_trace::kKind) : std::string();
    if (kind == client_trace::kRequestKind) {
      mRequests.push_back(std::move(*json));
    } else if (kind == client_trace::kJobKind) {
      mJobs.push_back(std::move(*json));
    } else {
      aProblem = "line " + std::to_string(number) + " is malformed";
      return false;
    }
  }
  return true;
}

std::vector<std::string>
Verifier::Check()
{
  mBreaks.clear();
  mStarts.clear();
  for (const auto& [id, runs] : mRuns.mRequests) {
    mStarts[id] += runs.size();
    if (const auto base = BaseRequestId(id); base != id) {
      mStarts[base] += runs.size();
    }
  }
  CheckRequestRuns();
  CheckJobRuns();
  CheckClientRequests();
  CheckClientJobs();
  return mBreaks;
}

void
Verifier::CheckRequestRuns()
{
  std::set<std::string> reported;
  for (const auto& [id, runs] : mRuns.mRequests) {
    const auto base = BaseRequestId(id);
    if (!detail::IsIdempotent(runs) && StartsOf(base) > 1 && reported.insert(base).second) {
      Break(detail::kRanTwice, "request " + base + " is not idempotent and started " +
                                 std::to_string(StartsOf(base)) + " times");
    }
  }
}

void
Verifier::CheckJobRuns()
{
  for (const auto& [job, attempts] : mRuns.mJobs) {
    bool idempotent = true;
    for (const auto& [attempt, tasks] : attempts) {
      const auto name = "job " + job + " attempt " + std::to_string(attempt);
      for (const auto& [task, runs] : tasks) {
        idempotent = idempotent && detail::IsIdempotent(runs);
        if (runs.size() > 1) {
          Break(detail::kRanTwice, name + " task " + std::to_string(task) + " started " +
                                     std::to_string(runs.size()) + " times");
        }
      }
      CheckGang(name, tasks);
    }
    if (!idempotent && attempts.size() > 1) {
      Break(detail::kRanTwice, "job " + job + " is not idempotent and ran in " +
                                 std::to_string(attempts.size()) + " attempts");
    }
  }
}

void
Verifier::CheckGang(const std::string& aName, const detail::TaskRuns& aTasks)
{
  double firstStart = WorkerRun::kOpen;
  double lastStart = 0;
  double firstEnd = WorkerRun::kOpen;
  int size = 1;
  for (const auto& [task, runs] : aTasks) {
    for (const auto& run : runs) {
      firstStart = std::min(firstStart, run.mStart);
      lastStart = std::max(lastStart, run.mStart);
      firstEnd = std::min(firstEnd, run.mEnd);
      size = std::max(size, run.mTasks);
    }
  }
  if (static_cast<int>(aTasks.size()) < size) {
    CheckIncompleteGang(aName, aTasks);
  } else if (lastStart > firstEnd &&
             lastStart - firstStart > static_cast<double>(mOptions.mGangStart.count())) {
    Break(detail::kPartialGang, aName + ": a member ended before another started");
  }
}

void
Verifier::CheckIncompleteGang(const std::string& aName, const detail::TaskRuns& aTasks)
{
  for (const auto& [task, runs] : aTasks) {
    for (const auto& run : runs) {
      const bool open = run.mEnd == WorkerRun::kOpen;
      if (run.mOutcome == worker_trace::kFinished || (open && !mOptions.mOpenIsStopped)) {
        Break(detail::kPartialGang, aName + " task " + std::to_string(task) +
                                      (open ? " was not stopped" : " ran to its end") +
                                      ", and another member did not start");
      }
    }
  }
}

void
Verifier::CheckClientRequests()
{
  std::map<std::string, int> lines;
  for (const auto& line : mRequests) {
    const auto key = detail::Text(line, client_trace::kKey);
    if (++lines[key] > 1 || !detail::IsAnswer(line)) {
      Break(detail::kNotAnsweredOnce,
            "request " + key + ": " + detail::Text(line, client_trace::kOutcome));
    }
    std::set<std::string> ids;
    for (const auto& it : JsonValue(line, client_trace::kAttempts, Json::array())) {
      const auto id = detail::Text(it, client_trace::kId);
      if (detail::Text(it, client_trace::kRan) == "no" && StartsOf(id) > 0) {
        Break(detail::kNotRunButRan,
              std::string("request ").append(id).append(" of key ").append(key));
      }
      ids.insert(id);
    }
    std::size_t starts = 0;
    for (const auto& it : ids) {
      starts += StartsOf(it);
    }
    // Also finds runs under ids that the caller was never told.
    const auto token = mRuns.mTokenStarts.find(detail::Text(line, client_trace::kToken));
    if (token != mRuns.mTokenStarts.end()) {
      starts = std::max(starts, token->second);
    }
    if (!JsonValue(line, client_trace::kIdempotent, true) && starts > 1) {
      Break(detail::kRanTwice, "key " + key + " is not idempotent and its requests started " +
                                 std::to_string(starts) + " times");
    }
  }
}

void
Verifier::CheckClientJobs()
{
  std::map<std::string, int> lines;
  for (const auto& line : mJobs) {
    const auto job = detail::Text(line, client_trace::kJob);
    const auto outcome = detail::Text(line, client_trace::kOutcome);
    const auto name = "job " + job + " of key " + detail::Text(line, client_trace::kKey);
    if (job.empty()) {
      if (!detail::IsAnswer(line)) {
        Break(detail::kNotAnsweredOnce, std::string(name).append(": ").append(outcome));
      }
      continue;
    }
    const bool finished = outcome == OutcomeName(Outcome::Ok);
    const bool whole =
      JsonValue(line, client_trace::kAnswers, 0) == JsonValue(line, client_trace::kTasks, 1);
    if (++lines[job] > 1 || !detail::IsAnswer(line) || (finished && !whole)) {
      Break(detail::kNotAnsweredOnce, std::string(name).append(": ").append(outcome));
    }
  }
}

std::size_t
Verifier::StartsOf(const std::string& aRequestId) const
{
  const auto it = mStarts.find(aRequestId);
  return it == mStarts.end() ? 0 : it->second;
}

void
Verifier::Break(const char* aRule, const std::string& aText)
{
  mBreaks.push_back(std::string(aRule) + ": " + aText);
}

Json
Verifier::Summary() const
{
  return { { "client_requests", mRequests.size() },
           { "client_jobs", mJobs.size() },
           { "worker_requests", mRuns.mRequests.size() },
           { "worker_jobs", mRuns.mJobs.size() },
           { "breaks", mBreaks.size() } };
}

} // namespace lovagerock::load
