#include "cli/ConfigFile.h"

#include "cli/Report.h"
#include "config/DocumentReader.h"
#include "config/YamlTree.h"

#include <fstream>

namespace lovagerock::cli {

ExitCode
ReadConfigFile(const std::string& aPath, std::string& aText, const Console& aConsole)
{
  std::ifstream stream(aPath, std::ios::binary);
  aText.resize(config::kMaxFileBytes + 1);
  stream.read(aText.data(), static_cast<std::streamsize>(aText.size()));
  if (!stream.is_open() || stream.bad()) {
    aConsole.mErr << aPath << ": cannot be read\n";
    return ExitCode::Usage;
  }
  aText.resize(static_cast<std::size_t>(stream.gcount()));
  return ExitCode::Done;
}

ExitCode
LoadConfigFile(const std::string& aPath, std::string& aText, bool aJson, const Console& aConsole)
{
  const auto code = ReadConfigFile(aPath, aText, aConsole);
  if (code != ExitCode::Done) {
    return code;
  }
  const auto result = config::ReadYaml(aText, aPath);
  return result.mDocument ? ExitCode::Done : ReportProblems(result.mProblems, aJson, aConsole);
}

} // namespace lovagerock::cli
