#include "retention/PrefixPager.h"

#include <algorithm>
#include <utility>

namespace lovagerock::retention {

namespace detail {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

} // namespace
} // namespace detail

PrefixPager::PrefixPager(std::string aCommonPrefix, std::string_view aAlphabet, Bytes aLimit)
  : mCommonPrefix(std::move(aCommonPrefix))
  , mAlphabet(aAlphabet)
  , mLimit(aLimit)
{
}

void
PrefixPager::Start(std::optional<Bytes> aSample)
{
  constexpr std::int64_t kDigit = 16;
  const auto sample = aSample ? aSample->Value() : mLimit.Value() + 1;
  const auto split = [this](const std::string& aPage) {
    mPages.erase(std::remove(mPages.begin(), mPages.end(), aPage), mPages.end());
    Split(aPage);
  };
  mPages.assign(1, "");
  if (sample * kDigit * kDigit <= mLimit.Value()) {
    return;
  }
  for (std::size_t n = 0; n <= mCommonPrefix.size(); ++n) {
    split(mCommonPrefix.substr(0, n));
  }
  if (sample * kDigit <= mLimit.Value()) {
    return;
  }
  for (const auto first : detail::kHexDigits) {
    split(mCommonPrefix + first);
    for (const auto second : detail::kHexDigits) {
      if (sample > mLimit.Value()) {
        split(mCommonPrefix + first + second);
      }
    }
  }
}

std::optional<std::string>
PrefixPager::Next(Random& aRandom)
{
  if (mPages.empty()) {
    return std::nullopt;
  }
  std::swap(mPages[aRandom.Below(mPages.size())], mPages.back());
  auto page = std::move(mPages.back());
  mPages.pop_back();
  return page;
}

void
PrefixPager::Split(const std::string& aPage)
{
  for (const auto it : mAlphabet) {
    mPages.push_back(aPage + it);
  }
}

} // namespace lovagerock::retention
