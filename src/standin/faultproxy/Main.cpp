#include "base/EventLoop.h"
#include "base/LogEvent.h"
#include "base/Settings.h"
#include "standin/faultproxy/FaultControl.h"

#include <csignal>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace lovagerock;

namespace {

using Mapping = std::pair<SocketAddress, SocketAddress>;

std::optional<Mapping>
ParseMapping(const std::string& aText)
{
  const auto n = aText.find('=');
  if (n == std::string::npos) {
    return std::nullopt;
  }
  const auto listen = SocketAddress::Parse(aText.substr(0, n));
  const auto target = SocketAddress::Parse(aText.substr(n + 1));
  return listen && target ? std::optional(Mapping(*listen, *target)) : std::nullopt;
}

std::string
CheckMapping(const std::string& aText)
{
  return ParseMapping(aText) ? std::string() : "'" + aText + "' is not LISTEN=TARGET";
}

bool
AddMappings(standin::FaultControl& aControl, const std::vector<std::string>& aMaps)
{
  for (const auto& it : aMaps) {
    const auto mapping = ParseMapping(it);
    const auto ec = aControl.AddMapping(mapping->first, mapping->second);
    if (ec) {
      LogEvent("listen_failed", LogLevel::Error).With("map", it).With("error", ec.message());
      return false;
    }
  }
  return true;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::vector<std::string> maps;
  SocketAddress control("127.0.0.1", 9700);
  LogLevel level = LogLevel::Info;
  CLI::App app("TCP proxy with faults, for tests");
  app.add_option("--map", maps, "LISTEN=TARGET, repeatable")
    ->required()
    ->check(CLI::Validator(CheckMapping, "LISTEN=TARGET"));
  AddSetting(app, "--control", control, "Address of the HTTP control");
  AddSetting(app, "--log-level", level, "debug, info, warning or error");
  int status = 0;
  if (!ParseSettings(app, aCount, aArguments, status)) {
    return status;
  }
  ConfigureLogging(level, "lovagerock-fault-proxy", control.ToString());
  EventLoop loop;
  standin::FaultControl proxies(loop);
  if (!AddMappings(proxies, maps)) {
    return 1;
  }
  if (const auto ec = proxies.Listen(control)) {
    LogEvent("listen_failed", LogLevel::Error).With("error", ec.message());
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}
