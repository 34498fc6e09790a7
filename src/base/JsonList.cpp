#include "base/JsonList.h"

#include <string>

namespace lovagerock {

namespace detail {
namespace {

constexpr std::string_view kSpace = " \t\r\n";

// Finds the ends of an array's elements by the brackets and strings in its text, without regard to
// what is between them.
class ElementScanner
{
public:
  // Takes the next character. Returns whether it ends an element of the array, or the array itself.
  bool Take(char aChar)
  {
    if (mIsInString) {
      TakeInString(aChar);
      return false;
    }
    switch (aChar) {
      case '"':
        mIsInString = true;
        return false;
      case '[':
      case '{':
        mOpen += aChar;
        return false;
      case ']':
      case '}':
        return Close(aChar);
      default:
        return aChar == ',' && mOpen.size() == 1;
    }
  }

  bool IsArrayClosed() const { return mOpen.empty(); }

private:
  void TakeInString(char aChar)
  {
    if (mIsEscaped) {
      mIsEscaped = false;
    } else if (aChar == '\\') {
      mIsEscaped = true;
    } else if (aChar == '"') {
      mIsInString = false;
    }
  }

  bool Close(char aChar)
  {
    // A bracket that closes nothing makes only its element unreadable.
    if (mOpen.back() == (aChar == ']' ? '[' : '{')) {
      mOpen.pop_back();
    }
    return mOpen.empty();
  }

  // The open brackets; the first one is the array's.
  std::string mOpen = "[";
  bool mIsInString = false;
  bool mIsEscaped = false;
};

// The texts of the elements of an array; nothing if the text isn't an array.
std::optional<std::vector<std::string_view>>
SplitArray(std::string_view aText)
{
  const auto begin = aText.find_first_not_of(kSpace);
  if (begin == aText.npos || aText[begin] != '[') {
    return std::nullopt;
  }
  std::vector<std::string_view> elements;
  ElementScanner scanner;
  std::size_t first = begin + 1;
  std::size_t at = first;
  for (; at < aText.size() && !scanner.IsArrayClosed(); ++at) {
    if (scanner.Take(aText[at])) {
      elements.push_back(aText.substr(first, at - first));
      first = at + 1;
    }
  }
  if (!scanner.IsArrayClosed() || aText.find_first_not_of(kSpace, at) != aText.npos) {
    return std::nullopt;
  }
  if (elements.size() == 1 && elements[0].find_first_not_of(kSpace) == aText.npos) {
    elements.clear();
  }
  return elements;
}

} // namespace
} // namespace detail

std::optional<JsonList>
ParseJsonList(std::string_view aText)
{
  const auto texts = detail::SplitArray(aText);
  if (!texts) {
    return std::nullopt;
  }
  JsonList list;
  for (const auto it : *texts) {
    if (auto element = ParseJson(it)) {
      list.mElements.push_back(std::move(*element));
    } else {
      ++list.mUnreadable;
    }
  }
  return list.mElements.empty() && list.mUnreadable > 0 ? std::nullopt
                                                        : std::optional(std::move(list));
}

} // namespace lovagerock
