// Fills a running key-value service with the keys of a share of the design size and runs the
// sweeper on them. Prints the calls, bytes and memory of each run. See docs/retention.md.

#include "base/EventLoop.h"
#include "base/Hash.h"
#include "base/Settings.h"
#include "configstore/ConfigRecord.h"
#include "jobs/JobRecord.h"
#include "kv/ConsulStore.h"
#include "retention/Sweeper.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>

using namespace lovagerock;

namespace {

constexpr std::int64_t kHour = 3600 * 1000;
constexpr int kTasks = 20;
constexpr int kDays = 8;

// A value of /proc/self/io or /proc/self/status.
std::int64_t
ReadProc(const std::string& aFile, const std::string& aName)
{
  std::ifstream file("/proc/self/" + aFile);
  std::string word;
  while (file >> word) {
    if (word == aName) {
      std::int64_t n = 0;
      file >> n;
      return n;
    }
  }
  return 0;
}

struct Bench
{
  EventLoop mLoop;
  Random mRandom{ 1 };
  kv::ConsulStore mStore;
  std::vector<kv::Operation> mBatch;
  std::int64_t mNow = WallClockMs();

  explicit Bench(const kv::ConsulSettings& aSettings)
    : mStore(mLoop, aSettings)
  {
  }

  void Flush()
  {
    if (mBatch.empty()) {
      return;
    }
    mStore.Transact(std::exchange(mBatch, {}),
                    [this](std::error_code aError, const kv::TransactionResult& aResult) {
                      if (aError || !aResult.mApplied) {
                        std::printf("fill failed: %s\n", aError.message().c_str());
                        std::exit(1);
                      }
                      mLoop.Stop();
                    });
    mLoop.Run();
  }

  void Put(std::string aKey, std::string aValue)
  {
    mBatch.push_back({ kv::Operation::Kind::Set, std::move(aKey), std::move(aValue), 0 });
    if (mBatch.size() == kv::kMaxOperations) {
      Flush();
    }
  }

  // Jobs and changes of 8 days, so that those of a day are expired.
  void Fill(int aJobsPerDay, int aChangesPerDay, std::size_t aPieceBytes)
  {
    const std::string piece(aPieceBytes, 'x');
    for (int i = 0; i < kDays * aJobsPerDay; ++i) {
      jobs::JobRecord record;
      record.mAccount = AccountId("account-1");
      record.mJob = jobs::MakeJobId(record.mAccount, std::to_string(i));
      record.mRegion = RegionId("r");
      record.mSpec.mTasks = kTasks;
      record.mSpec.mPerTask = { Slots(1), Accelerators(1), Cores(8), MemoryMiB(1024) };
      record.mSpec.mPayloads = { "{}" };
      record.mState = jobs::JobState::Finished;
      record.mAttempt = 1;
      record.mEndedMs = mNow - kDays * 24 * kHour + i * 24 * kHour / aJobsPerDay;
      for (int task = 0; task < kTasks; ++task) {
        record.mPlacements.push_back(
          { WorkerId("worker-" + std::to_string(1000 + task)), SocketAddress("10.0.0.1", 9000) });
        record.mAnswers.push_back({ static_cast<std::int64_t>(aPieceBytes), 1, HashText(piece) });
        auto key = "answers/" + record.mJob.Value() + "/1." + std::to_string(task) + "/0";
        Put(std::move(key), piece);
      }
      Put("done/r/" + record.mJob.Value(), jobs::WriteJobRecord(record));
    }
    for (int i = 0; i < kDays * aChangesPerDay; ++i) {
      const auto applied = mNow - kDays * 24 * kHour + i * 24 * kHour / aChangesPerDay;
      Put(configstore::ChangeKey(ChangeId("c-" + mRandom.Token())),
          DumpJson(configstore::WriteChange(
            { ConfigVersion(i), Sha256Hex(std::to_string(i)).substr(0, 32), applied })));
    }
    Flush();
  }

