#pragma once

#include "membership/Vm.h"

#include <cstdint>
#include <vector>

namespace lovagerock::membership {

// The changes that turn one content of the VM list into another.
struct VmDifference
{
  // New entries, and those whose fields changed.
  std::vector<Vm> mChanged;
  // Removed entries, which are identified by address and role; their other fields are ignored.
  std::vector<Vm> mRemoved;

  bool IsEmpty() const { return mChanged.empty() && mRemoved.empty(); }
};

// The content of the VM list, ordered by address and role, so that two reads of the same content
// are equal in whatever order the service lists the entries.
class VmSet
{
public:
  VmSet() = default;
  // Keeps the last of several entries with the same address and role.
  explicit VmSet(std::vector<Vm> aVms);

  const std::vector<Vm>& Vms() const { return mVms; }
  // A hash of the content, the same on every node.
  std::uint64_t Hash() const { return mHash; }

  // Returns the changes from an earlier content to this one.
  VmDifference DifferenceSince(const VmSet& aBefore) const;
  // Returns this content with a difference applied.
  VmSet With(const VmDifference& aDifference) const;

private:
  const Vm* Find(const Vm& aKey) const;

  std::vector<Vm> mVms;
  std::uint64_t mHash = 0;
};

} // namespace lovagerock::membership
