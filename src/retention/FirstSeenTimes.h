#pragma once

#include "kv/KeyValueStore.h"
#include "retention/PassMap.h"

#include <cstdint>
#include <string>

namespace lovagerock::retention {

// Stores when the sweeper first saw the current version of each key whose value has no time. Each
// pass calls Since() for every such key; keys without a call in a complete pass are removed.
class FirstSeenTimes
{
public:
  // Returns the time, in milliseconds since 1970, of the first call with this version of the key:
  // aNow if this is the first one.
  std::int64_t Since(const std::string& aKey, kv::ModifyIndex aIndex, std::int64_t aNow);
  void EndPass(bool aComplete) { mObservations.EndPass(aComplete); }

private:
  struct Observation
  {
    kv::ModifyIndex mIndex = 0;
    std::int64_t mSince = 0;
  };

  PassMap<Observation> mObservations;
};

} // namespace lovagerock::retention
