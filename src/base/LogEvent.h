#pragma once

#include "base/StrongId.h"
#include "base/Units.h"

#include <concepts>
#include <sstream>
#include <string>
#include <string_view>

namespace lovagerock {

// The severity of a log line.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};

// Sets up logging to standard output. Lines below the level are dropped. Every line carries the
// program and the node's or worker's id.
void
ConfigureLogging(LogLevel aLevel, std::string_view aProgram, std::string_view aId);

// Reads "debug", "info", "warning" or "error"; false for any other text.
bool
ParseLogLevel(std::string_view aText, LogLevel& aLevel);

// One log line of key=value pairs, written when the object ends. Values with spaces, quotes or
// control characters are quoted and escaped.
class LogEvent
{
public:
  explicit LogEvent(std::string_view aEvent, LogLevel aLevel = LogLevel::Info);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& With(std::string_view aKey, std::string_view aValue);
  LogEvent& With(std::string_view aKey, const char* aValue)
  {
    return With(aKey, std::string_view(aValue));
  }
  LogEvent& With(std::string_view aKey, const std::string& aValue)
  {
    return With(aKey, std::string_view(aValue));
  }
  LogEvent& With(std::string_view aKey, bool aValue)
  {
    return With(aKey, aValue ? std::string_view("true") : std::string_view("false"));
  }
  template<typename Number>
  requires std::integral<Number> || std::floating_point<Number> LogEvent&
  With(std::string_view aKey, Number aValue)
  {
    std::ostringstream stream;
    stream << aValue;
    return With(aKey, std::string_view(stream.view()));
  }
  template<typename Tag>
  LogEvent& With(std::string_view aKey, const StrongId<Tag>& aValue)
  {
    return With(aKey, std::string_view(aValue.Value()));
  }
  template<typename Tag>
  LogEvent& With(std::string_view aKey, StrongCount<Tag> aValue)
  {
    return With(aKey, aValue.Value());
  }
  // Writes a duration in milliseconds.
  LogEvent& With(std::string_view aKey, Duration aValue) { return With(aKey, aValue.count()); }

private:
  LogLevel mLevel;
  std::string mLine;
};

} // namespace lovagerock
