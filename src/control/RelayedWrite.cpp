#include "control/RelayedWrite.h"

#include "control/Keys.h"
#include "scheduler/JobRecord.h"

#include <algorithm>

namespace lovagerock::control {

namespace {

// The present leader, and former ones in case it doesn't answer.
constexpr std::size_t kMaxKnownNodes = 3;

} // namespace

kv::ConditionalWrites
StoreOperation(const RequestWrite& aWrite)
{
  kv::ConditionalWrites writes;
  if (aWrite.mRecord) {
    const auto key = KeyOf(kJobPrefix, aWrite.mJob);
    writes.mConditions.push_back({ key, kv::Revision() });
    writes.mWrites.push_back({ key, *aWrite.mRecord, {} });
  } else {
    writes.mWrites.push_back({ KeyOf(kCancelPrefix, aWrite.mJob), "{}", {} });
  }
  return writes;
}

bool
IsVisible(const std::optional<kv::Item>& aItem, const AccountId& aAccount)
{
  const auto job = aItem ? scheduler::ReadAcceptedJob(aItem->mValue) : std::nullopt;
  return job && (aAccount.IsEmpty() || job->mAccount.IsEmpty() || job->mAccount == aAccount);
}

const std::array<RelayOutcome, kRelayOutcomes>&
AllRelayOutcomes()
{
  static constexpr std::array<RelayOutcome, kRelayOutcomes> kAll{
    RelayOutcome::Stored, RelayOutcome::Present, RelayOutcome::Gone, RelayOutcome::Refused,
    RelayOutcome::Unknown
  };
  return kAll;
}

std::string_view
RelayOutcomeName(RelayOutcome aOutcome)
{
  switch (aOutcome) {
    case RelayOutcome::Stored:
      return "stored";
    case RelayOutcome::Present:
      return "present";
    case RelayOutcome::Gone:
      return "gone";
    case RelayOutcome::Refused:
      return "refused";
    case RelayOutcome::Unknown:
      break;
  }
  return "unknown";
}

RelayOutcome
ParseRelayOutcome(std::string_view aName)
{
  for (const auto it : AllRelayOutcomes()) {
    if (RelayOutcomeName(it) == aName) {
      return it;
    }
  }
  return RelayOutcome::Unknown;
}

void
KnownNodes::OnView(const std::optional<SocketAddress>& aLeader)
{
  if (aLeader && aLeader != mViewed) {
    OnNamed(*aLeader);
  }
  mViewed = aLeader;
}

void
KnownNodes::OnNamed(const SocketAddress& aLeader)
{
  if (aLeader == mOwn) {
    return;
  }
  std::erase(mNodes, aLeader);
  mNodes.insert(mNodes.begin(), aLeader);
  mNodes.resize(std::min(mNodes.size(), kMaxKnownNodes));
}

void
KnownNodes::OnSilent(const SocketAddress& aNode)
{
  const auto it = std::find(mNodes.begin(), mNodes.end(), aNode);
  if (it != mNodes.end()) {
    std::rotate(it, it + 1, mNodes.end());
  }
}

std::optional<SocketAddress>
KnownNodes::Choose(const std::vector<SocketAddress>& aAsked) const
{
  for (const auto& it : mNodes) {
    if (std::find(aAsked.begin(), aAsked.end(), it) == aAsked.end()) {
      return it;
    }
  }
  return mNodes.empty() ? std::optional<SocketAddress>() : mNodes.front();
}

} // namespace lovagerock::control
