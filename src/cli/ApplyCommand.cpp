#include "cli/ApplyCommand.h"

#include "base/Random.h"
#include "cli/ConfigFile.h"
#include "cli/Report.h"
#include "cli/Table.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lovagerock::cli {

namespace detail {
namespace {

// The pause between two questions to the nodes. Ten operators at once stay far below the read
// rate of the key-value service.
constexpr Duration kPollInterval{ 250 };

Duration
TimeUntil(TimePoint aEnd)
{
  return std::chrono::duration_cast<Duration>(aEnd - std::chrono::steady_clock::now());
}

bool
HasVersion(const CallResult& aResult)
{
  return JsonValue<std::int64_t>(aResult.mBody, "version", 0) > 0;
}

ConfigVersion
VersionOf(const Json& aObject)
{
  return ConfigVersion(JsonValue<std::int64_t>(aObject, "version", 0));
}

// Whether the node did not and will not apply the change.
bool
IsNotApplied(const CallResult& aResult)
{
  return aResult.mOutcome == CallOutcome::NotSent ||
         (aResult.Is(503) && JsonValue<std::string>(aResult.mBody, "applied", "") == "no");
}

} // namespace
} // namespace detail

ApplyCommand::ApplyCommand(ApplyOptions aArguments, const Options& aOptions, AdminClient& aClient,
                           const Console& aConsole)
  : mArguments(std::move(aArguments))
  , mOptions(aOptions)
  , mClient(aClient)
  , mConsole(aConsole)
{
}

ExitCode
ApplyCommand::Run()
{
  std::string text;
  auto code = LoadConfigFile(mArguments.mFile, text, mOptions.mJson, mConsole);
  if (code != ExitCode::Done) {
    return code;
  }
  if (mArguments.mChange.IsEmpty()) {
    mArguments.mChange = ChangeId("c-" + Random(Random::SystemSeed()).Token());
  } else if (FindEarlierOutcome(code)) {
    return code;
  }
  if (!FindBase(code)) {
    return code;
  }
  code = Judge(Send(text));
  return code == ExitCode::Done ? WaitUntilInForce() : code;
}

// A given change id may be a retry of a change whose outcome was unknown.
bool
ApplyCommand::FindEarlierOutcome(ExitCode& aCode)
{
  const auto result = mClient.Query(http::Method::Get, ChangeTarget(), "", mOptions.mTimeout);
  if (result.Is(404)) {
    return false;
  }
  if (!result.Is(200) || !detail::HasVersion(result)) {
    aCode = ReportFailure(result, "", mOptions.mJson, mConsole);
    return true;
  }
  mAccepted.mVersion = detail::VersionOf(result.mBody);
  aCode = WaitUntilInForce();
  return true;
}

// An explicit base makes the change safe against a second delivery: it fits one version only.
bool
ApplyCommand::FindBase(ExitCode& aCode)
{
  if (mArguments.mBase) {
    return true;
  }
  const auto result = mClient.Query(http::Method::Get, "/v1/config", "", mOptions.mTimeout);
  if (!result.Is(200) && !result.Is(404)) {
    aCode = ReportFailure(result, "", mOptions.mJson, mConsole);
    return false;
  }
  mArguments.mBase = result.Is(200) ? detail::VersionOf(result.mBody) : ConfigVersion(0);
  return true;
}

CallResult
ApplyCommand::Send(const std::string& aText)
{
  const auto target = "/v1/config/apply?base=" + std::to_string(mArguments.mBase->Value()) +
                      "&change=" + http::EncodeComponent(mArguments.mChange.Value()) +
                      "&operator=" + http::EncodeComponent(mArguments.mOperator);
  const auto end = std::chrono::steady_clock::now() + mOptions.mTimeout;
  CallResult result;
  for (const auto& it : mClient.Nodes()) {
    auto next = mClient.CallNode(it, http::Method::Post, target, aText, detail::TimeUntil(end));
    const bool notApplied = detail::IsNotApplied(next);
    if (!notApplied || next.mOutcome == CallOutcome::Answered ||
        result.mOutcome != CallOutcome::Answered) {
      result = std::move(next);
    }
    if (!notApplied) {
      break;
    }
  }
  return result;
}

ExitCode
ApplyCommand::Judge(const CallResult& aResult)
{
  if (aResult.Is(200) && detail::HasVersion(aResult)) {
    mAccepted.mVersion = detail::VersionOf(aResult.mBody);
    mAccepted.mHash = JsonValue<std::string>(aResult.mBody, "hash", "");
    return ExitCode::Done;
  }
  if (aResult.Is(409)) {
    return ReportConflict(aResult);
  }
  const bool refused =
    aResult.mOutcome == CallOutcome::Answered && aResult.mStatus >= 400 && aResult.mStatus < 500;
  if (refused || detail::IsNotApplied(aResult)) {
    const auto code = ReportFailure(aResult, mArguments.mFile, mOptions.mJson, mConsole);
    mConsole.mErr << "the change was not applied\n";
    return code;
  }
  return ResolveLostAnswer();
}

