#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Random.h"
#include "base/Settings.h"
#include "node/Node.h"

#include <csignal>
#include <cstdlib>

using namespace lovagerock;

int
main(int aCount, char** aArguments)
{
  CLI::App app("Entry node of lovagerock: routes requests, runs jobs, keeps guarantees");
  node::NodeSettings settings;
  node::AddNodeSettings(app, settings);
  int status = 0;
  if (!ParseSettings(app, aCount, aArguments, status)) {
    return status;
  }
  ConfigureLogging(settings.mLogLevel, "lovagerock-node", settings.mNode.Value());
  const auto seed = settings.mSeed != 0 ? settings.mSeed : Random::SystemSeed();
  LogEvent("node_started")
    .With("region", settings.mRegion)
    .With("zone", settings.mZone)
    .With("listen", settings.mListen.ToString())
    .With("peer", settings.mPeerListen.ToString())
    .With("admin", settings.mAdminListen.ToString())
    .With("seed", seed);
  EventLoop loop;
  node::Node entry(loop, settings, seed);
  if (const auto ec = entry.Start()) {
    LogEvent("node_start_failed", LogLevel::Error).With("reason", ec.message());
    return EXIT_FAILURE;
  }
  loop.OnSignal(SIGTERM, [&entry] { entry.Shutdown(); });
  loop.OnSignal(SIGINT, [&entry] { entry.Shutdown(); });
  loop.Run();
  LogEvent("node_stopped").With("seed", seed);
  return EXIT_SUCCESS;
}
