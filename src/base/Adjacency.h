#pragma once

#include <optional>
#include <string_view>

namespace lovagerock {

// How close the workers of a gang or of a guaranteed shape must be to each other.
enum class Adjacency
{
  // All on one worker.
  Worker,
  // All in one rack.
  Rack,
  // All in one availability zone.
  Zone,
  // Anywhere in one region.
  Region,
};

// The lower-case name used in files and messages.
std::string_view
AdjacencyName(Adjacency aAdjacency);

// Reads a name; nothing for any other text.
std::optional<Adjacency>
ParseAdjacency(std::string_view aText);

} // namespace lovagerock
