#pragma once

#include "base/Json.h"
#include "config/ProblemList.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace lovagerock::config {

// Limits of a file. They bound the memory and time that a hostile or broken file can take.
inline constexpr std::size_t kMaxFileBytes = 1024 * 1024;
// Values (not field names) after aliases are expanded. 200 accounts and 200 services need 6,200.
inline constexpr std::size_t kMaxNodes = 10000;

// Reads one YAML document into JSON types and registers the line of each field. Plain scalars
// become booleans, whole numbers, fractions or text; quoted ones are text. Gives nothing if the
// text can't be read to its end; the reason is then among the problems.
std::optional<Json>
ReadYamlTree(std::string_view aText, ProblemList& aProblems);

} // namespace lovagerock::config
