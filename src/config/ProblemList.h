#pragma once

#include "config/Problem.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::config {

// Collects the problems of one file. Knows the line of each field, as far as it was registered.
class ProblemList
{
public:
  // A hostile file could have thousands of problems; the rest is only counted.
  static constexpr std::size_t kMaxListed = 500;

  explicit ProblemList(std::string aFile)
    : mFile(std::move(aFile))
  {
  }

  // Registers the line of a field.
  void SetLine(std::string aField, int aLine);
  // Adds a problem at the line of the field or, if that is unknown, of its nearest parent.
  void Add(std::string aField, std::string aMessage);
  // Adds a problem at a line.
  void AddAt(int aLine, std::string aField, std::string aMessage);

  bool IsEmpty() const { return mProblems.empty(); }
  // Takes the problems, ordered by line.
  std::vector<Problem> Take();

private:
  int LineOf(std::string_view aField) const;

  std::string mFile;
  std::map<std::string, int, std::less<>> mLines;
  std::vector<Problem> mProblems;
  std::size_t mUnlisted = 0;
};

// Quotes a value from a file for a message; long values are cut.
std::string
Quote(std::string_view aText);

} // namespace lovagerock::config
