#include "control/Deployment.h"

namespace lovagerock::control {

const Queue*
Deployment::FindQueue(std::string_view aHost, std::string_view aPath) const
{
  const auto host = aHost.substr(0, aHost.find(':'));
  const Queue* best = nullptr;
  for (const auto& it : mQueues) {
    if (it.mHost == host && aPath.starts_with(it.mPathPrefix) &&
        (!best || it.mPathPrefix.size() > best->mPathPrefix.size())) {
      best = &it;
    }
  }
  return best;
}

const AccountId*
Deployment::FindAccount(std::string_view aKey) const
{
  const auto it = mKeys.find(aKey);
  return it == mKeys.end() ? nullptr : &it->second;
}

} // namespace lovagerock::control
