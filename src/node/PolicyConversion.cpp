#include "node/PolicyConversion.h"

#include "placement/GuaranteeAssigner.h"

namespace lovagerock::node {

namespace detail {
namespace {

placement::Guarantee
ToGuarantee(const config::Guarantee& aGuarantee)
{
  placement::Guarantee guarantee;
  guarantee.mName = aGuarantee.mName.Value();
  guarantee.mCount = static_cast<int>(aGuarantee.mCount.Value());
  guarantee.mWorkers = static_cast<int>(aGuarantee.mWorkers.Value());
  guarantee.mAcceleratorsPerWorker = aGuarantee.mAcceleratorsPerWorker;
  guarantee.mAdjacency = aGuarantee.mAdjacency;
  guarantee.mZone = aGuarantee.mZone;
  return guarantee;
}

placement::AccountView
ToAccount(const config::Account& aAccount)
{
  placement::AccountView account;
  account.mAccount = aAccount.mName;
  account.mWeight = static_cast<double>(aAccount.mWeight.Value());
  account.mQuota.mAccelerators = aAccount.mQuota.mAccelerators;
  account.mQuota.mSlots = aAccount.mQuota.mSlots;
  for (const auto& it : aAccount.mGuarantees) {
    account.mGuarantees.push_back(ToGuarantee(it));
  }
  return account;
}

std::optional<routing::AccountPolicy>
FindAccount(const config::Document& aDocument, const std::string& aTokenHash)
{
  for (const auto& it : aDocument.mAccounts) {
    if (it.mTokenHash.Value() == aTokenHash) {
      return routing::AccountPolicy{ it.mName, static_cast<double>(it.mWeight.Value()) };
    }
  }
  return std::nullopt;
}

} // namespace
} // namespace detail

jobs::PolicyInput
ToPolicyInput(const config::Document& aDocument)
{
  jobs::PolicyInput policy;
  policy.mWeights = { aDocument.mWeights.mCompletionTime, aDocument.mWeights.mFragmentation };
  for (const auto& it : aDocument.mAccounts) {
    policy.mAccounts.push_back(detail::ToAccount(it));
  }
  for (const auto& it : aDocument.mServices) {
    policy.mServices.push_back({ it.mName, it.mAccount, static_cast<int>(it.mSlots.Value()),
                                 it.mAcceleratorsPerSlot, it.mIdempotent });
  }
  return policy;
}

routing::AccountDirectory
ToAccountDirectory(std::shared_ptr<const config::Document>* aDocument)
{
  routing::AccountDirectory directory;
  directory.mFindAccount = [aDocument](const std::string& aTokenHash) {
    return *aDocument ? detail::FindAccount(**aDocument, aTokenHash) : std::nullopt;
  };
  directory.mFindService =
    [aDocument](const ServiceId& aService) -> std::optional<routing::ServicePolicy> {
    const auto* service = *aDocument ? (*aDocument)->FindService(aService) : nullptr;
    if (!service) {
      return std::nullopt;
    }
    return routing::ServicePolicy{ service->mName, service->mCallers, service->mTimeout,
                                   service->mIdempotent,
                                   static_cast<std::size_t>(service->mQueueLimit.Value()) };
  };
  return directory;
}

std::vector<config::Problem>
CheckGuarantees(const config::Document& aDocument, const jobs::WorkerViews& aWorkers)
{
  if (aWorkers.empty()) {
    return {};
  }
  const auto policy = ToPolicyInput(aDocument);
  const auto snapshot = jobs::BuildSnapshot(policy, aWorkers, {}, true, TimePoint());
  const auto unpackable = placement::FindUnpackableGuarantee(snapshot.mWorkers, snapshot.mAccounts);
  if (!unpackable) {
    return {};
  }
  config::Problem problem;
  problem.mField =
    "accounts[" + unpackable->mAccount.Value() + "].guarantees[" + unpackable->mGuarantee + "]";
  problem.mMessage = "can't be packed together with the other guarantees: " + unpackable->mDetail;
  return { problem };
}

} // namespace lovagerock::node
