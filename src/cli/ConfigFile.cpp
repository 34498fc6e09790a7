#include "cli/ConfigFile.h"

#include "cli/Report.h"
#include "config/YamlTree.h"

#include <fstream>
#include <utility>

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
LoadConfigFile(const std::string& aPath, LoadedFile& aFile, bool aJson, const Console& aConsole)
{
  const auto code = ReadConfigFile(aPath, aFile.mText, aConsole);
  if (code != ExitCode::Done) {
    return code;
  }
  aFile.mResult = config::ReadYaml(aFile.mText, aPath);
  const auto& problems = aFile.mResult.mProblems;
  return aFile.mResult.mDocument ? ExitCode::Done : ReportProblems(problems, aJson, aConsole);
}

ExitCode
LoadConfigFile(const std::string& aPath, std::string& aText, bool aJson, const Console& aConsole)
{
  LoadedFile file;
  const auto code = LoadConfigFile(aPath, file, aJson, aConsole);
  aText = std::move(file.mText);
  return code;
}

} // namespace lovagerock::cli
