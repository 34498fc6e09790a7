#pragma once

#include "base/Random.h"
#include "base/Units.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::retention {

// Divides the names below a prefix into pages: groups of names that begin alike. The size of the
// pages follows from a sample, so that no answer is made that is too large; a page that is too
// large all the same is divided when it is met. Each name is on one page, in random order of pages,
// because a run that is often cut short would otherwise never reach the last ones.
//
// A name that is itself the beginning of a divided page, or has other characters than the alphabet
// after it, is on no page. Names that end in at least three hexadecimal digits of a hash are safe.
class PageWalk
{
public:
  // Most names are expected to be the stem and hexadecimal digits of a hash. Names may consist of
  // the characters of the alphabet.
  PageWalk() = default;
  PageWalk(std::string aStem, std::string_view aAlphabet, Bytes aLimit);

  // The page to be read first: about 1/256 of the names.
  std::string Sample() const { return mStem + "00"; }
  // Divides the names by the size of the sample; nothing if that was too large.
  void Start(std::optional<Bytes> aSample);
  // The next page; nothing at the end.
  std::optional<std::string> Next(Random& aRandom);
  // Replaces a page that was too large by its parts.
  void Split(const std::string& aPage);

private:
  std::string mStem;
  std::string_view mAlphabet;
  Bytes mLimit{ 0 };
  std::vector<std::string> mPages;
};

} // namespace lovagerock::retention
