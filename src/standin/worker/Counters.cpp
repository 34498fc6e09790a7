#include "standin/worker/Counters.h"

#include <algorithm>

namespace lovagerock::standin {

Counters::Counters(std::size_t aLimit)
  : mLimit(aLimit)
{
}

template<typename Value>
Value&
Counters::Slot(std::map<std::string, Value>& aMap, const std::string& aName, Value& aSpare)
{
  const auto it = aMap.find(aName);
  if (it != aMap.end()) {
    return it->second;
  }
  if (aMap.size() >= mLimit) {
    ++mDropped;
    return aSpare;
  }
  return aMap[aName];
}

void
Counters::Record(const LeaseEvent& aEvent)
{
  const auto& lease = aEvent.mLease;
  if (lease.mKind != workers::LeaseKind::Job) {
    return;
  }
  const auto attempt = "/" + std::to_string(lease.mAttempt);
  Gang spare;
  auto& gang = Slot(mGangs, lease.mJob.Value() + attempt, spare);
  if (aEvent.mKind == LeaseEvent::Kind::Ended) {
    --gang.mRunning;
    return;
  }
  gang.mLargest = std::max(gang.mLargest, ++gang.mRunning);
  int unused = 0;
  ++Slot(mTasks, lease.mJob.Value() + "/" + std::to_string(lease.mTask) + attempt, unused);
}

void
Counters::Record(const RequestEvent& aEvent)
{
  if (aEvent.mStarted) {
    int unused = 0;
    ++Slot(mRequests, aEvent.mRequest.Value(), unused);
  }
}

Json
Counters::Read() const
{
  Json gangs = Json::object();
  int largest = 0;
  for (const auto& [name, gang] : mGangs) {
    gangs[name] = gang.mLargest;
    largest = std::max(largest, gang.mLargest);
  }
  return { { "requests", mRequests },
           { "tasks", mTasks },
           { "gangs", std::move(gangs) },
           { "largest_gang", largest },
           { "dropped", mDropped } };
}

} // namespace lovagerock::standin
