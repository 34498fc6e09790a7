// Replays traces with the planner and two simple baselines side by side, and generates traces.

#include "bench/BaselinePolicy.h"
#include "bench/TraceGenerator.h"
#include "bench/TraceRun.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>

using namespace lovagerock;
using namespace lovagerock::placement;
using namespace lovagerock::placement::replay;

namespace {

// Maximum delay of the start of urgent and guaranteed work. Guaranteed starts after it count as
// late.
constexpr Duration kMaxStartDelay{ 3400 };
// Minimum run time in the slowdown; with shorter ones, the slowdown of a short job would show the
// start time rather than the wait.
constexpr double kMinRunTimeSeconds = 10;

double
SecondsOf(std::chrono::duration<double> aDuration)
{
  return aDuration.count();
}

nlohmann::json
Distribution(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return { { "mean", 0.0 }, { "p95", 0.0 }, { "p99", 0.0 }, { "max", 0.0 } };
  }
  std::ranges::sort(aValues);
  double sum = 0;
  for (const double it : aValues) {
    sum += it;
  }
  const auto at = [&](double aQuantile) {
    return aValues[static_cast<std::size_t>(aQuantile * static_cast<double>(aValues.size() - 1))];
  };
  return { { "mean", sum / static_cast<double>(aValues.size()) },
           { "p95", at(0.95) },
           { "p99", at(0.99) },
           { "max", aValues.back() } };
}

// Returns the distributions of completion time (minutes) and slowdown over the jobs that a filter
// accepts, without refused and lost ones. A job that hadn't ended when the replay stopped counts as
// if it ended then.
template<typename Filter>
nlohmann::json
SummarizeTimes(const RunResult& aRun, const Filter& aFilter)
{
  std::vector<double> completion;
  std::vector<double> slowdown;
  std::vector<double> lowerBound;
  int unfinished = 0;
  for (const auto& it : aRun.mJobs) {
    if (it.mIsRefused || it.mIsLost || !aFilter(*it.mJob)) {
      continue;
    }
    unfinished += it.mEnded ? 0 : 1;
    const double elapsed = SecondsOf(it.mEnded.value_or(aRun.mEnd) - it.mJob->mPending.mSubmitted);
    const double run = SecondsOf(it.mJob->mRunTime);
    completion.push_back(elapsed / 60);
    slowdown.push_back(std::max(elapsed / std::max(run, kMinRunTimeSeconds), 1.0));
    lowerBound.push_back(SecondsOf(it.mJob->mRunTime + kStartTime) / 60);
  }
  return { { "jobs", completion.size() },
           { "unfinished", unfinished },
           { "completion_min", Distribution(std::move(completion)) },
           { "slowdown", Distribution(std::move(slowdown)) },
           { "lower_bound_min", Distribution(std::move(lowerBound)) } };
}

bool
IsLargeGang(const ReplayJob& aJob)
{
  return aJob.mPending.mTasks >= 8;
}

