#pragma once

#include "base/Ids.h"
#include "kv/KeyValueStore.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::retention {

// The jobs whose ids begin with one prefix, collected from listings of key names: answers first,
// then the live records (jobs/) and the done records (done/) of all regions. In this order, the
// record of a job that moves from live to done between two listings is always in one of them, and
// the job is not mistaken for one without a record.
class JobPage
{
public:
  JobPage() = default;
  // aRegions includes aRegion, the region of this node.
  JobPage(RegionId aRegion, const std::set<std::string>& aRegions, const std::string& aPage);

  // Returns the prefix whose names are to be listed next, cut after the next '/'; empty at the end.
  std::string NextPrefix() const;
  // Adds the names listed below NextPrefix().
  void Add(const kv::NameList& aNames);

  // Returns the jobs that have a done record but no live record in this region.
  std::vector<std::string> LocalDoneJobs() const;
  // Returns the jobs that have answers but no record in any region.
  std::vector<std::string> OrphanedJobs() const;
  // Whether another region has a record with the same job id. Answer keys don't contain the region,
  // so that the answers of the two jobs cannot be told apart.
  bool IsInOtherRegion(const std::string& aJob) const { return mInOtherRegions.contains(aJob); }

private:
  std::string mLocalDonePrefix;
  std::vector<std::string> mPrefixes;
  std::size_t mNext = 0;
  std::set<std::string> mAnswers;
  std::set<std::string> mLive;
  std::set<std::string> mDone;
  std::set<std::string> mInOtherRegions;
};

} // namespace lovagerock::retention
