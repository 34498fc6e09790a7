#include "config/DocumentChecks.h"

#include <cstddef>
#include <map>
#include <string>

namespace lovagerock::config {

namespace detail {
namespace {

std::string
Item(const std::string& aList, std::size_t aIndex)
{
  return aList + "[" + std::to_string(aIndex) + "]";
}

// Reports a value that was seen before and remembers a new one.
class UniqueCheck
{
public:
  explicit UniqueCheck(ProblemList& aProblems)
    : mProblems(aProblems)
  {
  }

  void Add(const std::string& aValue, const std::string& aPath, const std::string& aMessage)
  {
    if (aValue.empty()) {
      return;
    }
    const auto [it, isNew] = mSeen.emplace(aValue, aPath);
    if (!isNew) {
      mProblems.Add(aPath, aMessage + it->second);
    }
  }

private:
  ProblemList& mProblems;
  std::map<std::string, std::string> mSeen;
};

void
CheckGuarantees(const Account& aAccount, const std::string& aPath, ProblemList& aProblems)
{
  UniqueCheck names(aProblems);
  Accelerators total;
  for (std::size_t i = 0; i < aAccount.mGuarantees.size(); ++i) {
    const auto& guarantee = aAccount.mGuarantees[i];
    const auto path = Item(aPath + ".guarantees", i);
    names.Add(guarantee.mName.Value(), path + ".name",
              "the account has a guarantee of this name at ");
    if (guarantee.mAdjacency == Adjacency::Worker && guarantee.mWorkers.Value() > 1) {
      aProblems.Add(path + ".workers", "must be 1 with adjacency worker");
    }
    total += guarantee.Total();
  }
  if (total.Value() > aAccount.mQuota.mAccelerators.Value()) {
    aProblems.Add(aPath + ".guarantees", "the guarantees need " + std::to_string(total.Value()) +
                                           " accelerators, above the account's quota of " +
                                           std::to_string(aAccount.mQuota.mAccelerators.Value()));
  }
}

void
CheckAccounts(const Document& aDocument, ProblemList& aProblems)
{
  UniqueCheck names(aProblems);
  UniqueCheck tokens(aProblems);
  for (std::size_t i = 0; i < aDocument.mAccounts.size(); ++i) {
    const auto& account = aDocument.mAccounts[i];
    const auto path = Item("accounts", i);
    names.Add(account.mName.Value(), path + ".name", "an account has this name at ");
    tokens.Add(account.mTokenHash.Value(), path + ".token_sha256",
               "another account has the same token at ");
    CheckGuarantees(account, path, aProblems);
  }
}

void
CheckReference(const Document& aDocument, const AccountId& aName, const std::string& aPath,
               ProblemList& aProblems)
{
  if (!aName.IsEmpty() && !aDocument.FindAccount(aName)) {
    aProblems.Add(aPath, "there is no account " + Quote(aName.Value()));
  }
}

void
CheckServices(const Document& aDocument, ProblemList& aProblems)
{
  UniqueCheck names(aProblems);
  for (std::size_t i = 0; i < aDocument.mServices.size(); ++i) {
    const auto& service = aDocument.mServices[i];
    const auto path = Item("services", i);
    names.Add(service.mName.Value(), path + ".name", "a service has this name at ");
    CheckReference(aDocument, service.mAccount, path + ".account", aProblems);
    UniqueCheck callers(aProblems);
    for (std::size_t k = 0; k < service.mCallers.size(); ++k) {
      const auto callerPath = Item(path + ".callers", k);
      callers.Add(service.mCallers[k].Value(), callerPath, "the caller is listed at ");
      CheckReference(aDocument, service.mCallers[k], callerPath, aProblems);
    }
  }
}

} // namespace
} // namespace detail

void
CheckDocument(const Document& aDocument, ProblemList& aProblems)
{
  const auto& weights = aDocument.mWeights;
  if (weights.mCompletionTime + weights.mFragmentation <= 0) {
    aProblems.Add("weights", "at least one weight must be above 0");
  }
  detail::CheckAccounts(aDocument, aProblems);
  detail::CheckServices(aDocument, aProblems);
}

} // namespace lovagerock::config
