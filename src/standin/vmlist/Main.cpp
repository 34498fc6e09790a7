#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Settings.h"
#include "standin/vmlist/VmListServer.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <string>

using namespace lovagerock;

namespace {

bool
LoadFile(const std::string& aPath, standin::TargetTable& aTable)
{
  if (aPath.empty()) {
    return true;
  }
  std::ifstream file(aPath);
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (!file || !aTable.Load(text)) {
    LogEvent("vm_list_not_readable", LogLevel::Error).With("file", aPath);
    return false;
  }
  return true;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  SocketAddress listen("127.0.0.1", 9500);
  std::string file;
  Duration lag{ 0 };
  LogLevel level = LogLevel::Info;
  CLI::App app("Stand-in for the platform's VM list");
  AddSetting(app, "--listen", listen, "Address of the list");
  AddSetting(app, "--file", file, "The list at the start, as JSON");
  AddSetting(app, "--lag-ms", lag, "Delay after which a change is visible");
  AddSetting(app, "--log-level", level, "Lowest level that is logged");
  int status = 0;
  if (!ParseSettings(app, aCount, aArguments, status)) {
    return status;
  }
  ConfigureLogging(level, "lovagerock-vmlist", listen.ToString());
  standin::TargetTable table(lag);
  if (!LoadFile(file, table)) {
    return 1;
  }
  EventLoop loop;
  standin::VmListServer server(loop, std::move(table));
  if (const auto ec = server.Listen(listen)) {
    LogEvent("listen_failed", LogLevel::Error).With("error", ec.message());
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}
