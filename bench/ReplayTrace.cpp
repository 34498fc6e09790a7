#include "bench/ReplayTrace.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lovagerock::placement::replay {

namespace detail {
namespace {

Duration
Seconds(std::istream& aText)
{
  double seconds = 0;
  aText >> seconds;
  return Duration(static_cast<std::int64_t>(seconds * 1000));
}

Adjacency
ReadAdjacency(std::istream& aText)
{
  static const std::map<std::string, Adjacency> kLevels{ { "worker", Adjacency::Worker },
                                                         { "rack", Adjacency::Rack },
                                                         { "zone", Adjacency::Zone },
                                                         { "region", Adjacency::Region } };
  std::string level;
  aText >> level;
  const auto it = kLevels.find(level);
  if (it == kLevels.end()) {
    throw std::runtime_error("unknown adjacency " + level);
  }
  return it->second;
}

void
ReadCluster(std::istream& aText, ReplayTrace& aTrace)
{
  int workers = 0;
  int accelerators = 0;
  int perRack = 1;
  int zones = 1;
  int cores = 0;
  std::int64_t memory = 0;
  aText >> workers >> accelerators >> perRack >> zones >> cores >> memory;
  if (!aText || workers < 1 || perRack < 1 || zones < 1) {
    throw std::runtime_error("bad cluster");
  }
  const int racks = (workers + perRack - 1) / perRack;
  for (int i = 0; i < workers; ++i) {
    const int rack = i / perRack;
    aTrace.mWorkers.push_back(
      { WorkerId("worker-" + std::to_string(i)),
        RegionId("region"),
        ZoneId("zone-" + std::to_string(rack * zones / racks)),
        RackId("rack-" + std::to_string(rack)),
        { Slots(8), Accelerators(accelerators), Cores(cores), MemoryMiB(memory) },
        WorkerHealth::Live,
        {} });
  }
}

AccountView&
AccountOf(ReplayTrace& aTrace, const std::string& aName)
{
  const auto it = std::ranges::find(aTrace.mAccounts, AccountId(aName), &AccountView::mAccount);
  if (it == aTrace.mAccounts.end()) {
    throw std::runtime_error("unknown account " + aName);
  }
  return *it;
}

void
ReadGuarantee(std::istream& aText, ReplayTrace& aTrace)
{
  std::string account;
  Guarantee guarantee;
  int accelerators = 0;
  aText >> account >> guarantee.mName >> guarantee.mCount >> guarantee.mWorkers >> accelerators;
  guarantee.mAcceleratorsPerWorker = Accelerators(accelerators);
  guarantee.mAdjacency = ReadAdjacency(aText);
  if (std::string zone; aText >> zone) {
    guarantee.mZone = ZoneId(zone);
  }
  aText.clear();
  AccountOf(aTrace, account).mGuarantees.push_back(std::move(guarantee));
}

void
ReadJob(std::istream& aText, ReplayTrace& aTrace)
{
  std::string name;
  std::string account;
  std::string kind;
  int accelerators = 0;
  ReplayJob job;
  aText >> name;
  job.mPending.mSubmitted = TimePoint(Seconds(aText));
  aText >> account >> job.mPending.mTasks >> accelerators;
  job.mPending.mAdjacency = ReadAdjacency(aText);
  job.mPending.mEstimate = Seconds(aText);
  job.mRun = Seconds(aText);
  aText >> kind;
  job.mCheckpoint = Seconds(aText);
  if (!aText || (kind != "idempotent" && kind != "once")) {
    throw std::runtime_error("bad job");
  }
  job.mPending.mIdempotent = kind == "idempotent";
  std::string urgent;
  job.mPending.mUrgent = static_cast<bool>(aText >> urgent);
  aText.clear();
  job.mPending.mJob = JobId(name);
  job.mPending.mAccount = AccountOf(aTrace, account).mAccount;
  job.mPending.mResourcesPerTask = { Slots(1), Accelerators(accelerators), Cores(1),
                                     MemoryMiB(1000) };
  aTrace.mJobs.push_back(std::move(job));
}

void
ReadCancel(std::istream& aText, ReplayTrace& aTrace)
{
  std::string name;
  aText >> name;
  const auto it = std::ranges::find(aTrace.mJobs, JobId(name),
                                    [](const ReplayJob& aJob) { return aJob.mPending.mJob; });
  if (it == aTrace.mJobs.end()) {
    throw std::runtime_error("unknown job " + name);
  }
  it->mCancelledAt = TimePoint(Seconds(aText));
  if (*it->mCancelledAt < it->mPending.mSubmitted) {
    throw std::runtime_error("cancelled before its submission");
  }
}

void
ReadLine(std::istream& aText, ReplayTrace& aTrace)
{
  std::string word;
  aText >> word;
  if (word == "trace") {
    aText >> aTrace.mName;
  } else if (word == "weights") {
    aText >> aTrace.mWeights.mCompletionTime >> aTrace.mWeights.mFragmentation;
  } else if (word == "cluster") {
    ReadCluster(aText, aTrace);
  } else if (word == "account") {
    AccountView account;
    std::string name;
    aText >> name >> account.mWeight;
    account.mAccount = AccountId(name);
    aTrace.mAccounts.push_back(std::move(account));
  } else if (word == "guarantee") {
    ReadGuarantee(aText, aTrace);
  } else if (word == "job") {
    ReadJob(aText, aTrace);
  } else if (word == "cancel") {
    ReadCancel(aText, aTrace);
  } else if (word == "fault") {
    ReplayFault fault;
    aText >> fault.mWorker;
    fault.mAt = TimePoint(Seconds(aText));
    fault.mFor = Seconds(aText);
    if (fault.mWorker >= aTrace.mWorkers.size()) {
      throw std::runtime_error("unknown worker");
    }
    aTrace.mFaults.push_back(fault);
  } else {
    throw std::runtime_error("unknown line " + word);
  }
  if (!aText) {
    throw std::runtime_error("missing column");
  }
}

} // namespace
} // namespace detail

ReplayTrace
ReadReplayTrace(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error(aPath + ": can't be opened");
  }
  ReplayTrace trace;
  int number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    if (line.empty() || line.front() == '#') {
      continue;
    }
    std::istringstream text(line);
    try {
      detail::ReadLine(text, trace);
    } catch (const std::exception& it) {
      throw std::runtime_error(aPath + ":" + std::to_string(number) + ": " + it.what());
    }
  }
  return trace;
}

} // namespace lovagerock::placement::replay
