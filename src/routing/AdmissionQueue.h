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

// Identifies a request within the process. Increases with each request.
using RequestNumber = std::uint64_t;

// Identifies the queue that a request waits in.
struct QueueKey
{
  AccountId mAccount;
  ServiceId mService;
  bool mIdempotent = true;
};

// Bounded queues per client account and service. Accounts share each service by weight (start-time
// fair queueing), so that a long queue of one account doesn't delay another. Idempotent and
// non-idempotent requests are queued separately, because non-idempotent ones may not use
// reclaimable replicas. Not thread-safe.
class AdmissionQueue
{
public:
  // Queues a request. Returns false if the account already has aLimit requests queued for the
  // service.
  bool Push(const QueueKey& aKey, RequestNumber aRequest, double aWeight, std::size_t aLimit);
  // Removes and returns the next request of the service; nothing if none can be served. aCanServe
  // returns whether a replica is free for an idempotent or a non-idempotent request.
  std::optional<RequestNumber>
  Pop(const ServiceId& aService, const std::function<bool(bool aIdempotent)>& aCanServe);
  // Removes a request that must not be dispatched any more, such as one whose deadline has passed.
  void Remove(const QueueKey& aKey, RequestNumber aRequest);
  // Returns the services with queued requests.
  std::vector<ServiceId> Services() const;
  std::size_t Length(const AccountId& aAccount, const ServiceId& aService) const;
  // Returns the estimated number of requests that are served before the last one in the queue aKey:
  // the account's own, and of each other account at most its weighted share in that time. Counts
  // only requests that are idempotent if, and only if, those in aKey are.
  double RequestsAhead(const QueueKey& aKey) const;
  std::size_t Length() const { return mLength; }

private:
  struct AccountQueue
  {
    // In order of arrival; index 0 holds the non-idempotent requests, index 1 the idempotent ones.
    // A retried request keeps its number and so precedes later arrivals.
    std::array<std::set<RequestNumber>, 2> mRequests;
    // Requests dispatched so far, divided by the weight (the start tag of the next request).
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
