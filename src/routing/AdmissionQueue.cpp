#include "routing/AdmissionQueue.h"

#include <algorithm>

namespace lovagerock::routing {

bool
AdmissionQueue::Push(const QueueKey& aKey, RequestNumber aRequest, double aWeight,
                     std::size_t aLimit)
{
  auto& service = mServices[aKey.mService];
  auto& account = service.mAccounts[aKey.mAccount];
  if (account.Length() >= aLimit) {
    return false;
  }
  if (account.Length() == 0) {
    // An account gets no credit for the share that it didn't use while its queue was empty.
    account.mVirtualTime = std::max(account.mVirtualTime, service.mVirtualTime);
  }
  account.mWeight = aWeight > 0 ? aWeight : 1;
  account.mRequests[aKey.mIdempotent ? 1 : 0].insert(aRequest);
  ++mLength;
  return true;
}

std::optional<RequestNumber>
AdmissionQueue::Pop(const ServiceId& aService,
                    const std::function<bool(bool aIdempotent)>& aCanServe)
{
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return std::nullopt;
  }
  std::array<std::optional<bool>, 2> canServe;
  AccountQueue* next = nullptr;
  std::size_t nextKind = 0;
  for (auto& [id, account] : service->second.mAccounts) {
    for (std::size_t kind = 0; kind < 2; ++kind) {
      const auto& requests = account.mRequests[kind];
      const bool earlier =
        !requests.empty() &&
        (!next || account.mVirtualTime < next->mVirtualTime ||
         (next == &account && *requests.begin() < *account.mRequests[nextKind].begin()));
      if (!earlier) {
        continue;
      }
      if (!canServe[kind]) {
        canServe[kind] = aCanServe(kind == 1);
      }
      if (*canServe[kind]) {
        next = &account;
        nextKind = kind;
      }
    }
  }
  if (!next) {
    return std::nullopt;
  }
  const auto request = *next->mRequests[nextKind].begin();
  next->mRequests[nextKind].erase(request);
  --mLength;
  service->second.mVirtualTime = next->mVirtualTime;
  next->mVirtualTime += 1 / next->mWeight;
  return request;
}

void
AdmissionQueue::Remove(const QueueKey& aKey, RequestNumber aRequest)
{
  const auto service = mServices.find(aKey.mService);
  if (service == mServices.end()) {
    return;
  }
  const auto account = service->second.mAccounts.find(aKey.mAccount);
  if (account != service->second.mAccounts.end()) {
    mLength -= account->second.mRequests[aKey.mIdempotent ? 1 : 0].erase(aRequest);
  }
}

std::vector<ServiceId>
AdmissionQueue::Services() const
{
  std::vector<ServiceId> services;
  for (const auto& [id, service] : mServices) {
    if (std::any_of(service.mAccounts.begin(), service.mAccounts.end(),
                    [](const auto& aItem) { return aItem.second.Length() > 0; })) {
      services.push_back(id);
    }
  }
  return services;
}

std::size_t
AdmissionQueue::Length(const AccountId& aAccount, const ServiceId& aService) const
{
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return 0;
  }
  const auto account = service->second.mAccounts.find(aAccount);
  return account == service->second.mAccounts.end() ? 0 : account->second.Length();
}

double
AdmissionQueue::RequestsAhead(const QueueKey& aKey) const
{
  const auto service = mServices.find(aKey.mService);
  if (service == mServices.end()) {
    return 0;
  }
  const auto& accounts = service->second.mAccounts;
  const auto own = accounts.find(aKey.mAccount);
  const std::size_t kind = aKey.mIdempotent ? 1 : 0;
  if (own == accounts.end() || own->second.mRequests[kind].empty()) {
    return 0;
  }
  const auto length = static_cast<double>(own->second.mRequests[kind].size());
  double ahead = length - 1;
  for (const auto& [id, account] : accounts) {
    if (id != aKey.mAccount) {
      const double share = length * account.mWeight / own->second.mWeight;
      ahead += std::min(share, static_cast<double>(account.mRequests[kind].size()));
    }
  }
  return ahead;
}

} // namespace lovagerock::routing
