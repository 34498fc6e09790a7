#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Settings.h"
#include "standin/kv/KvService.h"

#include <csignal>

using namespace lovagerock;

int
main(int aCount, char** aArguments)
{
  CLI::App app("Stand-in key-value service with the Consul KV HTTP protocol and fault injection");
  SocketAddress listen("127.0.0.1", 8500);
  LogLevel level = LogLevel::Info;
  standin::KvServiceSettings settings;
  AddSetting(app, "--listen", listen, "Address to listen on; port 0 picks a free port");
  AddSetting(app, "--log-level", level, "debug, info, warning or error");
  AddSetting(app, "--writes-per-second", settings.mWritesPerSecond, "Write limit; 0 is no limit")
    ->check(CLI::NonNegativeNumber);
  AddSetting(app, "--reads-per-second", settings.mReadsPerSecond, "Read limit; 0 is no limit")
    ->check(CLI::NonNegativeNumber);
  AddSetting(app, "--latency-ms", settings.mLatency, "Time that every call takes");
  int status = 0;
  if (!ParseSettings(app, aCount, aArguments, status)) {
    return status;
  }
  ConfigureLogging(level, "lovagerock-kv", "");
  EventLoop loop;
  standin::KvService service(loop, settings);
  if (const auto ec = service.Listen(listen)) {
    LogEvent("listen_failed", LogLevel::Error)
      .With("address", listen.ToString())
      .With("error", ec.message());
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  LogEvent("listening").With("address", service.Address().ToString());
  loop.Run();
  return 0;
}
