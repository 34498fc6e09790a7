#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "scheduler/JobSpec.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::control {

// A queue of jobs and where its callers reach it.
struct Queue
{
  std::string mName;
  std::string mHost;
  // Starts and ends with a slash.
  std::string mPathPrefix;
  // Callers need no key.
  bool mIsPublic = false;
  scheduler::QueuePolicy mPolicy;
};

// The operators' configuration as a whole.
struct Deployment
{
  ConfigVersion mVersion;
  std::vector<Queue> mQueues;
  std::map<std::string, AccountId, std::less<>> mKeys;
  std::map<AccountId, Accelerators> mGuarantees;

  // The queue with the host and the longest prefix of the path; null if there is none.
  const Queue* FindQueue(std::string_view aHost, std::string_view aPath) const;
  // The account of a key; null if the key isn't valid.
  const AccountId* FindAccount(std::string_view aKey) const;
};

} // namespace lovagerock::control
