#pragma once

#include "base/Ids.h"
#include "base/Json.h"
#include "base/Units.h"
#include "http/HttpMessage.h"

#include <functional>
#include <optional>
#include <string>

namespace lovagerock::admin {

// A change of the configuration as an operator sends it.
struct ApplyRequest
{
  std::string mText;
  ConfigVersion mBase;
  ChangeId mChange;
  std::string mOperator;
};

using ReplyCallback = std::function<void(http::Response)>;

// What the operators' API needs of the node. Every function that takes a callback may call it
// later, once.
struct AdminHooks
{
  // Checks a file, or compares it with the configuration in force.
  std::function<http::Response(const std::string& aText)> mCheck;
  std::function<http::Response(const std::string& aText)> mDiff;
  std::function<void(const ApplyRequest&, ReplyCallback)> mApply;
  std::function<void(const ChangeId&, ReplyCallback)> mFindChange;
  std::function<http::Response()> mShowConfig;
  std::function<Json()> mNodes;
  // A view of the region's planner: "queues", "placements", "workers" or "why", the last with a
  // job id. Nothing if no planner answers.
  std::function<void(const std::string& aView, const std::string& aJob,
                     std::function<void(std::optional<Json>)>)>
    mPlannerView;
  // Why the node isn't ready; nothing if it is.
  std::function<std::optional<std::string>()> mNotReady;
  // The metrics in the Prometheus text format.
  std::function<std::string()> mMetrics;
};

} // namespace lovagerock::admin
