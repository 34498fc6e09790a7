#include "config/ProblemList.h"

#include <algorithm>
#include <utility>

namespace lovagerock::config {

void
ProblemList::SetLine(std::string aField, int aLine)
{
  mLines.emplace(std::move(aField), aLine);
}

void
ProblemList::Add(std::string aField, std::string aMessage)
{
  const int line = LineOf(aField);
  AddAt(line, std::move(aField), std::move(aMessage));
}

void
ProblemList::AddAt(int aLine, std::string aField, std::string aMessage)
{
  if (mProblems.size() >= kMaxListed) {
    ++mUnlisted;
    return;
  }
  mProblems.push_back({ mFile, aLine, std::move(aField), std::move(aMessage) });
}

std::vector<Problem>
ProblemList::Take()
{
  std::stable_sort(
    mProblems.begin(), mProblems.end(),
    [](const Problem& aLeft, const Problem& aRight) { return aLeft.mLine < aRight.mLine; });
  if (mUnlisted > 0) {
    mProblems.push_back({ mFile, 0, "", std::to_string(mUnlisted) + " more problems not listed" });
  }
  return std::exchange(mProblems, {});
}

int
ProblemList::LineOf(std::string_view aField) const
{
  while (true) {
    const auto it = mLines.find(aField);
    if (it != mLines.end()) {
      return it->second;
    }
    if (aField.empty()) {
      return 0;
    }
    const auto cut = aField.find_last_of(".[");
    aField = cut == std::string_view::npos ? std::string_view() : aField.substr(0, cut);
  }
}

std::string
Quote(std::string_view aText)
{
  constexpr std::size_t kMaxQuoted = 64;
  std::string text = "'";
  for (const char it : aText.substr(0, kMaxQuoted)) {
    // Control characters could change the operator's terminal.
    text += static_cast<unsigned char>(it) < 0x20 || it == 0x7f ? '?' : it;
  }
  return text + (aText.size() > kMaxQuoted ? "...'" : "'");
}

} // namespace lovagerock::config
