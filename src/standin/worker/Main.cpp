#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "base/Settings.h"
#include "standin/worker/WorkerServer.h"

#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace lovagerock;

namespace {

struct Options
{
  SocketAddress mListen{ "127.0.0.1", 9000 };
  int mCount = 1;
  int mRackSize = 8;
  ZoneId mZone{ "zone-1" };
  RegionId mRegion{ "region-1" };
  std::string mWorkerPrefix;
  std::string mRackPrefix;
  std::int64_t mCores = 64;
  std::int64_t mMemoryMb = 131072;
  std::int64_t mAccelerators = 8;
  std::int64_t mSlots = 8;
  int mConnections = 64;
  Duration mUsageLag{ 1000 };
  Duration mLeaveDeadline{ 30000 };
  std::string mTrace;
  std::uint64_t mSeed = 0;
  LogLevel mLogLevel = LogLevel::Info;
};

void
AddOptions(CLI::App& aApp, Options& aOptions)
{
  AddSetting(aApp, "--listen", aOptions.mListen, "Address of the first worker");
  AddSetting(aApp, "--count", aOptions.mCount, "Number of workers, on consecutive ports")
    ->check(CLI::Range(1, 10000));
  AddSetting(aApp, "--rack-size", aOptions.mRackSize, "Workers per rack")
    ->check(CLI::Range(1, 10000));
  AddSetting(aApp, "--zone", aOptions.mZone, "Availability zone");
  AddSetting(aApp, "--region", aOptions.mRegion, "Region");
  AddSetting(aApp, "--worker-prefix", aOptions.mWorkerPrefix,
             "Worker ids are this, '-', the address, '-' and the port; default: the zone");
  AddSetting(aApp, "--rack-prefix", aOptions.mRackPrefix,
             "Racks are this, '-' and a number; default: the zone");
  AddSetting(aApp, "--cores", aOptions.mCores, "Cores")->check(CLI::NonNegativeNumber);
  AddSetting(aApp, "--memory-mb", aOptions.mMemoryMb, "Memory in MiB")
    ->check(CLI::NonNegativeNumber);
  AddSetting(aApp, "--accelerators", aOptions.mAccelerators, "Accelerators")
    ->check(CLI::NonNegativeNumber);
  AddSetting(aApp, "--slots", aOptions.mSlots, "Slots")->check(CLI::NonNegativeNumber);
  AddSetting(aApp, "--connections", aOptions.mConnections, "Connections accepted at once")
    ->check(CLI::NonNegativeNumber);
  AddSetting(aApp, "--usage-lag-ms", aOptions.mUsageLag, "Lag of the reported usage");
  AddSetting(aApp, "--leave-deadline-ms", aOptions.mLeaveDeadline,
             "Time for running work to end after SIGTERM");
  AddSetting(aApp, "--trace", aOptions.mTrace, "File for a JSON line per start and end");
  AddSetting(aApp, "--seed", aOptions.mSeed, "Seed of the random numbers; 0 picks one");
  AddSetting(aApp, "--log-level", aOptions.mLogLevel, "Lowest level that is logged");
}

standin::WorkerSettings
MakeSettings(const Options& aOptions, int aIndex, Random& aRandom)
{
  const auto zone = aOptions.mZone.Value();
  const auto prefix = aOptions.mWorkerPrefix.empty() ? zone : aOptions.mWorkerPrefix;
  const auto rack = aOptions.mRackPrefix.empty() ? zone : aOptions.mRackPrefix;
  standin::WorkerSettings settings;
  settings.mWorker = WorkerId(prefix + "-" + aOptions.mListen.Ip() + "-" +
                              std::to_string(aOptions.mListen.Port() + aIndex));
  settings.mRegion = aOptions.mRegion;
  settings.mZone = aOptions.mZone;
  settings.mRack = RackId(rack + "-" + std::to_string(aIndex / aOptions.mRackSize));
  // Half a token tells the restarts of one worker apart; each quiet poll carries it.
  settings.mIncarnation = aRandom.Token().substr(0, 16);
  settings.mCapacity = { Slots(aOptions.mSlots), Accelerators(aOptions.mAccelerators),
                         Cores(aOptions.mCores), MemoryMiB(aOptions.mMemoryMb) };
  settings.mConnections = aOptions.mConnections;
  settings.mUsageLag = aOptions.mUsageLag;
  return settings;
}

// The workers of the process and their graceful end.
class Workers
{
public:
  Workers(EventLoop& aLoop, const Options& aOptions)
    : mLoop(aLoop)
    , mOptions(aOptions)
  {
  }

