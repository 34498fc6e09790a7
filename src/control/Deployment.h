#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "scheduler/JobSpec.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::control {

// A job queue, and the host and path prefix under which callers reach it.
struct Queue
{
  std::string mName;
  std::string mHost;
  // Starts and ends with a slash.
  std::string mPathPrefix;
  // Whether callers need no API key.
  bool mIsPublic = false;
  scheduler::QueuePolicy mPolicy;
};

// The operators' configuration: queues, API keys and guarantees.
struct Deployment
{
  ConfigVersion mVersion;
  std::vector<Queue> mQueues;
  // Client accounts by API key.
  std::map<std::string, AccountId, std::less<>> mKeys;
  std::map<AccountId, Accelerators> mGuarantees;

  // Returns the queue of the host whose prefix is the longest match for the path; null if none
  // matches. Ignores a port in the host.
  const Queue* FindQueue(std::string_view aHost, std::string_view aPath) const;
  // Returns the client account of an API key; null if the key isn't valid.
  const AccountId* FindAccount(std::string_view aKey) const;
};

} // namespace lovagerock::control
