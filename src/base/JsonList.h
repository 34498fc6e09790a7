#pragma once

#include "base/Json.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace lovagerock {

// The elements of a JSON array that can be read, and the number of the others.
struct JsonList
{
  std::vector<Json> mElements;
  std::size_t mUnreadable = 0;
};

// Reads a JSON array element by element, so that one element that is malformed, nested too deeply
// or holds a number that is too large doesn't hide the others. Nothing if the text isn't an array
// or none of its elements can be read.
std::optional<JsonList>
ParseJsonList(std::string_view aText);

} // namespace lovagerock
