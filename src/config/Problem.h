#pragma once

#include "base/Json.h"

#include <string>

namespace lovagerock::config {

// One reason why a configuration is invalid.
struct Problem
{
  std::string mFile;
  // The line in the file, from 1; 0 if it is unknown.
  int mLine = 0;
  // The path of the field, such as "accounts[1].guarantees[0].zone"; empty for the whole file.
  std::string mField;
  std::string mMessage;

  bool operator==(const Problem&) const = default;

  // "file:line: field: message".
  std::string ToString() const;
};

// The JSON members are file, line, field and message; an absent one is empty or 0.
void
to_json(Json& aJson, const Problem& aProblem);
void
from_json(const Json& aJson, Problem& aProblem);

} // namespace lovagerock::config
