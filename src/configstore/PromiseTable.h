#pragma once

#include "base/Units.h"

#include <map>
#include <string>

namespace lovagerock::configstore {

// The promises that this node gave to accepting nodes and whose outcome it does not know. While one
// is open, the node must not go on without the service. All times are given by the caller.
class PromiseTable
{
public:
  // aSettleTime: an accepting node writes well within this time after the promise, so that a later
  // read of the head shows whether it did.
  explicit PromiseTable(Duration aSettleTime)
    : mSettleTime(aSettleTime)
  {
  }

  // Notes a promise for a version; the attempt is unique among all attempts of all changes.
  void Add(const std::string& aAttempt, ConfigVersion aVersion, TimePoint aNow);
  // The attempt was abandoned before the write or its write had no effect.
  void Abandon(const std::string& aAttempt);
  // This version is in force on this node.
  void SetInForce(ConfigVersion aVersion);
  // The head was read directly by a read that began at aSent.
  void NoteDirectRead(ConfigVersion aVersion, TimePoint aSent);
  // The highest open version; 0 for none.
  ConfigVersion HighestOpen() const;

private:
  struct Promise
  {
    ConfigVersion mVersion;
    TimePoint mAt;
  };

  Duration mSettleTime;
  ConfigVersion mInForce;
  std::map<std::string, Promise> mOpen;
};

} // namespace lovagerock::configstore
