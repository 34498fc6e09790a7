#pragma once

#include "base/Json.h"
#include "config/Document.h"

#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::config {

// What happened to a field or an entry.
enum class ChangeKind
{
  Added,
  Removed,
  Changed
};

// One difference between two configurations.
struct Change
{
  ChangeKind mKind = ChangeKind::Changed;
  // The field, with entries by name, such as "accounts[intake].quota.slots".
  std::string mPath;
  // The values in JSON form; null if the field or entry was absent.
  Json mOld;
  Json mNew;

  // "+ path: value", "- path: value" or "~ path: old -> new".
  std::string ToString() const;
};

// The JSON members are path, old and new; the kind follows from which of them is null.
void
to_json(Json& aJson, const Change& aChange);
void
from_json(const Json& aJson, Change& aChange);

// The differences in order of their paths. Accounts, guarantees and services are matched by name,
// so a renamed one is removed and added.
std::vector<Change>
Diff(const Document& aOld, const Document& aNew);

} // namespace lovagerock::config
