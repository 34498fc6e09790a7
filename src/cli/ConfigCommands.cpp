#include "cli/ConfigCommands.h"

#include "base/Hash.h"
#include "cli/ConfigFile.h"
#include "cli/Report.h"
#include "cli/Table.h"
#include "config/Diff.h"

#include <utility>
#include <vector>

namespace lovagerock::cli {

namespace {

// The outcome of a check.
struct CheckOutcome
{
  // The members of a node's answer.
  Json mAnswer{ { "valid", true }, { "warnings", Json::array() } };
  std::vector<config::Problem> mFindings;
  // The differences to another file, if one was given.
  std::vector<config::Change> mChanges;
};

ExitCode
CompareFiles(const CheckOptions& aArguments, const config::Document& aDocument, bool aJson,
             const Console& aConsole, CheckOutcome& aOutcome)
{
  if (aArguments.mAgainst.empty()) {
    return ExitCode::Done;
  }
  LoadedFile other;
  const auto code = LoadConfigFile(aArguments.mAgainst, other, aJson, aConsole);
  if (code == ExitCode::Done) {
    aOutcome.mChanges = config::Diff(*other.mResult.mDocument, aDocument);
  }
  return code;
}

ExitCode
CheckOnNode(const CheckOptions& aArguments, const std::string& aText, const Options& aOptions,
            AdminClient& aClient, const Console& aConsole, CheckOutcome& aOutcome)
{
  if (aArguments.mIsOffline) {
    return ExitCode::Done;
  }
  auto result = aClient.Query(http::Method::Post, "/v1/config/check", aText, aOptions.mTimeout);
  if (!result.Is(200)) {
    return ReportFailure(result, aArguments.mFile, aOptions.mJson, aConsole);
  }
  aOutcome.mAnswer = std::move(result.mBody);
  return ExitCode::Done;
}

void
PrintJson(const CheckOptions& aArguments, const CheckOutcome& aOutcome, const Console& aConsole)
{
  auto json = aOutcome.mAnswer;
  json["findings"] = aOutcome.mFindings;
  if (!aArguments.mAgainst.empty()) {
    json["changes"] = aOutcome.mChanges;
  }
  aConsole.mOut << DumpJson(json) << "\n";
}

void
PrintText(const CheckOptions& aArguments, const CheckOutcome& aOutcome, const Console& aConsole)
{
  for (const auto& it : JsonValue<Json>(aOutcome.mAnswer, "warnings", Json::array())) {
    aConsole.mErr << aArguments.mFile << ": warning: " << CellText(it) << "\n";
  }
  for (const auto& it : aOutcome.mFindings) {
    aConsole.mErr << CellText(it.ToString()) << "\n";
  }
  aConsole.mOut << aArguments.mFile << ": valid"
                << (aArguments.mIsOffline ? " (not checked against the workers)" : "") << "\n";
  if (!aOutcome.mFindings.empty()) {
    aConsole.mErr << aOutcome.mFindings.size() << " finding(s)\n";
  }
  if (!aArguments.mAgainst.empty()) {
    aConsole.mOut << aOutcome.mChanges.size() << " change(s) to " << aArguments.mAgainst << "\n";
  }
  for (const auto& it : aOutcome.mChanges) {
    aConsole.mOut << CellText(it.ToString()) << "\n";
  }
}

} // namespace

ExitCode
RunCheck(const CheckOptions& aArguments, const Options& aOptions, AdminClient& aClient,
         const Console& aConsole)
{
  LoadedFile file;
  CheckOutcome outcome;
  auto code = LoadConfigFile(aArguments.mFile, file, aOptions.mJson, aConsole);
  if (code == ExitCode::Done) {
    code = CompareFiles(aArguments, *file.mResult.mDocument, aOptions.mJson, aConsole, outcome);
  }
  if (code == ExitCode::Done) {
    code = CheckOnNode(aArguments, file.mText, aOptions, aClient, aConsole, outcome);
  }
  if (code != ExitCode::Done) {
    return code;
  }
  outcome.mFindings = std::move(file.mResult.mFindings);
  if (aOptions.mJson) {
    PrintJson(aArguments, outcome, aConsole);
  } else {
    PrintText(aArguments, outcome, aConsole);
  }
  return outcome.mFindings.empty() ? ExitCode::Done : ExitCode::Refused;
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
