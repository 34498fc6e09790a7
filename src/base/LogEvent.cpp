#include "base/LogEvent.h"

#include "base/LogOutput.h"

#include <easylogging++.h>

#include <algorithm>
#include <iostream>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace lovagerock {

namespace detail {
namespace {

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() || std::any_of(aValue.begin(), aValue.end(), [](unsigned char aByte) {
           return aByte <= ' ' || aByte == '"' || aByte == '=' || aByte == '\\' || aByte >= 0x7f;
         });
}

void
AppendQuoted(std::string& aLine, std::string_view aValue)
{
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  aLine += '"';
  for (const char it : aValue) {
    const auto byte = static_cast<unsigned char>(it);
    if (it == '"' || it == '\\') {
      aLine += '\\';
      aLine += it;
    } else if (byte < ' ' || byte == 0x7f) {
      aLine += "\\x";
      aLine += kHexDigits[byte >> 4U];
      aLine += kHexDigits[byte & 0xfU];
    } else {
      aLine += it;
    }
  }
  aLine += '"';
}

bool
IsEnabled(LogLevel aLevel);

LogLevel sMinimumLevel = LogLevel::Info;

bool
IsEnabled(LogLevel aLevel)
{
  return aLevel >= sMinimumLevel;
}

} // namespace
} // namespace detail

void
ConfigureLogging(LogLevel aLevel, std::string_view aProgram, std::string_view aId)
{
  detail::sMinimumLevel = aLevel;
  // Never freed, because the standard streams are flushed at the very end.
  static auto* const kOutput = new LogOutput(STDOUT_FILENO);
  std::cout.rdbuf(kOutput);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  std::string format = "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level program=";
  format += aProgram;
  if (!aId.empty()) {
    format += " id=";
    format += aId;
  }
  format += " %msg";
  configuration.setGlobally(el::ConfigurationType::Format, format);
  el::Loggers::reconfigureLogger("default", configuration);
}

bool
ParseLogLevel(std::string_view aText, LogLevel& aLevel)
{
  if (aText == "debug") {
    aLevel = LogLevel::Debug;
  } else if (aText == "info") {
    aLevel = LogLevel::Info;
  } else if (aText == "warning") {
    aLevel = LogLevel::Warning;
  } else if (aText == "error") {
    aLevel = LogLevel::Error;
  } else {
    return false;
  }
  return true;
}

LogEvent::LogEvent(std::string_view aEvent, LogLevel aLevel)
  : mLevel(aLevel)
{
  With("event", aEvent);
}

LogEvent::~LogEvent()
{
  if (!detail::IsEnabled(mLevel)) {
    return;
  }
  switch (mLevel) {
    case LogLevel::Debug:
    case LogLevel::Info:
      LOG(INFO) << mLine;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << mLine;
      break;
    case LogLevel::Error:
      LOG(ERROR) << mLine;
      break;
  }
}

LogEvent&
LogEvent::With(std::string_view aKey, std::string_view aValue)
{
  if (!detail::IsEnabled(mLevel)) {
    return *this;
  }
  if (!mLine.empty()) {
    mLine += ' ';
  }
  mLine += aKey;
  mLine += '=';
  if (detail::NeedsQuotes(aValue)) {
    detail::AppendQuoted(mLine, aValue);
  } else {
    mLine += aValue;
  }
  return *this;
}

} // namespace lovagerock
