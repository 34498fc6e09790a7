#include "load/TraceFile.h"

#include <algorithm>
#include <optional>
#include <sstream>
#include <string_view>

namespace lovagerock::load {

namespace detail {
namespace {

constexpr std::string_view kRequestPrefix = "request/";
constexpr int kMaxRepeat = 1'000'000;

// A line of the file, which stands for one or more arrivals.
struct Line
{
  TraceEntry mFirst;
  int mRepeat = 1;
  double mEvery = 0;
};

bool
ReadKind(const std::string& aKind, TraceEntry& aEntry)
{
  if (aKind.starts_with(kRequestPrefix)) {
    aEntry.mService = aKind.substr(kRequestPrefix.size());
    return !aEntry.mService.empty();
  }
  aEntry.mUrgent = aKind == "urgent";
  return aEntry.mUrgent || aKind == "job";
}

std::optional<Line>
ReadLine(const std::string& aText)
{
  std::istringstream text(aText);
  Line line;
  auto& entry = line.mFirst;
  std::string level;
  std::string kind = "job";
  text >> entry.mMinute >> entry.mAccount >> entry.mTasks >> entry.mAccelerators >> level >>
    entry.mRunMinutes >> entry.mEstimateMinutes >> line.mRepeat >> line.mEvery;
  const auto adjacency = ParseAdjacency(level);
  if (!text || !adjacency || entry.mTasks < 1 || line.mRepeat < 0 || line.mRepeat > kMaxRepeat) {
    return std::nullopt;
  }
  entry.mAdjacency = *adjacency;
  text >> kind;
  std::string rest;
  if (!ReadKind(kind, entry) || text >> rest) {
    return std::nullopt;
  }
  return line;
}

} // namespace
} // namespace detail

std::vector<TraceEntry>
ReadTraceFile(std::istream& aFile, std::string& aProblem)
{
  std::vector<TraceEntry> entries;
  int number = 0;
  for (std::string text; std::getline(aFile, text);) {
    ++number;
    if (text.find_first_not_of(" \t\r") == std::string::npos || text.front() == '#') {
      continue;
    }
    const auto line = detail::ReadLine(text);
    if (!line) {
      aProblem = "line " + std::to_string(number) + " is malformed: " + text;
      return {};
    }
    for (int i = 0; i < line->mRepeat; ++i) {
      entries.push_back(line->mFirst);
      entries.back().mMinute += i * line->mEvery;
    }
  }
  std::ranges::stable_sort(entries, {}, &TraceEntry::mMinute);
  return entries;
}

} // namespace lovagerock::load
