#include "load/Arguments.h"

#include "base/Random.h"
#include "base/Settings.h"

#include <limits>

namespace lovagerock::load {

namespace detail {
namespace {

const CLI::Validator kAddress(
  [](const std::string& aText) {
    return SocketAddress::Parse(aText) ? std::string()
                                       : "'" + aText + "' is not an IPv4 address and port";
  },
  "IP:PORT");

const CLI::Validator kAccountToken(
  [](const std::string& aText) {
    const auto equals = aText.find('=');
    return equals != std::string::npos && equals > 0 ? std::string()
                                                     : "'" + aText + "' is not ACCOUNT=TOKEN";
  },
  "ACCOUNT=TOKEN");

void
AddAdjacency(CLI::App& aApp, Adjacency& aValue)
{
  aApp
    .add_option_function<std::string>(
      "--adjacency",
      [&aValue](const std::string& aText) {
        aValue = ParseAdjacency(aText).value_or(Adjacency::Region);
      },
      "How close the workers of a job must be")
    ->check(CLI::IsMember({ "worker", "rack", "zone", "region" }));
}

} // namespace
} // namespace detail

Arguments::Arguments()
  : mRequestsCommand(mApp.add_subcommand("requests", "Send requests to a service"))
  , mJobsCommand(mApp.add_subcommand("jobs", "Submit jobs and fetch their answers"))
  , mTraceCommand(mApp.add_subcommand("trace", "Replay a trace of jobs and requests"))
  , mVerifyCommand(mApp.add_subcommand("verify", "Check trace files against each other"))
{
  // The flags of the session are accepted after the command as well.
  mApp.fallthrough();
  mApp.require_subcommand(1);
  AddSession();
  AddRequests();
  AddJobs();
  AddTrace();
  AddVerify();
}

void
Arguments::AddSession()
{
  mApp
    .add_option_function<std::vector<std::string>>(
      "--target",
      [this](const std::vector<std::string>& aTexts) {
        for (const auto& it : aTexts) {
          mSession.mTargets.push_back(SocketAddress::Parse(it).value_or(SocketAddress()));
        }
      },
      "Entry node; may be given several times, used in turn")
    ->check(detail::kAddress)
    ->allow_extra_args(false)
    ->delimiter(',');
  AddSetting(mApp, "--token", mSession.mToken, "Bearer token of the client account");
  mSession.mSeed = Random::SystemSeed();
  AddSetting(mApp, "--seed", mSession.mSeed, "Seed of the random choices");
  AddSetting(mApp, "--deadline-ms", mSession.mDeadline, "Deadline of each request", Duration(1));
  AddSetting(mApp, "--give-up-ms", mSession.mGiveUp, "Time after which a call is not retried");
  mApp.add_flag("--json", mJson, "Print JSON");
  AddSetting(mApp, "--trace-log", mTraceLog, "File that gets one JSON line per request or job");
}

void
Arguments::AddRequests()
{
  auto& app = *mRequestsCommand;
  auto& options = mRequests;
  app.add_option("--service", options.mPlan.mService, "Service to call")->required();
  app
    .add_option("--connections", options.mConnections,
                "Requests open at a time; in an open loop the most")
    ->check(CLI::Range(1, 10000))
    ->capture_default_str();
  AddOpenLoop();
  AddSetting(app, "--duration-ms", options.mTime, "Time of sending; 0 is no limit");
  app.add_option("--count", options.mCount, "Number of requests; 0 is no limit")
    ->check(CLI::NonNegativeNumber)
    ->capture_default_str();
  app
    .add_option("--non-idempotent-percent", options.mNonIdempotentPercent,
                "Share of requests that are not idempotent")
    ->check(CLI::Range(0, 100))
    ->capture_default_str();
  AddSetting(app, "--run-ms", options.mPlan.mRunTime, "Run time of each request");
  app.add_option("--answer-bytes", options.mPlan.mSize, "Size of each body and answer")
    ->check(CLI::Range(0, 1 << 30))
    ->capture_default_str();
  app.add_option("--worker-lease", options.mPlan.mWorkerLease,
                 "Send to workers themselves, under this service lease");
}

void
Arguments::AddOpenLoop()
{
  auto& app = *mRequestsCommand;
  auto& options = mRequests;
  auto* rate = app
                 .add_option_function<double>(
                   "--rate",
                   [&options](double aRate) {
                     if (aRate > 0) {
                       options.mSchedule = RateSchedule::Constant(aRate);
                     }
                   },
                   "Requests a second in an open loop; 0 is a closed loop")
                 ->check(CLI::NonNegativeNumber);
  app
    .add_option_function<std::string>(
      "--schedule",
      [&options](const std::string& aText) {
        std::string problem;
        options.mSchedule = RateSchedule::Parse(aText, problem);
        if (!options.mSchedule) {
          throw CLI::ValidationError("--schedule", problem);
        }
        if (options.mInterval.count() == 0) {
          options.mInterval = Duration(1000);
        }
      },
      "Rates of an open loop: TIME:RATE, TIME:FROM-TO or TIME:+COUNT, separated by commas")
    ->excludes(rate);
  AddSetting(app, "--interval-ms", options.mInterval,
             "Interval of the time series; 0 is none, or 1000 with --schedule");
  app.add_option("--plot", mPlot, "SVG file that gets a plot of the time series");
}

void
Arguments::AddJobs()
{
  auto& app = *mJobsCommand;
  auto& plan = mJobs.mPlan;
  app.add_option("--count", mJobs.mCount, "Number of jobs")
    ->check(CLI::Range(1, 100000))
    ->capture_default_str();
  AddSetting(app, "--interval-ms", mJobs.mInterval, "Time between submissions; 0 is all at once");
  app.add_option("--tasks", plan.mTasks, "Tasks of each job")
    ->check(CLI::Range(1, 512))
    ->capture_default_str();
  app.add_option("--accelerators", plan.mAccelerators, "Accelerators of each task")
    ->check(CLI::NonNegativeNumber)
    ->capture_default_str();
  detail::AddAdjacency(app, plan.mAdjacency);
  app.add_flag("--urgent", plan.mUrgent, "Submit urgent jobs");
  AddSetting(app, "--run-ms", plan.mRunTime, "Run time of each task");
  AddSetting(app, "--estimated-ms", plan.mEstimate, "Run time told to the system; 0 is none");
  AddSetting(app, "--limit-ms", plan.mLimit, "A job that has not ended then is lost");
  app.add_option("--idempotent", plan.mIdempotent, "true or false")->capture_default_str();
}

void
Arguments::AddTrace()
{
  auto& app = *mTraceCommand;
  app.add_option("FILE", mTraceFile, "Trace file")->required()->check(CLI::ExistingFile);
  app.add_option("--speed", mTrace.mSpeed, "How many times faster than recorded")
    ->check(CLI::Range(0.001, 1e9))
    ->capture_default_str();
  app
    .add_option_function<std::vector<std::string>>(
      "--account-token",
      [this](const std::vector<std::string>& aTexts) {
        for (const auto& it : aTexts) {
          const auto equals = it.find('=');
          mTrace.mBearers[it.substr(0, equals)] = it.substr(equals + 1);
        }
      },
      "ACCOUNT=TOKEN; may be given several times; other accounts use --token")
    ->check(detail::kAccountToken)
    ->allow_extra_args(false);
  app.add_option("--idempotent", mTrace.mIdempotent, "true or false")->capture_default_str();
  AddSetting(app, "--limit-ms", mTrace.mLimit, "A job that has not ended then is lost");
}

void
Arguments::AddVerify()
{
  auto& app = *mVerifyCommand;
  app.add_option("--worker-trace", mWorkerTraces, "Trace files of workers")
    ->required()
    ->check(CLI::ExistingFile);
  app.add_option("--client-trace", mClientTraces, "Files written with --trace-log")
    ->required()
    ->check(CLI::ExistingFile);
  AddSetting(app, "--gang-start-ms", mVerify.mGangStart, "Time within which a whole gang starts");
  app.add_flag("--open-is-stopped", mVerify.mOpenIsStopped,
               "Take a run without an end as stopped, for runs in which workers were killed");
}

} // namespace lovagerock::load
