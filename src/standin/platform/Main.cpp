#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Settings.h"
#include "standin/platform/PlatformControl.h"

#include <csignal>

using namespace lovagerock;

int
main(int aCount, char** aArguments)
{
  SocketAddress store("127.0.0.1", 9600);
  SocketAddress control("127.0.0.1", 9601);
  int storeAddresses = 1;
  standin::FleetShape shape;
  auto cpu = shape.mCapacity.mCpu.Value();
  auto memory = shape.mCapacity.mMemory.Value();
  auto accelerators = shape.mCapacity.mAccelerators.Value();
  LogLevel level = LogLevel::Info;
  CLI::App app("Stand-in for the users' platform: metadata store and workers");
  AddSetting(app, "--store", store, "Address of the metadata store");
  AddSetting(app, "--store-addresses", storeAddresses,
             "Number of addresses of the store, on consecutive ports, that can refuse singly");
  AddSetting(app, "--control", control,
             "Address for the operator and for faults; workers take the ports after it");
  AddSetting(app, "--workers", shape.mWorkers, "Number of workers");
  AddSetting(app, "--workers-per-rack", shape.mWorkersPerRack, "Number of workers in a rack")
    ->check(CLI::PositiveNumber);
  AddSetting(app, "--worker-cpu-millicores", cpu, "CPU of a worker, in thousandths of a core");
  AddSetting(app, "--worker-memory-mb", memory, "Memory of a worker, in MiB");
  AddSetting(app, "--worker-accelerators", accelerators, "Accelerators of a worker");
  AddSetting(app, "--log-level", level, "Lowest level that is logged");
  int status = 0;
  if (!ParseSettings(app, aCount, aArguments, status)) {
    return status;
  }
  ConfigureLogging(level, "lovagerock-platform", store.ToString());
  EventLoop loop;
  shape.mCapacity = { standin::MilliCores(cpu), MemoryMiB(memory), Accelerators(accelerators) };
  standin::PlatformControl platform(loop, shape);
  if (const auto ec = platform.Listen(store, storeAddresses, control)) {
    LogEvent("listen_failed", LogLevel::Error).With("error", ec.message());
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}
