#include "retention/JobPage.h"

#include <algorithm>
#include <iterator>

namespace lovagerock::retention {

JobPage::JobPage(RegionId aRegion, const std::set<std::string>& aRegions, const std::string& aPage)
  : mLocalDonePrefix("done/" + aRegion.Value() + "/")
  , mPrefixes{ "answers/" + aPage }
{
  for (const auto* kind : { "jobs/", "done/" }) {
    for (const auto& it : aRegions) {
      mPrefixes.push_back(std::string(kind).append(it).append("/").append(aPage));
    }
  }
}

std::string
JobPage::NextPrefix() const
{
  return mNext == mPrefixes.size() ? std::string() : mPrefixes[mNext];
}

void
JobPage::Add(const kv::NameList& aNames)
{
  const auto& prefix = mPrefixes.at(mNext++);
  const bool isAnswers = prefix.starts_with("answers/");
  const bool isLocalDone = prefix.starts_with(mLocalDonePrefix);
  const bool isLocalLive =
    prefix.starts_with("jobs/" + mLocalDonePrefix.substr(mLocalDonePrefix.find('/') + 1));
  for (const auto& it : aNames.mNames) {
    const bool isDirectory = it.ends_with('/');
    const auto end = it.size() - (isDirectory ? 1 : 0);
    const auto begin = it.rfind('/', end - 1) + 1;
    // Records are keys themselves; answer pieces are keys below the job's id, which is therefore
    // listed with a '/' at its end.
    if (isDirectory == isAnswers) {
      auto& jobs = isAnswers     ? mAnswers
                   : isLocalDone ? mDone
                   : isLocalLive ? mLive
                                 : mInOtherRegions;
      jobs.insert(it.substr(begin, end - begin));
    }
  }
}

std::vector<std::string>
JobPage::LocalDoneJobs() const
{
  std::vector<std::string> jobs;
  std::set_difference(mDone.begin(), mDone.end(), mLive.begin(), mLive.end(),
                      std::back_inserter(jobs));
  return jobs;
}

std::vector<std::string>
JobPage::OrphanedJobs() const
{
  std::vector<std::string> jobs;
  std::copy_if(mAnswers.begin(), mAnswers.end(), std::back_inserter(jobs),
               [this](const std::string& aJob) {
                 return !mLive.contains(aJob) && !mDone.contains(aJob) && !IsInOtherRegion(aJob);
               });
  return jobs;
}

} // namespace lovagerock::retention
