#include "config/Diff.h"

#include "config/CanonicalJson.h"

#include <algorithm>
#include <map>
#include <set>

namespace lovagerock::config {

namespace detail {
namespace {

void
Compare(const std::string& aPath, const Json& aOld, const Json& aNew,
        std::vector<Change>& aChanges);

ChangeKind
KindOf(const Json& aOld, const Json& aNew)
{
  if (aOld.is_null()) {
    return ChangeKind::Added;
  }
  return aNew.is_null() ? ChangeKind::Removed : ChangeKind::Changed;
}

bool
HasNamedEntries(const Json& aValue)
{
  const auto isNamed = [](const Json& aEntry) {
    return aEntry.is_object() && aEntry.contains("name");
  };
  return aValue.is_array() && std::all_of(aValue.begin(), aValue.end(), isNamed);
}

// Entries of a list by "[name]", or members of an object by ".field".
std::map<std::string, Json>
Parts(const Json& aValue, bool aIsRoot)
{
  std::map<std::string, Json> parts;
  for (const auto& it : aValue.items()) {
    const auto key = aValue.is_array() ? "[" + it.value()["name"].get<std::string>() + "]"
                                       : (aIsRoot ? "" : ".") + it.key();
    parts.emplace(key, it.value());
  }
  return parts;
}

void
CompareParts(const std::string& aPath, const Json& aOld, const Json& aNew,
             std::vector<Change>& aChanges)
{
  auto older = Parts(aOld, aPath.empty());
  auto newer = Parts(aNew, aPath.empty());
  std::set<std::string> keys;
  for (const auto* it : { &older, &newer }) {
    for (const auto& part : *it) {
      keys.insert(part.first);
    }
  }
  for (const auto& it : keys) {
    Compare(aPath + it, older[it], newer[it], aChanges);
  }
}

void
Compare(const std::string& aPath, const Json& aOld, const Json& aNew, std::vector<Change>& aChanges)
{
  if (aOld == aNew) {
    return;
  }
  const bool objects = aOld.is_object() && aNew.is_object();
  const bool lists = HasNamedEntries(aOld) && HasNamedEntries(aNew);
  if (objects || lists) {
    CompareParts(aPath, aOld, aNew, aChanges);
    return;
  }
  aChanges.push_back({ KindOf(aOld, aNew), aPath, aOld, aNew });
}

} // namespace
} // namespace detail

std::string
Change::ToString() const
{
  switch (mKind) {
    case ChangeKind::Added:
      return "+ " + mPath + ": " + DumpJson(mNew);
    case ChangeKind::Removed:
      return "- " + mPath + ": " + DumpJson(mOld);
    case ChangeKind::Changed:
      break;
  }
  return "~ " + mPath + ": " + DumpJson(mOld) + " -> " + DumpJson(mNew);
}

void
to_json(Json& aJson, const Change& aChange)
{
  aJson = Json{ { "path", aChange.mPath }, { "old", aChange.mOld }, { "new", aChange.mNew } };
}

void
from_json(const Json& aJson, Change& aChange)
{
  aChange.mPath = JsonValue<std::string>(aJson, "path", "");
  aChange.mOld = JsonValue<Json>(aJson, "old", nullptr);
  aChange.mNew = JsonValue<Json>(aJson, "new", nullptr);
  aChange.mKind = detail::KindOf(aChange.mOld, aChange.mNew);
}

std::vector<Change>
Diff(const Document& aOld, const Document& aNew)
{
  std::vector<Change> changes;
  detail::Compare("", ToJson(aOld), ToJson(aNew), changes);
  return changes;
}

} // namespace lovagerock::config
