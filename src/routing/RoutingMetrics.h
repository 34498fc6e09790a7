#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <prometheus/registry.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace lovagerock::routing {

// Prometheus metrics of request routing. Must be updated on one thread only; other threads may read
// the registry.
class RoutingMetrics
{
public:
  explicit RoutingMetrics(prometheus::Registry& aRegistry);

  // Records an ended request and its time from arrival to the end of the response.
  void AddRequest(const ServiceId& aService, std::string_view aOutcome,
                  std::chrono::steady_clock::duration aTime);
  void AddRetry(const ServiceId& aService);
  void AddEjection();
  // Counts an attempt to claim a key by its result: "held", "exists" or "unavailable".
  void AddClaim(std::string_view aResult);
  void SetQueueLength(std::size_t aLength);
  void SetBufferedBytes(Bytes aBytes);

private:
  prometheus::Family<prometheus::Counter>& mRequests;
  prometheus::Family<prometheus::Histogram>& mLatency;
  prometheus::Family<prometheus::Counter>& mRetries;
  prometheus::Family<prometheus::Counter>& mClaims;
  prometheus::Counter& mEjections;
  prometheus::Gauge& mQueueLength;
  prometheus::Gauge& mBufferedBytes;
  // Caches of the metrics by label value, because the library's lookup hashes all labels on each
  // call.
  std::map<std::string, std::map<std::string, prometheus::Counter*, std::less<>>> mByOutcome;
  std::map<std::string, prometheus::Histogram*> mByService;
};

} // namespace lovagerock::routing
