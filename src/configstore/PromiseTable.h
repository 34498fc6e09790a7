#pragma once

#include "base/Units.h"

#include <map>
#include <string>

namespace lovagerock::configstore {

// The open promises of this node: those that it gave to nodes that accept a change and whose
// outcome it does not know. While one is open, the node must not accept work without the key-value
// service. All times are given by the caller.
class PromiseTable
{
public:
  // aSettleTime is the time after which a promise is settled: the accepting node writes well within
  // this time after the promise, so that a later read of the head shows whether it did.
  explicit PromiseTable(Duration aSettleTime)
    : mSettleTime(aSettleTime)
  {
  }

  // Adds a promise for a version; aAttempt must be unique among all attempts of all changes.
  void Add(const std::string& aAttempt, ConfigVersion aVersion, TimePoint aNow);
  // Removes the promise of an attempt that was abandoned before its write or whose write had no
  // effect.
  void Abandon(const std::string& aAttempt);
  // Sets the version in force and removes the promises up to it.
  void SetInForce(ConfigVersion aVersion);
  // Removes the promises above aVersion that were given at least the settle time before aSent.
  // aVersion is the version that a direct read of the head showed; the read began at aSent.
  void NoteDirectRead(ConfigVersion aVersion, TimePoint aSent);
  // Returns the highest version with an open promise; 0 for none.
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