  // Lists all keys with their values, as the sweeper did before it read names.
  void List()
  {
    for (const auto* it : { "claims/", "changes/", "answers/", "jobs/", "done/" }) {
      const auto start = std::chrono::steady_clock::now();
      const auto bytes = ReadProc("io", "rchar:");
      mStore.List(it, [&](std::error_code aError, const std::vector<kv::Entry>& aEntries) {
        const std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
        std::printf("list %s: %s, entries %zu, read MB %.2f, time s %.1f, peak RSS MB %.1f\n", it,
                    aError ? aError.message().c_str() : "complete", aEntries.size(),
                    static_cast<double>(ReadProc("io", "rchar:") - bytes) / 1e6, time.count(),
                    static_cast<double>(ReadProc("status", "VmHWM:")) / 1e3);
        mLoop.Stop();
      });
      mLoop.Run();
    }
  }

  // Runs the sweeper until a run ends. Two runs with one sweeper: the second one knows the records.
  void Sweep(const retention::SweeperSettings& aSettings, int aRuns)
  {
    retention::Sweeper<kv::ConsulStore> sweeper(mLoop, mStore, mRandom, RegionId("r"), aSettings);
    sweeper.Start();
    for (int run = 1; run <= aRuns; ++run) {
      const auto memory = ReadProc("status", "VmRSS:");
      const auto bytes = ReadProc("io", "rchar:");
      const auto calls = mStore.Calls();
      const auto start = std::chrono::steady_clock::now();
      std::ofstream("/proc/self/clear_refs") << "5";
      bool begun = false;
      const auto check = mLoop.Every(Duration(1), [&] {
        begun = begun || sweeper.IsRunning();
        if (begun && !sweeper.IsRunning()) {
          mLoop.Stop();
        }
      });
      mLoop.Run();
      const std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
      std::printf("run %d: %s, calls %zu, read MB %.2f, time s %.1f, RSS before MB %.1f, growth of "
                  "the peak MB %.1f\n",
                  run, sweeper.LastReport()->mReason.c_str(), mStore.Calls() - calls,
                  static_cast<double>(ReadProc("io", "rchar:") - bytes) / 1e6, time.count(),
                  static_cast<double>(memory) / 1e3,
                  static_cast<double>(ReadProc("status", "VmHWM:") - memory) / 1e3);
      std::fflush(stdout);
    }
  }
};

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Fills a key-value service and measures runs of the sweeper on it");
  kv::ConsulSettings store;
  retention::SweeperSettings settings;
  settings.mFirstDelay = Duration(10);
  settings.mInterval = Duration(1000);
  int jobs = 6200;
  int changes = 18000;
  int pieceBytes = 64;
  int runs = 2;
  std::string part = "all";
  AddSetting(app, "--server", store.mServer, "Address of the key-value service");
  AddSetting(app, "--jobs-per-day", jobs, "Done jobs of a day, of which 8 days are kept");
  AddSetting(app, "--changes-per-day", changes, "Configuration changes of a day");
  AddSetting(app, "--piece-bytes", pieceBytes, "Size of an answer piece");
  AddSetting(app, "--runs", runs, "Runs of one sweeper");
  AddSetting(app, "--part", part, "all, fill, list or sweep");
  AddSetting(app, "--read-period-ms", settings.mReadPeriod, "Time between two reads");
  AddSetting(app, "--write-period-ms", settings.mTransactionPeriod, "Time between two writes");
  int status = 0;
  if (!ParseSettings(app, aCount, aArguments, status)) {
    return status;
  }
  ConfigureLogging(LogLevel::Info, "retention_bench", "");
  Bench bench(store);
  if (part == "all" || part == "fill") {
    bench.Fill(jobs, changes, static_cast<std::size_t>(pieceBytes));
  }
  if (part == "list") {
    bench.List();
  } else if (part != "fill") {
    bench.Sweep(settings, runs);
  }
  return 0;
}
