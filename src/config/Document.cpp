#include "config/Document.h"

#include <algorithm>

namespace lovagerock::config {

namespace detail {
namespace {

template<typename Entry, typename Id>
const Entry*
Find(const std::vector<Entry>& aEntries, const Id& aName)
{
  const auto it = std::find_if(aEntries.begin(), aEntries.end(),
                               [&aName](const Entry& aEntry) { return aEntry.mName == aName; });
  return it == aEntries.end() ? nullptr : &*it;
}

} // namespace
} // namespace detail

const Account*
Document::FindAccount(const AccountId& aName) const
{
  return detail::Find(mAccounts, aName);
}

const Service*
Document::FindService(const ServiceId& aName) const
{
  return detail::Find(mServices, aName);
}

} // namespace lovagerock::config
