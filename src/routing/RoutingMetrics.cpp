#include "routing/RoutingMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace lovagerock::routing {

namespace detail {
namespace {

prometheus::Histogram::BucketBoundaries
LatencyBuckets()
{
  return { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300 };
}

} // namespace
} // namespace detail

RoutingMetrics::RoutingMetrics(prometheus::Registry& aRegistry)
  : mRequests(prometheus::BuildCounter()
                .Name("lovagerock_requests_total")
                .Help("Ended service requests by service and outcome")
                .Register(aRegistry))
  , mLatency(prometheus::BuildHistogram()
               .Name("lovagerock_request_seconds")
               .Help("Time from a request's arrival to the end of its answer")
               .Register(aRegistry))
  , mRetries(prometheus::BuildCounter()
               .Name("lovagerock_request_retries_total")
               .Help("Attempts after the first one by service")
               .Register(aRegistry))
  , mClaims(prometheus::BuildCounter()
              .Name("lovagerock_claims_total")
              .Help("Attempts to claim an idempotency key by result")
              .Register(aRegistry))
  , mEjections(prometheus::BuildCounter()
                 .Name("lovagerock_worker_ejections_total")
                 .Help("Workers ejected from routing after failures in a row")
                 .Register(aRegistry)
                 .Add({}))
  , mQueueLength(prometheus::BuildGauge()
                   .Name("lovagerock_request_queue_length")
                   .Help("Requests that wait for a replica")
                   .Register(aRegistry)
                   .Add({}))
  , mBufferedBytes(prometheus::BuildGauge()
                     .Name("lovagerock_request_buffered_bytes")
                     .Help("Bytes of request bodies held in memory")
                     .Register(aRegistry)
                     .Add({}))
{
}

void
RoutingMetrics::AddRequest(const ServiceId& aService, std::string_view aOutcome,
                           std::chrono::steady_clock::duration aTime)
{
  auto& outcomes = mByOutcome[aService.Value()];
  auto it = outcomes.find(aOutcome);
  if (it == outcomes.end()) {
    const std::string outcome(aOutcome);
    auto& counter = mRequests.Add({ { "service", aService.Value() }, { "outcome", outcome } });
    it = outcomes.emplace(outcome, &counter).first;
  }
  it->second->Increment();
  auto*& latency = mByService[aService.Value()];
  if (!latency) {
    latency = &mLatency.Add({ { "service", aService.Value() } }, detail::LatencyBuckets());
  }
  latency->Observe(std::chrono::duration<double>(aTime).count());
}

void
RoutingMetrics::AddRetry(const ServiceId& aService)
{
  mRetries.Add({ { "service", aService.Value() } }).Increment();
}

void
RoutingMetrics::AddEjection()
{
  mEjections.Increment();
}

void
RoutingMetrics::AddClaim(std::string_view aResult)
{
  mClaims.Add({ { "result", std::string(aResult) } }).Increment();
}

void
RoutingMetrics::SetQueueLength(std::size_t aLength)
{
  mQueueLength.Set(static_cast<double>(aLength));
}

void
RoutingMetrics::SetBufferedBytes(Bytes aBytes)
{
  mBufferedBytes.Set(static_cast<double>(aBytes.Value()));
}

} // namespace lovagerock::routing
