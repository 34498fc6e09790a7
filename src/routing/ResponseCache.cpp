#include "routing/ResponseCache.h"

#include <utility>

namespace lovagerock::routing {

namespace detail {
namespace {

// Estimated bytes of memory of an entry without its body.
constexpr std::size_t kEntryOverhead = 1024;

std::size_t
SizeOf(const ResponseCache::Entry& aEntry)
{
  return aEntry.mFinalResponse.mResponse.mBody.size() + kEntryOverhead;
}

} // namespace
} // namespace detail

void
ResponseCache::Add(const std::string& aKey, Entry aEntry)
{
  const auto n = detail::SizeOf(aEntry);
  if (!mEntries.emplace(aKey, std::move(aEntry)).second) {
    return;
  }
  mBytes += n;
  mOrder.push_back(aKey);
  while (mBytes > kMaxBytes) {
    const auto oldest = mEntries.find(mOrder.front());
    mBytes -= detail::SizeOf(oldest->second);
    mEntries.erase(oldest);
    mOrder.pop_front();
  }
}

const ResponseCache::Entry*
ResponseCache::Find(const std::string& aKey) const
{
  const auto it = mEntries.find(aKey);
  return it == mEntries.end() ? nullptr : &it->second;
}

} // namespace lovagerock::routing
