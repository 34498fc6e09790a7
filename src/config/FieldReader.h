#pragma once

#include "base/Json.h"
#include "config/ProblemList.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::config {

// Whether a field may be absent.
enum class Presence
{
  Required,
  Optional
};

// Reads the fields of one object. Each mistake becomes a problem, and a default is returned, so
// that one pass finds all mistakes.
class FieldReader
{
public:
  using ItemReader = std::function<void(const Json& aItem, const std::string& aPath)>;

  // Reports a value that isn't an object and then reads as if it were empty.
  FieldReader(const Json& aValue, std::string aPath, ProblemList& aProblems);

  // The path of a field of this object.
  std::string PathOf(std::string_view aField) const;

  // A text of at most 256 characters; empty if absent or wrong.
  std::string Text(const std::string& aField, Presence aPresence = Presence::Required);
  // A name of 1 to 64 letters, digits, '.', '_' and '-'; empty if absent or wrong.
  std::string Name(const std::string& aField, Presence aPresence = Presence::Required);
  // A whole number from aLowest to aHighest; aLowest if absent or wrong.
  std::int64_t Whole(const std::string& aField, std::int64_t aLowest, std::int64_t aHighest);
  // A number from 0 to 1; 0 if absent or wrong.
  double Fraction(const std::string& aField);
  bool Boolean(const std::string& aField);
  // The value of a nested object; null if absent, so that its fields aren't reported as well.
  const Json* Object(const std::string& aField);
  // Calls back for each entry of a list.
  void List(const std::string& aField, Presence aPresence, const ItemReader& aReadItem);

  // Reports the fields that were not asked for.
  void ReportUnknown();

private:
  const Json* Take(const std::string& aField, Presence aPresence);
  void WrongType(const std::string& aField, std::string_view aExpected, const Json& aValue);

  const Json& mValue;
  bool mIsObject;
  std::string mPath;
  ProblemList& mProblems;
  std::vector<std::string> mKnown;
};

// Whether a text is a valid name.
bool
IsName(std::string_view aText);

// Describes a value of the wrong type for a message.
std::string
Describe(const Json& aValue);

} // namespace lovagerock::config