nlohmann::json
Summarize(const ReplayTrace& aTrace, const RunResult& aRun)
{
  nlohmann::json result{ { "all", SummarizeTimes(aRun, [](const ReplayJob&) { return true; }) },
                         { "large_gangs", SummarizeTimes(aRun, IsLargeGang) } };
  for (const auto& account : aTrace.mAccounts) {
    result["accounts"][account.mAccount.Value()] = SummarizeTimes(
      aRun, [&](const ReplayJob& aJob) { return aJob.mPending.mAccount == account.mAccount; });
  }
  double free = 0;
  double lost = 0;
  for (std::size_t i = 0; i + 1 < aRun.mUsage.size(); ++i) {
    const double hours = SecondsOf(aRun.mUsage[i + 1].mAt - aRun.mUsage[i].mAt) / 3600;
    free += aRun.mUsage[i].mFree * hours;
    lost += aRun.mUsage[i].mFragmented * hours;
  }
  double all = 0;
  for (const auto& it : aTrace.mWorkers) {
    all += static_cast<double>(it.mCapacity.mAccelerators.Value());
  }
  all *= SecondsOf(aRun.mEnd.time_since_epoch()) / 3600;
  double useful = 0;
  int refused = 0;
  int lostJobs = 0;
  int reclaims = 0;
  for (const auto& it : aRun.mJobs) {
    const auto& pending = it.mJob->mPending;
    refused += it.mIsRefused ? 1 : 0;
    lostJobs += it.mIsLost ? 1 : 0;
    reclaims += it.mReclaims;
    if (it.mEnded) {
      useful += SecondsOf(it.mJob->mRunTime) / 3600 * pending.mTasks *
                static_cast<double>(pending.mResourcesPerTask.mAccelerators.Value());
    }
  }
  std::vector<double> delays;
  for (const auto it : aRun.mGuaranteeStartDelays) {
    delays.push_back(SecondsOf(it));
  }
  const auto isLate = [](Duration aDelay) { return aDelay > kMaxStartDelay; };
  std::vector<double> blocked;
  for (const auto it : aRun.mBlockedByOthersDelays) {
    blocked.push_back(SecondsOf(it));
  }
  result["lost_accelerator_hours"] = lost;
  result["free_accelerator_hours"] = free;
  result["makespan_h"] = SecondsOf(aRun.mEnd.time_since_epoch()) / 3600;
  result["utilization"] = all > 0 ? 1 - free / all : 0;
  result["useful_utilization"] = all > 0 ? useful / all : 0;
  result["refused"] = refused;
  result["lost_jobs"] = lostJobs;
  result["reclaims"] = reclaims;
  result["guarantee"] = {
    { "demands", aRun.mGuaranteeStartDelays.size() },
    { "late", std::ranges::count_if(aRun.mGuaranteeStartDelays, isLate) + aRun.mOpenDemands },
    { "missed", std::ranges::count_if(aRun.mBlockedByOthersDelays, isLate) + aRun.mOpenDemands },
    { "late_start_s", Distribution(std::move(delays)) },
    { "start_s", Distribution(std::move(blocked)) },
    { "unassigned_s", SecondsOf(aRun.mUnassigned) }
  };
  result["violations"] = aRun.mViolations;
  return result;
}

void
PrintRow(const std::string& aTrace, const std::string& aPolicy, const nlohmann::json& aResult)
{
  const auto number = [](const nlohmann::json& aValue) { return aValue.get<double>(); };
  const auto& all = aResult["all"];
  std::printf(
    "%-17s %-15s %7.1f %7.1f %7.1f %7.2f %7.2f %7.2f %7.1f %8.1f %6.1f %5.3f %5.3f %5d "
    "%6d %5d %5d %6.2f %5.0f\n",
    aTrace.c_str(), aPolicy.c_str(), number(all["completion_min"]["mean"]),
    number(all["completion_min"]["p95"]), number(all["completion_min"]["p99"]),
    number(all["slowdown"]["mean"]), number(all["slowdown"]["p95"]), number(all["slowdown"]["p99"]),
    number(aResult["large_gangs"]["completion_min"]["mean"]),
    number(aResult["lost_accelerator_hours"]), number(aResult["makespan_h"]),
    number(aResult["utilization"]), number(aResult["useful_utilization"]),
    aResult["reclaims"].get<int>(), aResult["guarantee"]["demands"].get<int>(),
    aResult["guarantee"]["late"].get<int>(), aResult["guarantee"]["missed"].get<int>(),
    number(aResult["guarantee"]["start_s"]["max"]), number(aResult["guarantee"]["unassigned_s"]));
  for (const auto& [account, it] : aResult["accounts"].items()) {
    std::printf("%-17s   %-13s %7.1f %7.1f %7.1f %7.2f %7.2f %7.2f\n", "", account.c_str(),
                number(it["completion_min"]["mean"]), number(it["completion_min"]["p95"]),
                number(it["completion_min"]["p99"]), number(it["slowdown"]["mean"]),
                number(it["slowdown"]["p95"]), number(it["slowdown"]["p99"]));
  }
}

