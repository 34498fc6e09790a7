#include "scheduler/AccountUsage.h"

#include "base/LogEvent.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace lovagerock::scheduler {

namespace {

// The ratio of an account's share to its fair share from which it has each level above 0. The first
// one leaves room for single tasks that don't divide evenly.
constexpr std::array<double, kAccountLevels - 1> kLevelBounds{ 1.1, 2, 4 };
// An account keeps its level until its ratio is below this part of the level's bound, or the order
// would change with each run that starts or ends.
constexpr double kKeepLevelFactor = 0.9;
// The part of an account's measure that is its present use; the rest is the average.
constexpr double kPresentPart = 0.5;
// An account without runs and waiting steps is forgotten once its average is below this.
constexpr double kMinAverage = 0.001;
// The shortest time between two log lines about an account.
constexpr Duration kLogPeriod{ 5000 };

double
Part(std::int64_t aUsed, std::int64_t aTotal)
{
  return aTotal > 0 ? static_cast<double>(aUsed) / static_cast<double>(aTotal) : 0;
}

// Returns the largest part of any resource.
double
DominantShare(const Capacity& aUsed, const Capacity& aTotal)
{
  return std::max({ Part(aUsed.mCpu.Value(), aTotal.mCpu.Value()),
                    Part(aUsed.mMemory.Value(), aTotal.mMemory.Value()),
                    Part(aUsed.mAccelerators.Value(), aTotal.mAccelerators.Value()) });
}

// Returns the weight of the accounts without a guarantee.
double
SmallestWeight(const std::map<AccountId, Accelerators>& aGuarantees)
{
  std::int64_t smallest = 0;
  for (const auto& [account, guarantee] : aGuarantees) {
    if (guarantee.Value() > 0 && (smallest == 0 || guarantee.Value() < smallest)) {
      smallest = guarantee.Value();
    }
  }
  return smallest > 0 ? static_cast<double>(smallest) : 1;
}

int
NextLevel(int aLevel, double aRatio)
{
  int level = 0;
  for (int i = 1; i < kAccountLevels; ++i) {
    const double factor = i <= aLevel ? kKeepLevelFactor : 1;
    if (aRatio >= factor * kLevelBounds[static_cast<std::size_t>(i - 1)]) {
      level = i;
    }
  }
  return level;
}

// Whether the task occupies a worker, or may do so.
bool
HasRun(const Task& aTask)
{
  return aTask.mPhase == TaskPhase::Active || aTask.mPhase == TaskPhase::Stopping ||
         aTask.mPhase == TaskPhase::Unreported;
}

// Returns what the job's runs occupy.
Capacity
UsedBy(const Job& aJob)
{
  Capacity used;
  for (const auto& [number, occurrence] : aJob.OpenOccurrences()) {
    for (std::size_t i = 0; i < occurrence.mSteps.size(); ++i) {
      const auto& step = occurrence.mSteps[i];
      if (step.IsDone()) {
        continue;
      }
      const auto runs = std::count_if(step.mTasks.begin(), step.mTasks.end(), HasRun);
      const auto& demand = aJob.Spec(static_cast<int>(i)).mDemand;
      used += { MilliCores(runs * demand.mCpu.Value()), MemoryMiB(runs * demand.mMemory.Value()),
                Accelerators(runs * demand.mAccelerators.Value()) };
    }
  }
  return used;
}

} // namespace

void
AccountLoads::AddCapacity(const ServiceId& aService, const Capacity& aCapacity)
{
  for (const bool isUrgent : { false, true }) {
    mGroups[{ aService, isUrgent }].mCapacity += aCapacity;
  }
}

void
AccountLoads::AddRuns(const Job& aJob)
{
  const auto used = UsedBy(aJob);
  if (used == Capacity()) {
    return;
  }
  const auto group = ShareGroup::Of(aJob.Policy());
  const auto& account = aJob.Accepted().mAccount;
  mGroups[{ group.mService, false }].mAccounts[account].mUsed += used;
  if (group.mIsUrgent) {
    mGroups[group].mAccounts[account].mUsed += used;
  }
}

void
AccountLoads::AddWaiting(const Job& aJob)
{
  mGroups[ShareGroup::Of(aJob.Policy())].mAccounts[aJob.Accepted().mAccount].mWaits = true;
}

AccountUsage::AccountUsage(Duration aHalfLife)
  : mHalfLife(aHalfLife)
{
}

bool
AccountUsage::IsUpdateDue(TimePoint aNow) const
{
  return !mLastUpdate || aNow - *mLastUpdate >= kPeriod;
}

void
AccountUsage::Update(const AccountLoads& aLoads,
                     const std::map<AccountId, Accelerators>& aGuarantees, TimePoint aNow)
{
  const double smallest = SmallestWeight(aGuarantees);
  const auto weightOf = [&](const AccountId& aAccount) {
    const auto it = aGuarantees.find(aAccount);
    const auto guarantee = it == aGuarantees.end() ? 0 : it->second.Value();
    return guarantee > 0 ? static_cast<double>(guarantee) : smallest;
  };
  std::erase_if(mGroups, [&](const auto& aIt) { return !aLoads.Groups().contains(aIt.first); });
  for (const auto& [group, load] : aLoads.Groups()) {
    auto& accounts = mGroups[group];
    UpdateShares(accounts, load, aNow);
    for (auto& [id, account] : accounts) {
      account.mWeight = weightOf(id);
    }
    UpdateLevels(accounts);
    LogChanges(group, accounts, aNow);
  }
  mLastUpdate = aNow;
}

