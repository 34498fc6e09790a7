#include "control/CallerLimits.h"
#include "platform/NodeSettings.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <unistd.h>

using namespace lovagerock;
using namespace lovagerock::platform;

namespace {

// Writes a settings file with the bounds, and with further lines on the store, and reads it.
std::optional<NodeSettings>
ReadWithBounds(const std::string& aBounds, const std::string& aStore = "")
{
  const auto path = std::filesystem::temp_directory_path() /
                    ("lovagerock-settings-" + std::to_string(getpid()) + ".yaml");
  std::ofstream(path) << "node_name: n\nzone: z\nip: 127.0.0.1\n"
                      << "listen:\n  frontend: 127.0.0.1:1\n  ready: 127.0.0.1:2\n"
                      << "internal_ports: [3, 3]\nplatform:\n  address: 127.0.0.1:4\n"
                      << aStore << "\nbounds:\n  " << aBounds << '\n';
  auto settings = ReadNodeSettings(path);
  std::filesystem::remove(path);
  return settings;
}

} // namespace

// Guards against leases that are taken for longer than a worker grants them.
Test(NodeSettings, bound_leases_by_the_longest_that_a_worker_grants)
{
  const auto settings = ReadWithBounds("hold_max_ms: 2000");
  cr_assert(settings.has_value());
  const auto& scheduler = settings->mControl.mScheduler;
  cr_assert_eq(scheduler.mLongestLease, Duration(2000));
  cr_assert_eq(scheduler.mLeaseDuration, Duration(2000));
  cr_assert_eq(scheduler.mWitnessedLease, Duration(2000));
}

// Guards against nodes that ask the store for leases that it refuses, and of which none can lead.
Test(NodeSettings, tell_the_shortest_lease_of_the_store)
{
  const auto read = [](const std::string& aTime) {
    return ReadWithBounds("hold_max_ms: 2000", "  ttl_min_ms: " + aTime)->mControl.mMinStoreLease;
  };
  cr_assert_eq(read("2500"), Duration(2500));
  cr_assert_eq(read("0"), Duration(0));
  cr_assert_eq(read("soon"), Duration(0));
  cr_assert_eq(ReadWithBounds("hold_max_ms: 2000")->mControl.mMinStoreLease, Duration(0));
}

// Guards against tasks that are started in an evacuated zone because the limit isn't read.
Test(NodeSettings, have_the_limit_for_starts_in_an_evacuated_zone)
{
  const auto settings = ReadWithBounds("evacuation_ms: 5000");
  cr_assert(settings.has_value());
  cr_assert(settings->mControl.mEvacuations.has_value());
  cr_assert_eq(settings->mControl.mEvacuations->mLimit, Duration(5000));
  cr_assert_not(ReadWithBounds("hold_max_ms: 2000")->mControl.mEvacuations.has_value());
}

// Guards against stops that are weighed by other times than those of the deployment.
Test(NodeSettings, reads_what_a_stop_costs)
{
  const auto settings = ReadWithBounds(
    "checkpoint_s: 0.25\n  stop_ms: 900\n  restore_ms: 150\n  gang_timeout_ms: 4000");
  cr_assert(settings.has_value());
  const auto& scheduler = settings->mControl.mScheduler;
  cr_assert_eq(scheduler.mCheckpointInterval, Duration(250));
  cr_assert_eq(scheduler.mStopTime, Duration(900));
  cr_assert_eq(scheduler.mRestoreTime, Duration(150));
  cr_assert_eq(scheduler.mGangTimeout, Duration(4000));
}

// Guards against a deployment that doesn't state the times and is treated as if it did.
Test(NodeSettings, keep_the_defaults_of_stops_that_are_not_stated)
{
  const auto settings = ReadWithBounds("hold_max_ms: 2000");
  cr_assert(settings.has_value());
  const auto& scheduler = settings->mControl.mScheduler;
  cr_assert_eq(scheduler.mCheckpointInterval, Duration(500));
  cr_assert_eq(scheduler.mStopTime, Duration(0));
  cr_assert_eq(scheduler.mRestoreTime, Duration(0));
  cr_assert_eq(scheduler.mGangTimeout, Duration(3000));
}

// Guards against negative and endless times, with which no stop would ever pay or wait.
Test(NodeSettings, clamp_times_of_stops_that_make_no_sense)
{
  const auto settings = ReadWithBounds(
    "checkpoint_s: .inf\n  stop_ms: -5\n  restore_ms: .nan\n  gang_timeout_ms: 1e30");
  cr_assert(settings.has_value());
  const auto& scheduler = settings->mControl.mScheduler;
  cr_assert_eq(scheduler.mCheckpointInterval, Duration(600000));
  cr_assert_eq(scheduler.mStopTime, Duration(0));
  cr_assert_eq(scheduler.mRestoreTime, Duration(0));
  cr_assert_eq(scheduler.mGangTimeout, Duration(600000));
}

// Guards against a node that doesn't start because a time that it can do without isn't a number.
Test(NodeSettings, keep_the_default_of_a_time_that_is_no_number)
{
  const auto settings = ReadWithBounds("stop_ms: soon\n  gang_timeout_ms: [1, 2]");
  cr_assert(settings.has_value());
  const auto& scheduler = settings->mControl.mScheduler;
  cr_assert_eq(scheduler.mStopTime, Duration(0));
  cr_assert_eq(scheduler.mGangTimeout, Duration(3000));
}

// Guards against limits for callers that don't fit the machine.
Test(NodeSettings, tell_the_memory_and_the_descriptors_of_the_machine)
{
  const auto settings = ReadWithBounds("hold_max_ms: 2000\nlimits:\n  cpu_share: 0.5\n  cores: 1\n"
                                       "  link_mbps: 10\n  memory_mb: 120\n"
                                       "  file_descriptors: 3075");
  cr_assert(settings.has_value());
  cr_assert_eq(settings->mControl.mMemory, MemoryMiB(120));
  cr_assert_eq(settings->mControl.mFileDescriptors, 3075);
  const auto limits = control::MakeCallerLimits(settings->mControl);
  cr_assert_leq(limits.mMaxConnections, 3075);
  cr_assert_leq(limits.mMaxHeld, Bytes(60 * 1024 * 1024));
  cr_assert_geq(limits.mMaxReceiving, http::ServerLimits::LargestRequest(limits.mMaxBody));
  const auto readiness = control::MakeReadinessLimits(settings->mControl);
  const auto peers = control::MakePeerLimits(settings->mControl);
  cr_assert_leq(limits.mMaxConnections + readiness.mMaxConnections + peers.mMaxConnections, 2400);
}
