#pragma once

#include "kv/KeyValueStore.h"
#include "retention/PassMap.h"

#include <cstdint>
#include <string>

namespace lovagerock::retention {

// Remembers since when keys without a stored time have had their present version. One pass asks for
// each such key; keys that a whole pass doesn't ask for are forgotten.
class FirstSeen
{
public:
  // The time, in milliseconds since 1970, at which the key's version was first asked for.
  std::int64_t Since(const std::string& aKey, kv::ModifyIndex aIndex, std::int64_t aNow);
  void EndPass(bool aComplete) { mSightings.EndPass(aComplete); }

private:
  struct Sighting
  {
    kv::ModifyIndex mIndex = 0;
    std::int64_t mSince = 0;
  };

  PassMap<Sighting> mSightings;
};

} // namespace lovagerock::retention
