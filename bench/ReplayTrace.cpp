#include "bench/ReplayTrace.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lovagerock::placement::replay {

namespace detail {
namespace {

Duration
ReadSeconds(std::istream& aText)
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
    throw std::runtime_error("invalid cluster line: needs 6 numbers, and workers, workers per rack "
                             "and zones of at least 1");
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
  job.mPending.mSubmitted = TimePoint(ReadSeconds(aText));
  aText >> account >> job.mPending.mTasks >> accelerators;
  job.mPending.mAdjacency = ReadAdjacency(aText);
  job.mPending.mEstimate = ReadSeconds(aText);
  job.mRunTime = ReadSeconds(aText);
  aText >> kind;
  job.mCheckpointPeriod = ReadSeconds(aText);
  if (!aText || (kind != "idempotent" && kind != "once")) {
    throw std::runtime_error("invalid job line: a column is missing or invalid, or the kind is "
                             "neither idempotent nor once");
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
  it->mCancelledAt = TimePoint(ReadSeconds(aText));
  if (*it->mCancelledAt < it->mPending.mSubmitted) {
    throw std::runtime_error("the job is cancelled before its submission");
  }
}

void
ReadLine(std::istream& aText, ReplayTrace& aTrace)
{
  std::string keyword;
  aText >> keyword;
  if (keyword == "trace") {
    aText >> aTrace.mName;
  } else if (keyword == "weights") {
    aText >> aTrace.mWeights.mCompletionTime >> aTrace.mWeights.mFragmentation;
  } else if (keyword == "cluster") {
    ReadCluster(aText, aTrace);
  } else if (keyword == "account") {
    AccountView account;
    std::string name;
    aText >> name >> account.mWeight;
    account.mAccount = AccountId(name);
    aTrace.mAccounts.push_back(std::move(account));
  } else if (keyword == "guarantee") {
    ReadGuarantee(aText, aTrace);
  } else if (keyword == "job") {
    ReadJob(aText, aTrace);
  } else if (keyword == "cancel") {
    ReadCancel(aText, aTrace);
  } else if (keyword == "fault") {
    ReplayFault fault;
    aText >> fault.mWorker;
    fault.mAt = TimePoint(ReadSeconds(aText));
    fault.mDuration = ReadSeconds(aText);
    if (fault.mWorker >= aTrace.mWorkers.size()) {
      throw std::runtime_error("the fault names an unknown worker");
    }
    aTrace.mFaults.push_back(fault);
  } else {
    throw std::runtime_error("unknown keyword " + keyword);
  }
  if (!aText) {
    throw std::runtime_error("a column is missing or invalid");
  }
}

} // namespace
} // namespace detail

ReplayTrace
ReadReplayTrace(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error(aPath + ": cannot open the trace file");
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
