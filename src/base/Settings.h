#pragma once

#include "base/Ids.h"
#include "base/LogEvent.h"
#include "base/SocketAddress.h"
#include "base/Units.h"

#include <CLI/CLI.hpp>

#include <string>

namespace lovagerock {

// Exit status of a program whose settings are invalid.
inline constexpr int kExitUsage = 2;

// The environment variable of a flag: "--peer-listen" gives "LOVAGEROCK_PEER_LISTEN".
std::string
EnvironmentName(const std::string& aFlag);

// Registers one setting as a flag with its environment variable. An invalid value is reported
// with the flag's name when the command line is parsed.
template<typename T>
CLI::Option*
AddSetting(CLI::App& aApp, const std::string& aFlag, T& aValue, const std::string& aHelp)
{
  return aApp.add_option(aFlag, aValue, aHelp)
    ->envname(EnvironmentName(aFlag))
    ->capture_default_str();
}

// As above for an "ip:port" setting.
CLI::Option*
AddSetting(CLI::App& aApp, const std::string& aFlag, SocketAddress& aValue,
           const std::string& aHelp);

// As above for a duration in whole milliseconds, from aLowest up to one day.
CLI::Option*
AddSetting(CLI::App& aApp, const std::string& aFlag, Duration& aValue, const std::string& aHelp,
           Duration aLowest = Duration(0));

// As above for an id of letters, digits, '.', '_' and '-'.
template<typename Tag>
CLI::Option*
AddSetting(CLI::App& aApp, const std::string& aFlag, StrongId<Tag>& aValue,
           const std::string& aHelp)
{
  const auto convert = [&aValue](const std::string& aText) { aValue = StrongId<Tag>(aText); };
  const auto check = [](const std::string& aText) {
    const bool valid =
      !aText.empty() && aText.size() <= 128 &&
      aText.find_first_not_of(
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") == std::string::npos;
    return valid ? std::string() : "'" + aText + "' is not an id of letters, digits, '.', '_', '-'";
  };
  return aApp.add_option_function<std::string>(aFlag, convert, aHelp)
    ->check(CLI::Validator(check, "ID"))
    ->envname(EnvironmentName(aFlag));
}

// As above for the log level.
CLI::Option*
AddSetting(CLI::App& aApp, const std::string& aFlag, LogLevel& aValue, const std::string& aHelp);

// Parses the command line and the environment. Returns true to go on; else the program ends with
// aExitStatus: 0 after --help or --version, kExitUsage after an error, which has been printed.
bool
ParseSettings(CLI::App& aApp, int aCount, const char* const* aArguments, int& aExitStatus);

} // namespace lovagerock
