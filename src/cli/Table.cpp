#include "cli/Table.h"

#include <algorithm>
#include <utility>

namespace lovagerock::cli {

Table::Table(std::vector<std::string> aHeader)
{
  mRows.push_back(std::move(aHeader));
}

void
Table::AddRow(std::vector<std::string> aCells)
{
  aCells.resize(mRows.front().size());
  mRows.push_back(std::move(aCells));
}

void
Table::AddObjects(const Json& aList)
{
  for (const auto& it : aList) {
    std::vector<std::string> cells;
    for (const auto& name : mRows.front()) {
      cells.push_back(CellText(JsonValue<Json>(it, name, nullptr)));
    }
    AddRow(std::move(cells));
  }
}

void
Table::Print(std::ostream& aOut) const
{
  constexpr std::size_t kGap = 2;
  std::vector<std::size_t> widths(mRows.front().size());
  for (const auto& row : mRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : mRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line.append(widths[i] - row[i].size() + kGap, ' ');
      }
    }
    aOut << line << "\n";
  }
}

std::string
CellText(const Json& aValue)
{
  auto text = aValue.is_string() ? aValue.get<std::string>() : DumpJson(aValue);
  if (aValue.is_null() || text.empty()) {
    return "-";
  }
  // Control characters from a node could change the operator's terminal.
  std::replace_if(
    text.begin(), text.end(), [](unsigned char aByte) { return aByte < 0x20 || aByte == 0x7f; },
    '?');
  return text;
}

} // namespace lovagerock::cli
