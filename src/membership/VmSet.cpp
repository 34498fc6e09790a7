#include "membership/VmSet.h"

#include "base/Hash.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace lovagerock::membership {

namespace detail {
namespace {

bool
IsBefore(const Vm& aLeft, const Vm& aRight)
{
  return std::tie(aLeft.mAddress, aLeft.mRole) < std::tie(aRight.mAddress, aRight.mRole);
}

bool
HasSameKey(const Vm& aLeft, const Vm& aRight)
{
  return aLeft.mAddress == aRight.mAddress && aLeft.mRole == aRight.mRole;
}

std::uint64_t
HashVm(const Vm& aVm)
{
  std::string text = aVm.mAddress.ToString();
  text += aVm.mRole == Vm::Role::Entry ? "\nentry\n" : "\nworker\n";
  text += aVm.mLeaving ? "leaving\n" : "live\n";
  text += aVm.mZone.Value() + '\n' + aVm.mRegion.Value() + '\n' + aVm.mName;
  return HashText(text);
}

} // namespace
} // namespace detail

VmSet::VmSet(std::vector<Vm> aVms)
  : mVms(std::move(aVms))
{
  std::reverse(mVms.begin(), mVms.end());
  std::stable_sort(mVms.begin(), mVms.end(), detail::IsBefore);
  mVms.erase(std::unique(mVms.begin(), mVms.end(), detail::HasSameKey), mVms.end());
  // Starts at 1, so that an empty list differs from a default-constructed VmSet, which stands for
  // no list yet.
  mHash = 1;
  for (const auto& it : mVms) {
    mHash += detail::HashVm(it);
  }
}

VmDifference
VmSet::DifferenceSince(const VmSet& aBefore) const
{
  VmDifference difference;
  for (const auto& it : mVms) {
    const auto* old = aBefore.Find(it);
    if (old == nullptr || *old != it) {
      difference.mChanged.push_back(it);
    }
  }
  for (const auto& it : aBefore.mVms) {
    if (Find(it) == nullptr) {
      difference.mRemoved.push_back(it);
    }
  }
  return difference;
}

VmSet
VmSet::With(const VmDifference& aDifference) const
{
  const VmSet removed(aDifference.mRemoved);
  std::vector<Vm> vms;
  vms.reserve(mVms.size() + aDifference.mChanged.size());
  for (const auto& it : mVms) {
    if (removed.Find(it) == nullptr) {
      vms.push_back(it);
    }
  }
  vms.insert(vms.end(), aDifference.mChanged.begin(), aDifference.mChanged.end());
  return VmSet(std::move(vms));
}

const Vm*
VmSet::Find(const Vm& aKey) const
{
  const auto it = std::lower_bound(mVms.begin(), mVms.end(), aKey, detail::IsBefore);
  return it != mVms.end() && detail::HasSameKey(*it, aKey) ? &*it : nullptr;
}

} // namespace lovagerock::membership
