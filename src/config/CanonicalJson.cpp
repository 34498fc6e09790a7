#include "config/CanonicalJson.h"

#include "base/Hash.h"

#include <algorithm>

namespace lovagerock::config {

namespace detail {
namespace {

// The format version that ReadJson() expects.
constexpr int kFormat = 1;

template<typename Entry>
void
SortByName(std::vector<Entry>& aEntries)
{
  std::sort(aEntries.begin(), aEntries.end(), [](const Entry& aLeft, const Entry& aRight) {
    return aLeft.mName.Value() < aRight.mName.Value();
  });
}

Json
GuaranteeJson(const Guarantee& aGuarantee)
{
  Json json{ { "name", aGuarantee.mName.Value() },
             { "count", aGuarantee.mCount.Value() },
             { "workers", aGuarantee.mWorkers.Value() },
             { "accelerators_per_worker", aGuarantee.mAcceleratorsPerWorker.Value() },
             { "adjacency", AdjacencyName(aGuarantee.mAdjacency) } };
  if (aGuarantee.mZone) {
    json["zone"] = aGuarantee.mZone->Value();
  }
  return json;
}

Json
AccountJson(const Account& aAccount)
{
  auto guarantees = Json::array();
  for (const auto& it : aAccount.mGuarantees) {
    guarantees.push_back(GuaranteeJson(it));
  }
  return Json{ { "name", aAccount.mName.Value() },
               { "token_sha256", aAccount.mTokenHash.Value() },
               { "weight", aAccount.mWeight.Value() },
               { "quota",
                 { { "accelerators", aAccount.mQuota.mAccelerators.Value() },
                   { "slots", aAccount.mQuota.mSlots.Value() } } },
               { "guarantees", std::move(guarantees) } };
}

Json
ServiceJson(const Service& aService)
{
  auto callers = Json::array();
  for (const auto& it : aService.mCallers) {
    callers.push_back(it.Value());
  }
  return Json{ { "name", aService.mName.Value() },
               { "account", aService.mAccount.Value() },
               { "callers", std::move(callers) },
               { "slots", aService.mSlots.Value() },
               { "accelerators_per_slot", aService.mAcceleratorsPerSlot.Value() },
               { "idempotent", aService.mIdempotent },
               { "timeout_ms", aService.mTimeout.count() },
               { "queue_limit", aService.mQueueLimit.Value() } };
}

} // namespace
} // namespace detail

void
SortDocument(Document& aDocument)
{
  detail::SortByName(aDocument.mAccounts);
  for (auto& it : aDocument.mAccounts) {
    detail::SortByName(it.mGuarantees);
  }
  detail::SortByName(aDocument.mServices);
  for (auto& it : aDocument.mServices) {
    std::sort(it.mCallers.begin(), it.mCallers.end(),
              [](const AccountId& aLeft, const AccountId& aRight) {
                return aLeft.Value() < aRight.Value();
              });
  }
}

Json
ToJson(const Document& aDocument)
{
  auto sorted = aDocument;
  SortDocument(sorted);
  auto accounts = Json::array();
  for (const auto& it : sorted.mAccounts) {
    accounts.push_back(detail::AccountJson(it));
  }
  auto services = Json::array();
  for (const auto& it : sorted.mServices) {
    services.push_back(detail::ServiceJson(it));
  }
  return Json{ { "format", detail::kFormat },
               { "deployment", sorted.mDeployment.Value() },
               { "weights",
                 { { "completion_time", sorted.mWeights.mCompletionTime },
                   { "fragmentation", sorted.mWeights.mFragmentation } } },
               { "accounts", std::move(accounts) },
               { "services", std::move(services) } };
}

std::string
CanonicalText(const Document& aDocument)
{
  return DumpJson(ToJson(aDocument));
}

std::string
ContentHash(const Document& aDocument)
{
  return Sha256Hex(CanonicalText(aDocument));
}

} // namespace lovagerock::config
