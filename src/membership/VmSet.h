#pragma once

#include "membership/Vm.h"

#include <cstdint>
#include <vector>

namespace lovagerock::membership {

// What makes one content of the VM list out of another.
struct VmDifference
{
  // New entries, and those whose fields changed.
  std::vector<Vm> mChanged;
  // Entries that are gone; only address and role count.
  std::vector<Vm> mRemoved;

  bool IsEmpty() const { return mChanged.empty() && mRemoved.empty(); }
};

// The content of the VM list, ordered by address and role, so that two reads of the same content
// are equal whatever the order of the service.
class VmSet
{
public:
  VmSet() = default;
  // Of two entries with the same address and role the later one counts.
  explicit VmSet(std::vector<Vm> aVms);

  const std::vector<Vm>& Vms() const { return mVms; }
  // Equal for equal contents on every node.
  std::uint64_t Hash() const { return mHash; }

  // What has changed since an earlier content.
  VmDifference Since(const VmSet& aBefore) const;
  // This content with a difference applied.
  VmSet With(const VmDifference& aDifference) const;

private:
  const Vm* Find(const Vm& aKey) const;

  std::vector<Vm> mVms;
  std::uint64_t mHash = 0;
};

} // namespace lovagerock::membership
