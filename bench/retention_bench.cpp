// Fills a running key-value service with jobs, their answers and configuration changes, runs the
// sweeper on them, and prints the calls, bytes, time and memory of each run. The options set the
// size, as a part of the design size. See docs/retention.md.

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

constexpr std::int64_t kHourMs = 3600 * 1000;
constexpr int kTasksPerJob = 20;
constexpr int kFilledDays = 8;

// Returns a value of /proc/self/io or /proc/self/status; 0 if the file doesn't contain it.
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

  // Writes the jobs and changes of 8 days, so that those of one day have expired.
  void Fill(int aJobsPerDay, int aChangesPerDay, std::size_t aPieceBytes)
  {
    const std::string piece(aPieceBytes, 'x');
    for (int i = 0; i < kFilledDays * aJobsPerDay; ++i) {
      jobs::JobRecord record;
      record.mAccount = AccountId("account-1");
      record.mJob = jobs::MakeJobId(record.mAccount, std::to_string(i));
      record.mRegion = RegionId("r");
      record.mSpec.mTasks = kTasksPerJob;
      record.mSpec.mPerTask = { Slots(1), Accelerators(1), Cores(8), MemoryMiB(1024) };
      record.mSpec.mPayloads = { "{}" };
      record.mState = jobs::JobState::Finished;
      record.mAttempt = 1;
      record.mEndedMs = mNow - kFilledDays * 24 * kHourMs + i * 24 * kHourMs / aJobsPerDay;
      for (int task = 0; task < kTasksPerJob; ++task) {
        record.mPlacements.push_back(
          { WorkerId("worker-" + std::to_string(1000 + task)), SocketAddress("10.0.0.1", 9000) });
        record.mAnswers.push_back({ static_cast<std::int64_t>(aPieceBytes), 1, HashText(piece) });
        auto key = "answers/" + record.mJob.Value() + "/1." + std::to_string(task) + "/0";
        Put(std::move(key), piece);
      }
      Put("done/r/" + record.mJob.Value(), jobs::WriteJobRecord(record));
    }
    for (int i = 0; i < kFilledDays * aChangesPerDay; ++i) {
      const auto applied = mNow - kFilledDays * 24 * kHourMs + i * 24 * kHourMs / aChangesPerDay;
      Put(configstore::ChangeKey(ChangeId("c-" + mRandom.Token())),
          DumpJson(configstore::WriteChange(
            { ConfigVersion(i), Sha256Hex(std::to_string(i)).substr(0, 32), applied })));
    }
    Flush();
  }

  // Lists the keys of each prefix with their values in one call, for comparison with the sweeper,
  // which lists names or small pages instead.
  void ListAll()
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

  // Measures consecutive runs of one sweeper. From the second run on, the sweeper knows the
  // records.
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
  AddSetting(app, "--jobs-per-day", jobs, "Finished jobs per day; jobs of 8 days are written");
  AddSetting(app, "--changes-per-day", changes,
             "Configuration changes per day; changes of 8 days are written");
  AddSetting(app, "--piece-bytes", pieceBytes, "Size of an answer piece in bytes");
  AddSetting(app, "--runs", runs, "Number of consecutive runs of one sweeper");
  AddSetting(app, "--part", part, "Part to run: all (fill and sweep), fill, list or sweep");
  AddSetting(app, "--read-period-ms", settings.mReadPeriod,
             "Time between two reads of the sweeper");
  AddSetting(app, "--write-period-ms", settings.mTransactionPeriod,
             "Time between two transactions of the sweeper");
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
    bench.ListAll();
  } else if (part != "fill") {
    bench.Sweep(settings, runs);
  }
  return 0;
}
