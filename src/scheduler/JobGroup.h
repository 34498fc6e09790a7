#pragma once

#include "base/Ids.h"
#include "scheduler/JobSpec.h"

#include <compare>
#include <string>

namespace lovagerock::scheduler {

// Jobs that share one part of what is limited for all jobs together, as memory or the time of a
// plan: those of an account, or of a queue whose callers need no API key. Urgent ones, of priority
// 0, have a part of their own, so that an account that uses up its other part still gets its
// guarantee.
struct JobGroup
{
  AccountId mAccount;
  // Empty if there is an account.
  std::string mQueue;
  bool mIsUrgent = false;

  static JobGroup
  Of(const AccountId& aAccount, const std::string& aQueue, const QueuePolicy& aPolicy)
  {
    return { aAccount, aAccount.IsEmpty() ? aQueue : std::string(), aPolicy.mPriority == 0 };
  }
  auto operator<=>(const JobGroup&) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace lovagerock::scheduler
