#pragma once

#include "base/StrongId.h"
#include "config/Account.h"
#include "config/Service.h"

#include <vector>

namespace lovagerock::config {

// A deployment's name.
using DeploymentId = StrongId<struct DeploymentTag>;

// The share of each measure in the placement score; each is in [0, 1] and one is positive.
struct Weights
{
  double mCompletionTime = 0.5;
  double mFragmentation = 0.5;

  bool operator==(const Weights&) const = default;
};

// A whole valid configuration. Accounts, services, guarantees and callers are sorted by name, so
// that two files that differ only in order give equal documents.
struct Document
{
  DeploymentId mDeployment;
  Weights mWeights;
  std::vector<Account> mAccounts;
  std::vector<Service> mServices;

  bool operator==(const Document&) const = default;

  // The account or service of that name, or null.
  const Account* FindAccount(const AccountId& aName) const;
  const Service* FindService(const ServiceId& aName) const;
};

} // namespace lovagerock::config