ExitCode
ApplyCommand::ReportConflict(const CallResult& aResult) const
{
  if (mOptions.mJson) {
    mConsole.mOut << DumpJson(aResult.mBody) << "\n";
  }
  const auto field = [&aResult](const char* aName) {
    return CellText(JsonValue<Json>(aResult.mBody, aName, nullptr));
  };
  mConsole.mErr << "conflict: version " << field("version") << " was applied by "
                << field("operator") << " with change " << field("change")
                << "; the file was made for version " << mArguments.mBase->Value()
                << " and was not applied\n";
  return ExitCode::Refused;
}

// "Not applied" is no final answer here, because the node that got the change may still write it.
ExitCode
ApplyCommand::ResolveLostAnswer()
{
  const auto end = std::chrono::steady_clock::now() + mOptions.mTimeout;
  while (detail::TimeUntil(end) > Duration(0)) {
    const auto result =
      mClient.Query(http::Method::Get, ChangeTarget(), "", detail::TimeUntil(end));
    if (result.Is(200) && detail::HasVersion(result)) {
      mAccepted.mVersion = detail::VersionOf(result.mBody);
      return ExitCode::Done;
    }
    mClient.Pause(std::clamp(detail::TimeUntil(end), Duration(0), detail::kPollInterval));
  }
  return ReportUnknown();
}

ExitCode
ApplyCommand::ReportUnknown() const
{
  if (mOptions.mJson) {
    mConsole.mOut << DumpJson(Json{ { "error", "outcome_unknown" },
                                    { "change", mArguments.mChange.Value() } })
                  << "\n";
  }
  std::string command = "lovagerock";
  for (const auto& it : mClient.Nodes()) {
    command += " --admin " + it.ToString();
  }
  mConsole.mErr << "the outcome of change " << mArguments.mChange
                << " is unknown: its answer was lost. To ask for it:\n  " << command << " change "
                << mArguments.mChange << "\n";
  return ExitCode::OutcomeUnknown;
}

ExitCode
ApplyCommand::WaitUntilInForce() const
{
  const auto end = std::chrono::steady_clock::now() + mOptions.mTimeout;
  std::optional<Json> behind;
  while (detail::TimeUntil(end) > Duration(0)) {
    if (auto nodes = NodesBehind(detail::TimeUntil(end))) {
      behind = std::move(nodes);
      if (behind->empty()) {
        break;
      }
    }
    mClient.Pause(std::clamp(detail::TimeUntil(end), Duration(0), detail::kPollInterval));
  }
  return ReportAccepted(behind);
}

std::optional<Json>
ApplyCommand::NodesBehind(Duration aTimeout) const
{
  const auto result = mClient.Query(http::Method::Get, "/v1/nodes", "", aTimeout);
  if (!result.Is(200)) {
    return std::nullopt;
  }
  auto behind = Json::array();
  for (const auto& it : JsonValue<Json>(result.mBody, "nodes", Json::array())) {
    // A leaving node takes no new work, so it needs no new configuration.
    if (JsonValue<std::string>(it, "state", "") != "leaving" &&
        detail::VersionOf(it).Value() < mAccepted.mVersion.Value()) {
      behind.push_back({ { "node", JsonValue<std::string>(it, "node", "") },
                         { "state", JsonValue<std::string>(it, "state", "") },
                         { "version", detail::VersionOf(it).Value() } });
    }
  }
  return behind;
}

ExitCode
ApplyCommand::ReportAccepted(const std::optional<Json>& aBehind) const
{
  const bool inForce = aBehind && aBehind->empty();
  if (mOptions.mJson) {
    mConsole.mOut << DumpJson(Json{ { "version", mAccepted.mVersion.Value() },
                                    { "change", mArguments.mChange.Value() },
                                    { "hash", mAccepted.mHash },
                                    { "in_force", inForce },
                                    { "behind", aBehind.value_or(Json::array()) } })
                  << "\n";
    return ExitCode::Done;
  }
  mConsole.mOut << "accepted: version " << mAccepted.mVersion.Value() << ", change "
                << mArguments.mChange << "\n";
  if (inForce) {
    mConsole.mOut << "in force on all nodes\n";
  } else if (!aBehind) {
    mConsole.mErr << "accepted, but no node told which nodes have it\n";
  } else {
    for (const auto& it : *aBehind) {
      mConsole.mErr << "behind after " << mOptions.mTimeout.count() << " ms: node "
                    << CellText(it["node"]) << " (version " << CellText(it["version"]) << ", state "
                    << CellText(it["state"]) << ")\n";
    }
  }
  return ExitCode::Done;
}

std::string
ApplyCommand::ChangeTarget() const
{
  return "/v1/changes/" + http::EncodeComponent(mArguments.mChange.Value());
}

} // namespace lovagerock::cli
