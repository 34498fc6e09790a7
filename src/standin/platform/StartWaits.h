#pragma once

#include "base/Units.h"

#include <map>
#include <string>

namespace lovagerock::standin {

// Measures how long accepted jobs wait for their first start.
class StartWaits
{
public:
  void OnAccepted(const std::string& aJob, TimePoint aNow);
  // A task of the job has started.
  void OnStart(const std::string& aJob, TimePoint aNow);
  // The waits of the accepted jobs. Those that go on end now.
  std::map<std::string, Duration> Waits(TimePoint aNow) const;

private:
  std::map<std::string, TimePoint> mAccepted;
  // The first start of each job, which may come before its caller knows that it is accepted.
  std::map<std::string, TimePoint> mStarted;
};

} // namespace lovagerock::standin
