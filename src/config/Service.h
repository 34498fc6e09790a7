#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <vector>

namespace lovagerock::config {

// A number of requests that may wait.
using QueueLimit = StrongCount<struct QueueLimitTag>;

// A service that requests are routed to.
struct Service
{
  ServiceId mName;
  // The account whose quota and guarantees the service's slots use.
  AccountId mAccount;
  // The accounts that may call the service.
  std::vector<AccountId> mCallers;
  Slots mSlots;
  Accelerators mAcceleratorsPerSlot;
  // Whether requests may run more than once, unless a request says otherwise.
  bool mIdempotent = false;
  // The deadline of a request that names none.
  Duration mTimeout{ 0 };
  // The most requests of one calling account that may wait.
  QueueLimit mQueueLimit;

  bool operator==(const Service&) const = default;
};

} // namespace lovagerock::config
