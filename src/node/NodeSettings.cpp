#include "node/NodeSettings.h"

#include "http/ServerLimits.h"

namespace lovagerock::node {

namespace detail {
namespace {

// A body must fit into memory several times over, so that a few callers can't exhaust it.
constexpr std::int64_t kLargestBody = std::int64_t{ 64 } * 1024 * 1024;
constexpr std::int64_t kLargestBuffer = std::int64_t{ 1024 } * 1024 * 1024;
constexpr std::int64_t kMostConnections = 100000;

void
AddAddresses(CLI::App& aApp, NodeSettings& aSettings)
{
  AddSetting(aApp, "--listen", aSettings.mListen, "Address for callers")->required();
  AddSetting(aApp, "--peer-listen", aSettings.mPeerListen, "Address for the other entry nodes")
    ->required();
  AddSetting(aApp, "--peer-advertise", aSettings.mPeerAdvertise,
             "Where the other nodes reach this one, if not at --peer-listen");
  AddSetting(aApp, "--admin-listen", aSettings.mAdminListen, "Address for operators and metrics")
    ->required();
  AddSetting(aApp, "--kv", aSettings.mKv, "Key-value service")->required();
  AddSetting(aApp, "--vm-list", aSettings.mVmList, "VM list")->required();
}

void
AddCallerLimits(CLI::App& aApp, NodeSettings& aSettings)
{
  AddSetting(aApp, "--max-connections", aSettings.mMaxConnections, "Open connections of callers")
    ->check(CLI::Range(std::int64_t{ 1 }, kMostConnections));
  AddSetting(aApp, "--max-connections-per-address", aSettings.mMaxConnectionsPerAddress,
             "Open connections of callers from one address")
    ->check(CLI::Range(std::int64_t{ 1 }, kMostConnections));
  AddSetting(aApp, "--max-receiving", aSettings.mMaxReceiving,
             "Bytes of requests that are being received, over all connections")
    ->check(CLI::Range(std::int64_t{ 1 }, kLargestBuffer));
  AddSetting(aApp, "--receive-limit-ms", aSettings.mReceiveLimit,
             "Time for receiving a request, without the time that its size allows", Duration(1000));
  AddSetting(aApp, "--min-receive-rate", aSettings.mMinReceiveRate,
             "Bytes a second that a caller must reach over the time for receiving a request")
    ->check(CLI::Range(std::int64_t{ 1 }, kLargestBuffer));
}

void
AddOtherListenersLimits(CLI::App& aApp, NodeSettings& aSettings)
{
  const auto add = [&aApp](const char* aName, std::int64_t& aLimit, std::int64_t aMost,
                           const char* aHelp) {
    AddSetting(aApp, aName, aLimit, aHelp)->check(CLI::Range(std::int64_t{ 1 }, aMost));
  };
  add("--admin-max-connections", aSettings.mAdminMaxConnections, kMostConnections,
      "Open connections of operators");
  add("--admin-max-receiving", aSettings.mAdminMaxReceiving, kLargestBuffer,
      "Bytes of operators' requests that are being received, over all connections");
  add("--admin-max-held", aSettings.mAdminMaxHeld, kLargestBuffer,
      "Bytes of operators' requests that are being received or answered");
  add("--peer-max-connections", aSettings.mPeerMaxConnections, kMostConnections,
      "Open connections of other nodes");
  add("--peer-max-held", aSettings.mPeerMaxHeld, kLargestBuffer,
      "Bytes of other nodes' calls that are being received, and of answers that aren't sent");
}

// The largest request must fit into the bytes for receiving, or it could never be completed.
void
CheckLimits(const NodeSettings& aSettings)
{
  const auto least = http::ServerLimits::LargestRequest(Bytes(aSettings.mMaxBody));
  if (Bytes(aSettings.mMaxReceiving) < least) {
    throw CLI::ValidationError("--max-receiving", "must be at least --max-body and 131072 more, " +
                                                    std::to_string(least.Value()));
  }
  const auto leastAdmin = http::ServerLimits::LargestRequest(http::ServerLimits().mMaxBody);
  if (Bytes(aSettings.mAdminMaxReceiving) < leastAdmin) {
    throw CLI::ValidationError("--admin-max-receiving",
                               "must be at least " + std::to_string(leastAdmin.Value()));
  }
  if (aSettings.mAdminMaxHeld < 2 * aSettings.mAdminMaxReceiving) {
    throw CLI::ValidationError("--admin-max-held", "must be at least twice --admin-max-receiving");
  }
}

void
AddLimits(CLI::App& aApp, NodeSettings& aSettings)
{
  AddSetting(aApp, "--max-body", aSettings.mMaxBody, "Largest request body in bytes")
    ->check(CLI::Range(std::int64_t{ 1 }, kLargestBody));
  AddSetting(aApp, "--max-buffered", aSettings.mMaxBuffered,
             "Request bodies held at once, in bytes")
    ->check(CLI::Range(std::int64_t{ 1 }, kLargestBuffer));
  AddSetting(aApp, "--read-timeout-ms", aSettings.mReadTimeout,
             "Time without a byte from a caller while its request is read", Duration(1000));
  AddCallerLimits(aApp, aSettings);
  AddOtherListenersLimits(aApp, aSettings);
  AddSetting(aApp, "--drain-accept-ms", aSettings.mDrainAccept,
             "Time to go on accepting after SIGTERM, until the balancer has noticed");
  AddSetting(aApp, "--reclaim-deadline-ms", aSettings.mReclaimDeadline,
             "Time for a borrower to checkpoint and stop when its capacity is reclaimed",
             Duration(1));
}

} // namespace
} // namespace detail

void
AddNodeSettings(CLI::App& aApp, NodeSettings& aSettings)
{
  AddSetting(aApp, "--node-id", aSettings.mNode, "Id of this node, unique in the deployment")
    ->required();
  AddSetting(aApp, "--region", aSettings.mRegion, "Region of this node")->required();
  AddSetting(aApp, "--zone", aSettings.mZone, "Availability zone of this node")->required();
  detail::AddAddresses(aApp, aSettings);
  AddSetting(aApp, "--kv-prefix", aSettings.mKvPrefix, "Prefix of all keys");
  AddSetting(aApp, "--isolated-mode", aSettings.mIsolatedMode,
             "New work while it is unknown whether the configuration is current: refuse or serve")
    ->check(CLI::IsMember({ "refuse", "serve" }));
  detail::AddLimits(aApp, aSettings);
  aApp.parse_complete_callback([&aSettings] { detail::CheckLimits(aSettings); });
  AddSetting(aApp, "--log-level", aSettings.mLogLevel, "debug, info, warning or error");
  AddSetting(aApp, "--seed", aSettings.mSeed, "Seed of the random numbers; 0 for a random one");
}

} // namespace lovagerock::node
