#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovagerock::routing {

// The settings of a client account that request admission uses.
struct AccountPolicy
{
  AccountId mAccount;
  // Relative share of a service when several client accounts have queued requests.
  double mWeight = 1;
};

// The settings of a service that request admission and routing use.
struct ServicePolicy
{
  ServiceId mService;
  // The client accounts that may call the service.
  std::vector<AccountId> mCallers;
  // Timeout of requests without a Deadline-Ms header.
  Duration mTimeout{ 30000 };
  bool mIdempotent = true;
  // Requests that each client account may have queued for the service.
  std::size_t mQueueLimit = 1000;
};

// Looks up client accounts and services in the current configuration. Both functions are called for
// each request.
struct AccountDirectory
{
  // Finds a client account by the SHA-256 of its token, in lower-case hexadecimal.
  std::function<std::optional<AccountPolicy>(const std::string&)> mFindAccount;
  std::function<std::optional<ServicePolicy>(const ServiceId&)> mFindService;
};

} // namespace lovagerock::routing
