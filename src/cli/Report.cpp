#include "cli/Report.h"

#include "base/Json.h"
#include "cli/Table.h"

namespace lovagerock::cli {

namespace detail {
namespace {

// What a node said about its refusal.
std::string
Explanation(const CallResult& aResult)
{
  for (const auto* it : { "message", "error" }) {
    const auto text = JsonValue<std::string>(aResult.mBody, it, "");
    if (!text.empty()) {
      return CellText(text);
    }
  }
  return "status " + std::to_string(aResult.mStatus);
}

ExitCode
ReportInvalid(const CallResult& aResult, const std::string& aFile, bool aJson,
              const Console& aConsole)
{
  std::vector<config::Problem> problems;
  for (const auto& it : JsonValue<Json>(aResult.mBody, "problems", Json::array())) {
    problems.push_back(it.get<config::Problem>());
    if (problems.back().mFile.empty()) {
      problems.back().mFile = aFile;
    }
  }
  return ReportProblems(problems, aJson, aConsole);
}

} // namespace
} // namespace detail

ExitCode
ReportProblems(const std::vector<config::Problem>& aProblems, bool aJson, const Console& aConsole)
{
  if (aJson) {
    aConsole.mOut << DumpJson(Json{ { "error", "invalid" }, { "problems", aProblems } }) << "\n";
    return ExitCode::Refused;
  }
  for (const auto& it : aProblems) {
    aConsole.mErr << CellText(it.ToString()) << "\n";
  }
  aConsole.mErr << "invalid: " << aProblems.size() << " problem(s), nothing was changed\n";
  return ExitCode::Refused;
}

ExitCode
ReportFailure(const CallResult& aResult, const std::string& aFile, bool aJson,
              const Console& aConsole)
{
  const auto node = aResult.mNode.ToString();
  if (aResult.mOutcome != CallOutcome::Answered) {
    aConsole.mErr << "no node answered; last tried " << node << ": " << aResult.mError.message()
                  << "\n";
    return ExitCode::Unreachable;
  }
  if (aResult.Is(422)) {
    return detail::ReportInvalid(aResult, aFile, aJson, aConsole);
  }
  if (aJson && aResult.mBody.is_object()) {
    aConsole.mOut << DumpJson(aResult.mBody) << "\n";
  }
  if (aResult.mStatus >= 200 && aResult.mStatus < 300) {
    aConsole.mErr << "node " << node << " gave an answer that is not understood\n";
    return ExitCode::Unreachable;
  }
  if (aResult.mStatus >= 500) {
    aConsole.mErr << "node " << node << " is not ready: " << detail::Explanation(aResult) << "\n";
    return ExitCode::Unreachable;
  }
  aConsole.mErr << "refused by node " << node << ": " << detail::Explanation(aResult) << "\n";
  return ExitCode::Refused;
}

} // namespace lovagerock::cli
