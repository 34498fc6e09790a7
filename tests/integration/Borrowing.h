#pragma once

#include "base/Json.h"

#include <string>

namespace lovagerock::integration {

// The token of the account "guest" of OwnerAndGuest().
inline constexpr const char* kGuestToken = "token-guest";
// Accelerators of each worker of a LocalSystem.
inline constexpr int kAccelerators = 8;
// Tasks of the guest's gang, and of the owner's. Together they need more than the 72 accelerators
// of a system of the default shape.
inline constexpr int kBorrowed = 16;
inline constexpr int kOwned = 64;

// A configuration in which all accelerators are guaranteed to the account "tester"; the account
// "guest" can only borrow.
std::string
OwnerAndGuest();

// The body of an idempotent gang with one accelerator a task.
Json
GangOf(int aTasks, bool aUrgent, const Json& aPayload);

} // namespace lovagerock::integration
