#pragma once

#include "base/Json.h"
#include "standin/worker/LeaseTable.h"
#include "standin/worker/RequestTable.h"

#include <cstddef>
#include <map>
#include <string>

namespace lovagerock::standin {

// Counts the starts of tasks and requests over all workers of the process, as the proof that
// nothing ran twice.
class Counters
{
public:
  explicit Counters(std::size_t aLimit = 100000);

  void Record(const LeaseEvent& aEvent);
  void Record(const RequestEvent& aEvent);

  // {"requests": {id: starts}, "tasks": {"job/task/attempt": starts}, "gangs": {"job/attempt":
  // largest number of members that ran at once}, "largest_gang", "dropped": entries that did not
  // fit}.
  Json Read() const;

private:
  struct Gang
  {
    int mRunning = 0;
    int mLargest = 0;
  };

  // The counter of a name, or a spare one when the limit is reached.
  template<typename Value>
  Value& Slot(std::map<std::string, Value>& aMap, const std::string& aName, Value& aSpare);

  std::size_t mLimit;
  std::map<std::string, int> mRequests;
  std::map<std::string, int> mTasks;
  std::map<std::string, Gang> mGangs;
  std::size_t mDropped = 0;
};

} // namespace lovagerock::standin
