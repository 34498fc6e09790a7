#pragma once

#include "base/Ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace lovagerock::routing {

// Identifies a request inside the node; grows with each request.
using RequestNumber = std::uint64_t;

// Where a request waits.
struct QueueSlot
{
  AccountId mAccount;
  ServiceId mService;
  bool mIdempotent = true;
};

// Bounded queues per account and service. Accounts share each service by weight (start-time fair
// queueing), so that a long queue of one account doesn't delay another. Idempotent and
// non-idempotent requests wait apart, because they need different replicas. Belongs to its loop.
class AdmissionQueue
{
public:
  // Queues a request. False if the account's queue for the service holds aLimit requests.
  bool Push(const QueueSlot& aSlot, RequestNumber aRequest, double aWeight, std::size_t aLimit);
  // Takes out the next request of the service; aCanServe tells whether a replica is free for an
  // idempotent or a non-idempotent request.
  std::optional<RequestNumber>
  Pop(const ServiceId& aService, const std::function<bool(bool aIdempotent)>& aCanServe);
  // Takes out a request that no longer waits, such as one whose deadline passed.
  void Remove(const QueueSlot& aSlot, RequestNumber aRequest);
  // The services with waiting requests.
  std::vector<ServiceId> Services() const;
  std::size_t Length(const AccountId& aAccount, const ServiceId& aService) const;
  // How many requests of the kind are served before the last one of the account: its own, and of
  // each other account no more than its share in the meantime.
  double Ahead(const QueueSlot& aSlot) const;
  std::size_t Length() const { return mLength; }

private:
  struct AccountQueue
  {
    // In order of arrival; index 0 holds the non-idempotent requests. A retry has its old number
    // and therefore goes first.
    std::array<std::set<RequestNumber>, 2> mRequests;
    // Share of the service received so far, over the weight.
    double mVirtualTime = 0;
    double mWeight = 1;

    std::size_t Length() const { return mRequests[0].size() + mRequests[1].size(); }
  };
  struct ServiceQueue
  {
    std::unordered_map<AccountId, AccountQueue> mAccounts;
    double mVirtualTime = 0;
  };

  std::unordered_map<ServiceId, ServiceQueue> mServices;
  std::size_t mLength = 0;
};

} // namespace lovagerock::routing
