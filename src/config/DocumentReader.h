#pragma once

#include "base/Json.h"
#include "config/Document.h"
#include "config/Problem.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::config {

// The result of reading a configuration: a document, or at least one problem.
struct ReadResult
{
  std::optional<Document> mDocument;
  std::vector<Problem> mProblems;
  // What is valid but has no effect, see FindIneffective().
  std::vector<Problem> mFindings;
};

// Reads a configuration file. All problems are found in one pass and listed by line; a file with
// any problem gives no document. aFile is the name used in problems.
ReadResult
ReadYaml(std::string_view aText, const std::string& aFile);

// Reads the JSON form of a configuration with the same checks; lines are 0.
ReadResult
ReadJson(const Json& aValue, const std::string& aFile = "");

} // namespace lovagerock::config