void
AccountUsage::UpdateShares(Accounts& aAccounts, const GroupLoad& aLoad, TimePoint aNow) const
{
  for (const auto& [id, load] : aLoad.mAccounts) {
    const auto [it, isNew] = aAccounts.try_emplace(id);
    if (isNew) {
      it->second.mAverage = DominantShare(load.mUsed, aLoad.mCapacity);
    }
  }
  using Seconds = std::chrono::duration<double>;
  const auto elapsed = mLastUpdate ? Seconds(aNow - *mLastUpdate) : Seconds(0);
  const double kept = std::exp2(-(elapsed / Seconds(mHalfLife)));
  for (auto& [id, account] : aAccounts) {
    const auto it = aLoad.mAccounts.find(id);
    const auto load = it == aLoad.mAccounts.end() ? AccountLoad() : it->second;
    account.mShare = DominantShare(load.mUsed, aLoad.mCapacity);
    account.mAverage = kept * account.mAverage + (1 - kept) * account.mShare;
    account.mWaits = load.mWaits;
  }
  std::erase_if(aAccounts, [](const auto& aIt) {
    return aIt.second.IsIdle() && aIt.second.mAverage < kMinAverage;
  });
}

double
AccountUsage::Account::Ratio() const
{
  const double held = kPresentPart * mShare + (1 - kPresentPart) * mAverage;
  return mFairShare > 0 ? held / mFairShare : 0;
}

double
AccountUsage::FairSharePerWeight(const Accounts& aAccounts)
{
  // The accounts that need less than their share: those without waiting steps. In ascending order
  // of what they need per weight, each is met in full or none of the rest is.
  struct Need
  {
    double mPerWeight = 0;
    double mWeight = 0;
  };
  std::vector<Need> needs;
  double weights = 0;
  for (const auto& [id, account] : aAccounts) {
    if (account.IsIdle()) {
      continue;
    }
    weights += account.mWeight;
    if (!account.mWaits) {
      needs.push_back({ account.mShare / account.mWeight, account.mWeight });
    }
  }
  std::sort(needs.begin(), needs.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mPerWeight < aRight.mPerWeight;
  });
  double left = 1;
  for (const auto& it : needs) {
    if (it.mPerWeight * weights >= left || weights <= it.mWeight) {
      break;
    }
    left -= it.mPerWeight * it.mWeight;
    weights -= it.mWeight;
  }
  return weights > 0 ? left / weights : 0;
}

void
AccountUsage::UpdateLevels(Accounts& aAccounts)
{
  const double perWeight = FairSharePerWeight(aAccounts);
  int below = 0;
  for (auto& [id, account] : aAccounts) {
    account.mFairShare = account.IsIdle() ? 0 : perWeight * account.mWeight;
    below += account.IsBelowShare() ? 1 : 0;
  }
  for (auto& [id, account] : aAccounts) {
    const int othersBelow = below - (account.IsBelowShare() ? 1 : 0);
    account.mExcess = NextLevel(account.mExcess, account.Ratio());
    account.mLevel = othersBelow > 0 ? account.mExcess : 0;
  }
}

void
AccountUsage::LogChanges(const ShareGroup& aGroup, Accounts& aAccounts, TimePoint aNow)
{
  for (auto& [id, account] : aAccounts) {
    const bool isExcess = account.mLevel > 0;
    const bool isTooSoon = account.mLogged && aNow - *account.mLogged < kLogPeriod;
    if (isExcess == account.mLoggedExcess || isTooSoon) {
      continue;
    }
    account.mLoggedExcess = isExcess;
    account.mLogged = aNow;
    LogEvent("account_share")
      .With("account", id)
      .With("service", aGroup.mService)
      .With("urgent", aGroup.mIsUrgent)
      .With("share", account.mShare)
      .With("average", account.mAverage)
      .With("fair_share", account.mFairShare)
      .With("level", account.mLevel);
  }
}

int
AccountUsage::LevelOf(const ShareGroup& aGroup, const AccountId& aAccount) const
{
  const auto group = mGroups.find(aGroup);
  if (group == mGroups.end()) {
    return 0;
  }
  const auto it = group->second.find(aAccount);
  return it == group->second.end() ? 0 : it->second.mLevel;
}

std::array<int, kAccountLevels>
AccountUsage::AccountsByLevel() const
{
  std::map<AccountId, int> levels;
  for (const auto& [group, accounts] : mGroups) {
    for (const auto& [id, account] : accounts) {
      auto& level = levels[id];
      level = std::max(level, account.mLevel);
    }
  }
  std::array<int, kAccountLevels> counts{};
  for (const auto& [id, level] : levels) {
    ++counts[static_cast<std::size_t>(level)];
  }
  return counts;
}

} // namespace lovagerock::scheduler
