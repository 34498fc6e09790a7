#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "config/Guarantee.h"

#include <string>
#include <vector>

namespace lovagerock::config {

// The SHA-256 digest of an account's bearer token, in lower-case hexadecimal.
using TokenHash = StrongId<struct TokenHashTag>;
// An account's weight in the fair share; twice the weight gets twice the share.
using ShareWeight = StrongCount<struct ShareWeightTag>;

// The most that an account may use at once, guaranteed and borrowed together.
struct Quota
{
  Accelerators mAccelerators;
  Slots mSlots;

  bool operator==(const Quota&) const = default;
};

// A client account.
struct Account
{
  AccountId mName;
  TokenHash mTokenHash;
  ShareWeight mWeight;
  Quota mQuota;
  std::vector<Guarantee> mGuarantees;

  bool operator==(const Account&) const = default;
};

} // namespace lovagerock::config
