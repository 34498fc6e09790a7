#include "base/Settings.h"

#include <algorithm>
#include <cctype>

#ifndef LOVAGEROCK_VERSION
#error "LOVAGEROCK_VERSION must be defined by the build"
#endif

namespace lovagerock {

std::string
EnvironmentName(const std::string& aFlag)
{
  std::string name = "LOVAGEROCK_" + aFlag.substr(aFlag.find_first_not_of('-'));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aByte) {
    return aByte == '-' ? '_' : static_cast<char>(std::toupper(aByte));
  });
  return name;
}

CLI::Option*
AddSetting(CLI::App& aApp, const std::string& aFlag, SocketAddress& aValue,
           const std::string& aHelp)
{
  const auto convert = [&aValue](const std::string& aText) {
    aValue = SocketAddress::Parse(aText).value_or(SocketAddress());
  };
  const auto check = [](const std::string& aText) {
    return SocketAddress::Parse(aText) ? std::string()
                                       : "'" + aText + "' is not an IPv4 address and port";
  };
  return aApp.add_option_function<std::string>(aFlag, convert, aHelp)
    ->check(CLI::Validator(check, "IP:PORT"))
    ->envname(EnvironmentName(aFlag));
}

CLI::Option*
AddSetting(CLI::App& aApp, const std::string& aFlag, Duration& aValue, const std::string& aHelp,
           Duration aLowest)
{
  const auto convert = [&aValue](const std::int64_t& aNumber) { aValue = Duration(aNumber); };
  constexpr Duration kHighest = std::chrono::hours(24);
  return aApp.add_option_function<std::int64_t>(aFlag, convert, aHelp)
    ->check(CLI::Range(aLowest.count(), kHighest.count()))
    ->envname(EnvironmentName(aFlag))
    ->default_str(std::to_string(aValue.count()));
}

CLI::Option*
AddSetting(CLI::App& aApp, const std::string& aFlag, LogLevel& aValue, const std::string& aHelp)
{
  const auto convert = [&aValue](const std::string& aText) { ParseLogLevel(aText, aValue); };
  return aApp.add_option_function<std::string>(aFlag, convert, aHelp)
    ->check(CLI::IsMember({ "debug", "info", "warning", "error" }))
    ->envname(EnvironmentName(aFlag));
}

bool
ParseSettings(CLI::App& aApp, int aCount, const char* const* aArguments, int& aExitStatus)
{
  aApp.set_version_flag("--version", std::string(LOVAGEROCK_VERSION));
  try {
    aApp.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    aExitStatus = aApp.exit(error) == 0 ? 0 : kExitUsage;
    return false;
  }
  return true;
}

} // namespace lovagerock