  bool Start(standin::TraceFile& aTrace)
  {
    const auto seed = mOptions.mSeed != 0 ? mOptions.mSeed : Random::SystemSeed();
    LogEvent("workers_started").With("count", mOptions.mCount).With("seed", seed);
    Random random(seed);
    for (int i = 0; i < mOptions.mCount; ++i) {
      const SocketAddress address(mOptions.mListen.Ip(),
                                  static_cast<std::uint16_t>(mOptions.mListen.Port() + i));
      mServers.push_back(std::make_unique<standin::WorkerServer>(
        mLoop, MakeSettings(mOptions, i, random), mCounters, aTrace));
      if (const auto ec = mServers.back()->Listen(address)) {
        LogEvent("listen_failed", LogLevel::Error)
          .With("address", address.ToString())
          .With("error", ec.message());
        return false;
      }
    }
    return true;
  }

  void Leave()
  {
    if (mLeaving) {
      mLoop.Stop();
      return;
    }
    mLeaving = true;
    LogEvent("leaving").With("deadline_ms", mOptions.mLeaveDeadline);
    for (const auto& it : mServers) {
      it->SetLeaving();
    }
    constexpr Duration kCheckPeriod{ 50 };
    mCheck = mLoop.Every(kCheckPeriod, [this] { StopIfIdle(); });
    mDeadline = mLoop.After(mOptions.mLeaveDeadline, [this] { StopAtDeadline(); });
  }

private:
  void StopIfIdle()
  {
    for (const auto& it : mServers) {
      if (!it->IsIdle()) {
        return;
      }
    }
    StopSoon();
  }

  void StopAtDeadline()
  {
    LogEvent("leave_deadline_reached", LogLevel::Warning).With("workers", mServers.size());
    for (const auto& it : mServers) {
      it->StopAll();
    }
    StopSoon();
  }

  // Leaves time for the last answers to be written.
  void StopSoon()
  {
    constexpr Duration kFlushTime{ 200 };
    mCheck.Cancel();
    mDeadline = mLoop.After(kFlushTime, [this] { mLoop.Stop(); });
  }

  EventLoop& mLoop;
  const Options& mOptions;
  standin::Counters mCounters;
  std::vector<std::unique_ptr<standin::WorkerServer>> mServers;
  bool mLeaving = false;
  Timer mCheck;
  Timer mDeadline;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  Options options;
  CLI::App app("Stand-in for the platform's workers");
  AddOptions(app, options);
  int status = 0;
  if (!ParseSettings(app, aCount, aArguments, status)) {
    return status;
  }
  ConfigureLogging(options.mLogLevel, "lovagerock-worker", options.mListen.ToString());
  auto trace = options.mTrace.empty() ? standin::TraceFile() : standin::TraceFile(options.mTrace);
  if (!options.mTrace.empty() && !trace.IsOpen()) {
    LogEvent("trace_not_writable", LogLevel::Error).With("file", options.mTrace);
    return 1;
  }
  EventLoop loop;
  Workers workers(loop, options);
  if (!workers.Start(trace)) {
    return 1;
  }
  loop.OnSignal(SIGTERM, [&workers] { workers.Leave(); });
  loop.OnSignal(SIGINT, [&workers] { workers.Leave(); });
  loop.Run();
  return 0;
}
