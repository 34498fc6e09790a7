#include "config/DocumentFindings.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lovagerock::config {

namespace detail {
namespace {

// Returns how many of the service's slots the quota grants at once. A quota of 0 is no limit.
std::int64_t
UsableSlots(const Service& aService, const Quota& aQuota)
{
  auto slots = aService.mSlots.Value();
  if (aQuota.mSlots.Value() > 0) {
    slots = std::min(slots, aQuota.mSlots.Value());
  }
  const auto perSlot = aService.mAcceleratorsPerSlot.Value();
  if (aQuota.mAccelerators.Value() > 0 && perSlot > 0) {
    slots = std::min(slots, aQuota.mAccelerators.Value() / perSlot);
  }
  return slots;
}

void
FindInService(const Service& aService, const std::string& aPath, const Document& aDocument,
              ProblemList& aFindings)
{
  if (aService.mCallers.empty()) {
    aFindings.Add(aPath + ".callers", "no account may call the service");
  }
  const auto& owner = *aDocument.FindAccount(aService.mAccount);
  const auto usable = UsableSlots(aService, owner.mQuota);
  const auto ofAccount = "the quota of account " + Quote(owner.mName.Value());
  if (usable == 0) {
    aFindings.Add(aPath + ".slots", "no request ever runs: " + ofAccount + " grants no slot");
  } else if (usable < aService.mSlots.Value()) {
    aFindings.Add(aPath + ".slots",
                  ofAccount + " grants at most " + std::to_string(usable) + " of the slots");
  }
}

} // namespace
} // namespace detail

void
FindIneffective(const Document& aDocument, ProblemList& aFindings)
{
  for (std::size_t i = 0; i < aDocument.mServices.size(); ++i) {
    detail::FindInService(aDocument.mServices[i], "services[" + std::to_string(i) + "]", aDocument,
                          aFindings);
  }
}

} // namespace lovagerock::config
