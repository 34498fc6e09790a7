#pragma once

#include "base/Ids.h"
#include "kv/KeyValueStore.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::retention {

// The jobs whose ids begin alike, by the names of their keys in all regions. The answers must be
// listed before the live records and those before the done ones: then the record of a job that
// moves meanwhile is always among them.
class JobPage
{
public:
  JobPage() = default;
  // The own region is among the regions.
  JobPage(RegionId aRegion, const std::set<std::string>& aRegions, const std::string& aPage);

  // The prefix to be listed next, up to the next '/'; empty at the end.
  std::string NextPrefix() const;
  // Adds the names below that prefix.
  void Add(const kv::NameList& aNames);

  // The done jobs of the own region, without those that another record of the id refers to.
  std::vector<std::string> OwnDone() const;
  // The jobs that have answers but no record.
  std::vector<std::string> WithoutRecord() const;
  // Whether a record of another region has the same id; the answers of the two can't be told apart.
  bool IsElsewhere(const std::string& aJob) const { return mElsewhere.contains(aJob); }

private:
  std::string mOwnDone;
  std::vector<std::string> mPrefixes;
  std::size_t mNext = 0;
  std::set<std::string> mAnswers;
  std::set<std::string> mLive;
  std::set<std::string> mDone;
  std::set<std::string> mElsewhere;
};

} // namespace lovagerock::retention
