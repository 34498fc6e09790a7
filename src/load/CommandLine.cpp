#include "load/CommandLine.h"

#include "base/Settings.h"
#include "load/Arguments.h"
#include "load/SeriesPlot.h"

#include <fstream>
#include <memory>

namespace lovagerock::load {

namespace detail {
namespace {

void
Print(const Arguments& aArguments, const Json& aReport, std::ostream& aOut)
{
  if (aArguments.mJson) {
    aOut << DumpJson(aReport) << '\n';
  } else {
    auto report = aReport;
    report.erase("series");
    PrintReport(report, aOut);
    if (aReport.contains("series")) {
      PrintSeries(aReport["series"], aOut);
    }
  }
}

// Writes the plot of a report's time series if the command line asks for it.
bool
Plot(const Arguments& aArguments, const Json& aReport, std::ostream& aErr)
{
  if (aArguments.mPlot.empty()) {
    return true;
  }
  std::ofstream file(aArguments.mPlot);
  WritePlot(aReport.value("series", Json::array()),
            "service " + aArguments.mRequests.mPlan.mService, file);
  if (!file.flush()) {
    aErr << aArguments.mPlot << ": cannot be written\n";
    return false;
  }
  return true;
}

// Reads each file with aRead, a function of a stream and a text for the problem.
template<typename Read>
bool
ReadFiles(const std::vector<std::string>& aPaths, std::ostream& aErr, Read aRead)
{
  for (const auto& it : aPaths) {
    std::ifstream file(it);
    std::string problem = "cannot be read";
    if (!file || !aRead(file, problem)) {
      aErr << it << ": " << problem << '\n';
      return false;
    }
  }
  return true;
}

int
RunVerify(const Arguments& aArguments, std::ostream& aOut, std::ostream& aErr)
{
  Verifier verifier(aArguments.mVerify);
  const bool read =
    ReadFiles(aArguments.mWorkerTraces, aErr,
              [&](auto& aFile, auto& aText) { return verifier.ReadWorkerTrace(aFile, aText); }) &&
    ReadFiles(aArguments.mClientTraces, aErr,
              [&](auto& aFile, auto& aText) { return verifier.ReadClientTrace(aFile, aText); });
  if (!read) {
    return kExitUsage;
  }
  const auto breaks = verifier.Check();
  auto report = verifier.Summary();
  report["broken"] = breaks;
  Print(aArguments, report, aOut);
  return breaks.empty() ? kExitClean : kExitFault;
}

bool
ReadTrace(Arguments& aArguments, std::ostream& aErr)
{
  return ReadFiles({ aArguments.mTraceFile }, aErr, [&](auto& aFile, auto& aText) {
    aText.clear();
    aArguments.mTrace.mEntries = ReadTraceFile(aFile, aText);
    return aText.empty();
  });
}

// The load that the command line names, with its own part of the report.
struct Load
{
  std::unique_ptr<RequestLoad> mRequests;
  std::unique_ptr<JobLoad> mJobs;
  std::unique_ptr<TraceLoad> mTrace;

  Load(Session& aSession, const Arguments& aArguments)
  {
    const auto done = [&aSession] { aSession.mLoop.Stop(); };
    if (aArguments.mRequestsCommand->parsed()) {
      mRequests = std::make_unique<RequestLoad>(aSession, aArguments.mRequests, done);
    } else if (aArguments.mJobsCommand->parsed()) {
      mJobs = std::make_unique<JobLoad>(aSession, aArguments.mJobs, done);
    } else {
      mTrace = std::make_unique<TraceLoad>(aSession, aArguments.mTrace, done);
    }
  }

  void Start() const
  {
    if (mRequests) {
      mRequests->Start();
    } else if (mJobs) {
      mJobs->Start();
    } else {
      mTrace->Start();
    }
  }

  Json ToJson(const Session& aSession, std::chrono::microseconds aElapsed) const
  {
    Json report{ { "seed", aSession.mOptions.mSeed } };
    if (mRequests || mTrace) {
      report["requests"] = aSession.mRequests.ToJson(aElapsed);
    }
    if (mRequests) {
      auto series = mRequests->SeriesToJson();
      if (!series.is_null()) {
        report["series"] = std::move(series);
      }
    }
    if (mJobs || mTrace) {
      report["jobs"] = aSession.mJobs.ToJson(aElapsed);
    }
    if (mJobs) {
      report["states_ms"] = mJobs->StatesToJson();
    }
    if (mTrace) {
      report["accounts_ms"] = mTrace->AccountsToJson();
    }
    return report;
  }
};

int
RunLoad(const Arguments& aArguments, std::ostream& aOut, std::ostream& aErr)
{
  if (aArguments.mSession.mTargets.empty()) {
    aErr << "--target is required\n";
    return kExitUsage;
  }
  EventLoop loop;
  Session session(loop, aArguments.mSession);
  if (!aArguments.mTraceLog.empty()) {
    if (const auto ec = session.mLog.Open(aArguments.mTraceLog)) {
      aErr << aArguments.mTraceLog << ": " << ec.message() << '\n';
      return kExitUsage;
    }
  }
  const Load load(session, aArguments);
  const auto begin = std::chrono::steady_clock::now();
  // Posted, because a stop before Run() would have no effect.
  loop.Post([&load] { load.Start(); });
  loop.Run();
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - begin);
  const auto report = load.ToJson(session, elapsed);
  Print(aArguments, report, aOut);
  if (!Plot(aArguments, report, aErr)) {
    return kExitUsage;
  }
  return session.mRequests.IsClean() && session.mJobs.IsClean() ? kExitClean : kExitFault;
}

} // namespace
} // namespace detail

int
RunCommandLine(int aCount, const char* const* aArguments, std::ostream& aOut, std::ostream& aErr)
{
  Arguments arguments;
  int status = 0;
  if (!ParseSettings(arguments.mApp, aCount, aArguments, status)) {
    return status;
  }
  if (arguments.mVerifyCommand->parsed()) {
    return detail::RunVerify(arguments, aOut, aErr);
  }
  if (!arguments.mPlot.empty() && arguments.mRequests.mInterval.count() == 0) {
    arguments.mRequests.mInterval = Duration(1000);
  }
  if (arguments.mTraceCommand->parsed() && !detail::ReadTrace(arguments, aErr)) {
    return kExitUsage;
  }
  return detail::RunLoad(arguments, aOut, aErr);
}

} // namespace lovagerock::load
