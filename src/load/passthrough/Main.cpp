#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Settings.h"
#include "load/passthrough/Passthrough.h"

#include <csignal>

using namespace lovagerock;

int
main(int aCount, char** aArguments)
{
  CLI::App app("Bare HTTP/1.1 pass-through, the baseline of the benchmark");
  SocketAddress listen("127.0.0.1", 0);
  SocketAddress target;
  AddSetting(app, "--listen", listen, "Address to listen on; port 0 picks a free port");
  AddSetting(app, "--target", target, "Server that gets all requests")->required();
  int status = 0;
  if (!ParseSettings(app, aCount, aArguments, status)) {
    return status;
  }
  ConfigureLogging(LogLevel::Info, "lovagerock-passthrough", "");
  EventLoop loop;
  passthrough::Passthrough server(loop.Base(), target);
  if (const auto ec = server.Listen(listen)) {
    LogEvent("listen_failed", LogLevel::Error)
      .With("address", listen.ToString())
      .With("error", ec.message());
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  LogEvent("listening").With("address", server.Address().ToString());
  loop.Run();
  return 0;
}
