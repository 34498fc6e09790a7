#include "node/ConfigReplies.h"

#include "config/Diff.h"

namespace lovagerock::node {

namespace detail {
namespace {

http::Response
JsonReply(int aStatus, const Json& aBody)
{
  return http::JsonResponse(aStatus, DumpJson(aBody));
}

const char*
StateName(membership::MemberState aState)
{
  switch (aState) {
    case membership::MemberState::Live:
      return "live";
    case membership::MemberState::Leaving:
      return "leaving";
    case membership::MemberState::Suspected:
      return "suspected";
  }
  return "suspected";
}

} // namespace
} // namespace detail

http::Response
ValidFile()
{
  return detail::JsonReply(200, { { "valid", true }, { "warnings", Json::array() } });
}

http::Response
InvalidFile(const std::vector<config::Problem>& aProblems)
{
  return detail::JsonReply(422, { { "error", "invalid" }, { "problems", aProblems } });
}

http::Response
DescribeDiff(ConfigVersion aBase, const config::Document& aOld, const config::Document& aNew)
{
  return detail::JsonReply(
    200, { { "base_version", aBase.Value() }, { "changes", config::Diff(aOld, aNew) } });
}

http::Response
DescribeConfig(const configstore::AcceptedConfig& aConfig)
{
  return detail::JsonReply(200, { { "version", aConfig.mHead.mVersion.Value() },
                                  { "hash", aConfig.mHead.mHash },
                                  { "change", aConfig.mHead.mChange.Value() },
                                  { "operator", aConfig.mHead.mOperator },
                                  { "document", aConfig.mBody } });
}

http::Response
NoConfig()
{
  return detail::JsonReply(404, { { "error", "no_configuration" } });
}

http::Response
DescribeOutcome(const ChangeId& aChange, const configstore::ChangeOutcome& aOutcome)
{
  using Kind = configstore::ChangeOutcome::Kind;
  switch (aOutcome.mKind) {
    case Kind::Applied:
      return detail::JsonReply(200, { { "version", aOutcome.mHead.mVersion.Value() },
                                      { "change", aChange.Value() },
                                      { "hash", aOutcome.mHead.mHash } });
    case Kind::Invalid:
      return InvalidFile(aOutcome.mProblems);
    case Kind::Conflict:
      return detail::JsonReply(409, { { "error", "conflict" },
                                      { "version", aOutcome.mHead.mVersion.Value() },
                                      { "change", aOutcome.mHead.mChange.Value() },
                                      { "operator", aOutcome.mHead.mOperator } });
    case Kind::Unavailable:
      return detail::JsonReply(
        503, { { "error", "unavailable" }, { "applied", "no" }, { "message", aOutcome.mMessage } });
    case Kind::OutcomeUnknown:
      break;
  }
  return detail::JsonReply(504, { { "error", "outcome_unknown" }, { "change", aChange.Value() } });
}

http::Response
DescribeChange(const ChangeId& aChange, std::error_code aError,
               const std::optional<configstore::ChangeRecord>& aRecord)
{
  if (aError) {
    return detail::JsonReply(503, { { "error", "unavailable" }, { "message", aError.message() } });
  }
  if (!aRecord) {
    return detail::JsonReply(404, { { "error", "not_applied" } });
  }
  return detail::JsonReply(
    200, { { "change", aChange.Value() }, { "version", aRecord->mVersion.Value() } });
}

Json
DescribeNode(const configstore::NodeConfig& aNode, const NodeId& aPlanner)
{
  const auto& member = aNode.mMember.mMember;
  return { { "node", member.mNode.Value() },
           { "zone", member.mZone.Value() },
           { "state", detail::StateName(aNode.mMember.mState) },
           { "version", aNode.mVersion.Value() },
           { "confirmed", aNode.mConfirmed },
           { "settled", aNode.mSettled },
           { "planner", member.mNode == aPlanner },
           { "address", member.mAddress.ToString() } };
}

} // namespace lovagerock::node
