#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovagerock::routing {

// What the request path knows of a client account.
struct AccountPolicy
{
  AccountId mAccount;
  double mWeight = 1;
};

// What the request path knows of a service.
struct ServicePolicy
{
  ServiceId mService;
  std::vector<AccountId> mCallers;
  Duration mTimeout{ 30000 };
  bool mIdempotent = true;
  std::size_t mQueueLimit = 1000;
};

// The accounts and services of the configuration in force. Both functions are called for each
// request.
struct AccountDirectory
{
  // Finds an account by the SHA-256 of its token, in lower-case hexadecimal.
  std::function<std::optional<AccountPolicy>(const std::string&)> mFindAccount;
  std::function<std::optional<ServicePolicy>(const ServiceId&)> mFindService;
};

} // namespace lovagerock::routing
