#include "cli/ConfigCommands.h"

#include "base/Hash.h"
#include "cli/ConfigFile.h"
#include "cli/Report.h"
#include "cli/Table.h"
#include "config/Diff.h"

namespace lovagerock::cli {

ExitCode
RunCheck(const std::string& aFile, bool aOffline, const Options& aOptions, AdminClient& aClient,
         const Console& aConsole)
{
  std::string text;
  const auto code = LoadConfigFile(aFile, text, aOptions.mJson, aConsole);
  if (code != ExitCode::Done) {
    return code;
  }
  Json answer{ { "valid", true }, { "warnings", Json::array() } };
  if (!aOffline) {
    const auto result =
      aClient.Query(http::Method::Post, "/v1/config/check", text, aOptions.mTimeout);
    if (!result.Is(200)) {
      return ReportFailure(result, aFile, aOptions.mJson, aConsole);
    }
    answer = result.mBody;
  }
  if (aOptions.mJson) {
    aConsole.mOut << DumpJson(answer) << "\n";
    return ExitCode::Done;
  }
  for (const auto& it : JsonValue<Json>(answer, "warnings", Json::array())) {
    aConsole.mErr << aFile << ": warning: " << CellText(it) << "\n";
  }
  aConsole.mOut << aFile << ": valid" << (aOffline ? " (not checked against the workers)" : "")
                << "\n";
  return ExitCode::Done;
}

ExitCode
RunDiff(const std::string& aFile, const Options& aOptions, AdminClient& aClient,
        const Console& aConsole)
{
  std::string text;
  const auto code = LoadConfigFile(aFile, text, aOptions.mJson, aConsole);
  if (code != ExitCode::Done) {
    return code;
  }
  const auto result = aClient.Query(http::Method::Post, "/v1/config/diff", text, aOptions.mTimeout);
  if (!result.Is(200)) {
    return ReportFailure(result, aFile, aOptions.mJson, aConsole);
  }
  if (aOptions.mJson) {
    aConsole.mOut << DumpJson(result.mBody) << "\n";
    return ExitCode::Done;
  }
  const auto changes = JsonValue<Json>(result.mBody, "changes", Json::array());
  aConsole.mOut << changes.size() << " change(s) to version "
                << CellText(JsonValue<Json>(result.mBody, "base_version", nullptr)) << "\n";
  for (const auto& it : changes) {
    aConsole.mOut << CellText(it.get<config::Change>().ToString()) << "\n";
  }
  return ExitCode::Done;
}

ExitCode
RunChange(const ChangeId& aChange, const Options& aOptions, AdminClient& aClient,
          const Console& aConsole)
{
  const auto result =
    aClient.Query(http::Method::Get, "/v1/changes/" + http::EncodeComponent(aChange.Value()), "",
                  aOptions.mTimeout);
  if (result.Is(404)) {
    if (aOptions.mJson) {
      aConsole.mOut << DumpJson(result.mBody) << "\n";
    }
    aConsole.mErr << "change " << aChange
                  << " has not been applied; one sent a moment ago may still be\n";
    return ExitCode::Refused;
  }
  if (!result.Is(200)) {
    return ReportFailure(result, "", aOptions.mJson, aConsole);
  }
  if (aOptions.mJson) {
    aConsole.mOut << DumpJson(result.mBody) << "\n";
  } else {
    aConsole.mOut << "change " << aChange << " was applied as version "
                  << CellText(JsonValue<Json>(result.mBody, "version", nullptr)) << "\n";
  }
  return ExitCode::Done;
}

ExitCode
RunHashToken(const Console& aConsole)
{
  // A bearer token travels in a header, which the servers limit to 16 KiB.
  constexpr std::size_t kMaxToken = 4096;
  std::string token;
  std::getline(aConsole.mIn, token);
  if (!token.empty() && token.back() == '\r') {
    token.pop_back();
  }
  if (token.empty() || token.size() > kMaxToken ||
      token.find_first_of(" \t") != std::string::npos) {
    aConsole.mErr << "a token has 1 to 4096 characters and no spaces\n";
    return ExitCode::Refused;
  }
  aConsole.mOut << Sha256Hex(token) << "\n";
  return ExitCode::Done;
}

} // namespace lovagerock::cli
