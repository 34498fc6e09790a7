#pragma once

#include "load/JobLoad.h"
#include "load/RequestLoad.h"
#include "load/TraceLoad.h"
#include "load/Verifier.h"

#include <CLI/CLI.hpp>

#include <string>
#include <vector>

namespace lovagerock::load {

// The parser of the load tool and what it fills in.
struct Arguments
{
  Arguments();

  CLI::App mApp{ "Load and experiment tool for lovagerock", "lovagerock-load" };
  SessionOptions mSession;
  bool mJson = false;
  std::string mTraceLog;

  CLI::App* mRequestsCommand;
  RequestLoadOptions mRequests;
  // File that gets the plot of the time series; empty for none.
  std::string mPlot;

  CLI::App* mJobsCommand;
  JobLoadOptions mJobs;

  CLI::App* mTraceCommand;
  std::string mTraceFile;
  TraceLoadOptions mTrace;

  CLI::App* mVerifyCommand;
  std::vector<std::string> mWorkerTraces;
  std::vector<std::string> mClientTraces;
  VerifyOptions mVerify;

private:
  void AddSession();
  void AddRequests();
  void AddOpenLoop();
  void AddJobs();
  void AddTrace();
  void AddVerify();
};

} // namespace lovagerock::load
