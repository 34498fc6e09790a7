#include "configstore/PromiseTable.h"

#include <algorithm>

namespace lovagerock::configstore {

void
PromiseTable::Add(const std::string& aAttempt, ConfigVersion aVersion, TimePoint aNow)
{
  if (aVersion > mInForce) {
    mOpen[aAttempt] = { aVersion, aNow };
  }
}

void
PromiseTable::Abandon(const std::string& aAttempt)
{
  mOpen.erase(aAttempt);
}

void
PromiseTable::SetInForce(ConfigVersion aVersion)
{
  mInForce = std::max(mInForce, aVersion);
  std::erase_if(mOpen, [this](const auto& aEntry) { return aEntry.second.mVersion <= mInForce; });
}

void
PromiseTable::NoteDirectRead(ConfigVersion aVersion, TimePoint aSent)
{
  std::erase_if(mOpen, [&](const auto& aEntry) {
    return aEntry.second.mVersion > aVersion && aSent - aEntry.second.mAt >= mSettleTime;
  });
}

ConfigVersion
PromiseTable::HighestOpen() const
{
  ConfigVersion highest;
  for (const auto& it : mOpen) {
    highest = std::max(highest, it.second.mVersion);
  }
  return highest;
}

} // namespace lovagerock::configstore
