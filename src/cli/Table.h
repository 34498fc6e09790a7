#pragma once

#include "base/Json.h"

#include <ostream>
#include <string>
#include <vector>

namespace lovagerock::cli {

// Text in aligned columns with a header line.
class Table
{
public:
  explicit Table(std::vector<std::string> aHeader);

  // Adds a row with as many cells as the header.
  void AddRow(std::vector<std::string> aCells);
  // Adds a row for each object of a list; the header's words are the names of the members.
  void AddObjects(const Json& aList);

  void Print(std::ostream& aOut) const;

private:
  std::vector<std::vector<std::string>> mRows;
};

// A JSON value as a cell: text without quotes and without control characters, "-" for null or
// empty text.
std::string
CellText(const Json& aValue);

} // namespace lovagerock::cli
