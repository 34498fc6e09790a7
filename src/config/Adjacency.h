#pragma once

#include <optional>
#include <string_view>

namespace lovagerock::config {

// How close the workers of a gang or of one copy of a guarantee must stand, from near to far.
enum class Adjacency
{
  Worker,
  Rack,
  Zone,
  Region
};

// The name in files and messages: "worker", "rack", "zone" or "region".
std::string_view
AdjacencyName(Adjacency aAdjacency);

// Reads a name; nothing for any other text.
std::optional<Adjacency>
ParseAdjacency(std::string_view aText);

} // namespace lovagerock::config
