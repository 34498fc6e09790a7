#pragma once

#include "standin/platform/JobTable.h"

#include <vector>

namespace lovagerock::standin {

// What is free on the workers that take new tasks.
class FreeRoom
{
public:
  void Add(const Capacity& aFree) { mWorkers.push_back(aFree); }
  // Whether this many tasks of the demand fit, each of them on one worker. Racks don't matter.
  bool Fits(int aTasks, const Capacity& aDemand) const
  {
    for (auto it = mWorkers.begin(); aTasks > 0 && it != mWorkers.end(); ++it) {
      aTasks -= aDemand.CopiesIn(*it, aTasks);
    }
    return aTasks <= 0;
  }

private:
  std::vector<Capacity> mWorkers;
};

} // namespace lovagerock::standin