struct NamedPolicy
{
  const char* mName;
  Policy mPolicy;
  bool mHasGuarantees;
};

std::vector<NamedPolicy>
Policies()
{
  const auto baseline = [](Baseline aBaseline) {
    return [aBaseline](const ClusterSnapshot& aSnapshot, PlannerState& aState) {
      return ComputeBaseline(aSnapshot, aState, aBaseline);
    };
  };
  return { { "ours", ComputePlan, true },
           { "first-fit+guar", baseline(Baseline::FirstFit), true },
           { "best-fit+guar", baseline(Baseline::BestFit), true },
           { "first-fit", baseline(Baseline::FirstFit), false },
           { "best-fit", baseline(Baseline::BestFit), false } };
}

// Replays the trace with each policy, or only with the one named, prints the results and adds them
// to aOut. Returns the number of violations.
std::size_t
Replay(const ReplayTrace& aTrace, const std::string& aPolicyName, nlohmann::json& aOut)
{
  std::size_t violations = 0;
  for (const auto& it : Policies()) {
    if (!aPolicyName.empty() && aPolicyName != it.mName) {
      continue;
    }
    const auto result = Summarize(aTrace, RunTrace(aTrace, it.mPolicy, it.mHasGuarantees));
    if (aOut[aTrace.mName].is_null()) {
      std::printf("%-17s %-15s %7.1f %7.1f %7.1f %7.2f %7.2f %7.2f %7.1f\n", aTrace.mName.c_str(),
                  "lower-bound", result["all"]["lower_bound_min"]["mean"].get<double>(),
                  result["all"]["lower_bound_min"]["p95"].get<double>(),
                  result["all"]["lower_bound_min"]["p99"].get<double>(), 1.0, 1.0, 1.0,
                  result["large_gangs"]["lower_bound_min"]["mean"].get<double>());
    }
    PrintRow(aTrace.mName, it.mName, result);
    std::fflush(stdout);
    for (const auto& violation : result["violations"]) {
      std::printf("violation: %s\n", violation.get<std::string>().c_str());
      ++violations;
    }
    aOut[aTrace.mName][it.mName] = result;
  }
  return violations;
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Replays placement traces with the planner and two baselines");
  std::vector<std::string> files;
  std::string jsonFile;
  std::string kind;
  std::string only;
  std::uint64_t seed = 1;
  app.add_option("traces", files, "Trace files");
  app.add_option("--json", jsonFile, "Write the results to this file");
  app.add_option("--policy", only, "Replay only the policy of this name");
  app.add_option("--generate", kind, "Print a generated trace of this kind instead")
    ->check(CLI::IsMember(TraceKinds()));
  app.add_option("--seed", seed, "Seed of the generated trace");
  CLI11_PARSE(app, argc, argv);
  if (!kind.empty()) {
    GenerateTrace(kind, seed, std::cout);
    return 0;
  }
  std::size_t violations = 0;
  nlohmann::json out = nlohmann::json::object();
  std::printf("completion in minutes, slowdown, large gangs (8 tasks or more) in minutes, lost "
              "accelerator-hours, makespan in h\n%-17s %-15s %7s %7s %7s %7s %7s %7s %7s %8s %6s "
              "%5s %5s %5s %6s %5s %5s %6s %5s\n",
              "trace", "policy", "mean", "p95", "p99", "sd", "sd95", "sd99", "large", "lost",
              "span", "util", "usef", "recl", "demand", "late", "miss", "max_s", "unas");
  try {
    for (const auto& it : files) {
      violations += Replay(ReadReplayTrace(it), only, out);
    }
  } catch (const std::exception& it) {
    std::fprintf(stderr, "%s\n", it.what());
    return 2;
  }
  if (!jsonFile.empty()) {
    std::ofstream(jsonFile) << out.dump(1) << "\n";
  }
  return violations == 0 ? 0 : 1;
}
