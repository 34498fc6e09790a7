#pragma once

#include "base/Ids.h"
#include "scheduler/Job.h"

#include <array>
#include <compare>
#include <cstddef>
#include <map>
#include <optional>

namespace lovagerock::scheduler {

// The number of levels that AccountUsage gives.
constexpr int kAccountLevels = 4;

// Work that competes for the same capacity. Jobs of priority 0 may have others evicted, so they
// compete only with each other; all other jobs compete with all jobs of their service.
struct ShareGroup
{
  ServiceId mService;
  bool mIsUrgent = false;

  auto operator<=>(const ShareGroup&) const = default; // NOLINT(modernize-use-nullptr)

  static ShareGroup Of(const QueuePolicy& aPolicy)
  {
    return { aPolicy.mService, aPolicy.mPriority == 0 };
  }
};

// What an account holds of a group's capacity.
struct AccountLoad
{
  Capacity mUsed;
  // Whether steps of the account wait for workers.
  bool mWaits = false;
};

// The capacity for which a group competes, and the accounts with runs or waiting steps.
struct GroupLoad
{
  Capacity mCapacity;
  std::map<AccountId, AccountLoad> mAccounts;
};

// The load of all services at one time.
class AccountLoads
{
public:
  // Adds a worker on which runs may be started.
  void AddCapacity(const ServiceId& aService, const Capacity& aCapacity);
  // Adds what the job's runs occupy.
  void AddRuns(const Job& aJob);
  // A step of the job waits for workers.
  void AddWaiting(const Job& aJob);

  const std::map<ShareGroup, GroupLoad>& Groups() const { return mGroups; }

private:
  std::map<ShareGroup, GroupLoad> mGroups;
};

// Compares what each account holds with its fair share, so that the cost of an account's burst
// falls on that account. Gives an account a level: 0 within its share, then more for each clear
// excess. The level only changes the order of waiting steps; no capacity is withheld.
//
// An account holds a part of a service: of its accelerators, processor cores or memory, whichever
// is largest, and half as it is now, half as the decayed average of the last seconds. A burst thus
// counts at once, and a short one soon loses its weight. The fair share is relative to the
// account's guarantee. What accounts without waiting steps leave of their shares goes to the
// others.
//
// Keeps no state that has to be stored: the average of an account that is seen for the first time
// begins with its present use.
class AccountUsage
{
public:
  // The time between two updates.
  static constexpr Duration kPeriod{ 50 };

  // The average's weight of a use halves in aHalfLife.
  explicit AccountUsage(Duration aHalfLife);

  // Whether kPeriod has passed since the last update.
  bool IsUpdateDue(TimePoint aNow) const;
  void Update(const AccountLoads& aLoads, const std::map<AccountId, Accelerators>& aGuarantees,
              TimePoint aNow);
  // Returns the account's level, less than kAccountLevels.
  int LevelOf(const ShareGroup& aGroup, const AccountId& aAccount) const;
  // Returns the number of known accounts by their highest level.
  std::array<int, kAccountLevels> AccountsByLevel() const;

private:
  struct Account
  {
    // The part of the capacity that the account holds, and its decayed average.
    double mShare = 0;
    double mAverage = 0;
    // The part that is fair; 0 if the account has neither runs nor waiting steps.
    double mFairShare = 0;
    double mWeight = 0;
    bool mWaits = false;
    // The level by the ratio alone, and the one that counts beside the other accounts.
    int mExcess = 0;
    int mLevel = 0;
    // What was last logged, and when.
    bool mLoggedExcess = false;
    std::optional<TimePoint> mLogged;

    // Whether the account has neither runs nor waiting steps.
    bool IsIdle() const { return mShare <= 0 && !mWaits; }
    bool IsBelowShare() const { return mWaits && mShare < mFairShare; }
    // Returns what the account counts as holding, relative to its fair share.
    double Ratio() const;
  };
  using Accounts = std::map<AccountId, Account>;

  // Enters the present loads.
  void UpdateShares(Accounts& aAccounts, const GroupLoad& aLoad, TimePoint aNow) const;
  // Returns the fair share of an account of weight 1: the part up to which each account may fill
  // its demand so that the whole capacity is given out.
  static double FairSharePerWeight(const Accounts& aAccounts);
  // Sets the levels. Only accounts beside which others wait below their share get one above 0.
  static void UpdateLevels(Accounts& aAccounts);
  // Logs the accounts that have entered or left excess, each once per kLogPeriod.
  static void LogChanges(const ShareGroup& aGroup, Accounts& aAccounts, TimePoint aNow);

  Duration mHalfLife;
  std::optional<TimePoint> mLastUpdate;
  std::map<ShareGroup, Accounts> mGroups;
};

} // namespace lovagerock::scheduler
