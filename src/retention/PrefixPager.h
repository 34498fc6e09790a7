#pragma once

#include "base/Random.h"
#include "base/Units.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::retention {

// Divides the names below a prefix into pages: groups of names that begin alike. The size of the
// pages is derived from a sample page, so that few listings exceed the size limit; the caller
// splits a page that exceeds it all the same. The pages are returned in random order,
// because a run that is often cut short would otherwise never reach the last ones.
//
// A page is given by the prefix of its names, without the prefix that all names are below. Each
// name is on at most one page. It is on none if it equals a page that was split, or if its next
// character after that page is not in the alphabet. Start() splits pages of at most two digits, so
// that names that end in at least three hexadecimal digits of a hash are always on its pages.
class PrefixPager
{
public:
  // Most names are expected to be aCommonPrefix followed by hexadecimal digits of a hash. Names
  // consist of the characters in aAlphabet. aLimit is the largest size of a page.
  PrefixPager() = default;
  PrefixPager(std::string aCommonPrefix, std::string_view aAlphabet, Bytes aLimit);

  // Returns the page to be read first, to estimate the size of all: about 1/256 of the names.
  std::string SamplePage() const { return mCommonPrefix + "00"; }
  // Chooses the pages by the size of the sample page; nullopt if that exceeded the limit.
  void Start(std::optional<Bytes> aSample);
  // Returns a random page that is left and removes it; nullopt if none is left.
  std::optional<std::string> Next(Random& aRandom);
  // Adds the pages that are one character longer than aPage, a page that was too large.
  void Split(const std::string& aPage);

private:
  std::string mCommonPrefix;
  std::string_view mAlphabet;
  Bytes mLimit{ 0 };
  std::vector<std::string> mPages;
};

} // namespace lovagerock::retention
