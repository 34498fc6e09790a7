#include "control/HandOver.h"

#include "base/Json.h"
#include "base/LogEvent.h"
#include "scheduler/Limits.h"

namespace lovagerock::control {

namespace {

Duration
ReadDuration(const Json& aJson)
{
  return Duration(JsonInRange(aJson, std::int64_t{ 0 }, scheduler::kMaxDuration.count()));
}

} // namespace

HandOver
UnknownHandOver(FencingToken aToken, Duration aEndedAgo)
{
  return { aToken, false, scheduler::kMaxDuration, {}, aEndedAgo, {} };
}

Json
WriteHandOver(const HandOver& aHandOver)
{
  auto progress = Json::array();
  for (const auto& it : aHandOver.mProgress) {
    progress.push_back(Json::array({ it.mJob.Value(), it.mText }));
  }
  auto restarted = Json::array();
  for (const auto& it : aHandOver.mRestarted) {
    restarted.push_back(it.Value());
  }
  return {
    { "token", aHandOver.mToken.Value() }, { "endedAgo", aHandOver.mEndedAgo.count() },
    { "complete", aHandOver.mIsComplete }, { "earlierLeases", aHandOver.mEarlierLeases.count() },
    { "progress", std::move(progress) },   { "restarted", std::move(restarted) }
  };
}

HandOver
ReadHandOver(const Json& aJson)
{
  HandOver handOver;
  try {
    handOver.mToken = FencingToken(JsonAt<std::int64_t>(aJson, "token"));
    // Earlier versions don't write it.
    handOver.mEndedAgo =
      aJson.contains("endedAgo") ? ReadDuration(aJson.at("endedAgo")) : Duration(0);
    handOver.mIsComplete = aJson.at("complete").get<bool>();
    handOver.mEarlierLeases = aJson.contains("earlierLeases")
                                ? ReadDuration(aJson.at("earlierLeases"))
                                : scheduler::kMaxDuration;
    for (const auto& it : aJson.at("progress")) {
      handOver.mProgress.push_back(
        { JobId(it.at(0).get<std::string>()), it.at(1).get<std::string>() });
    }
    // Earlier versions don't write it.
    if (aJson.contains("restarted")) {
      for (const auto& it : aJson.at("restarted")) {
        handOver.mRestarted.emplace_back(it.get<std::string>());
      }
    }
  } catch (const Json::exception& ex) {
    LogEvent("hand_over_malformed", LogLevel::Warning).With("reason", ex.what());
    return {};
  }
  return handOver;
}

} // namespace lovagerock::control
