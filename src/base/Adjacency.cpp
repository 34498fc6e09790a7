#include "base/Adjacency.h"

namespace lovagerock {

std::string_view
AdjacencyName(Adjacency aAdjacency)
{
  switch (aAdjacency) {
    case Adjacency::Worker:
      return "worker";
    case Adjacency::Rack:
      return "rack";
    case Adjacency::Zone:
      return "zone";
    case Adjacency::Region:
      return "region";
  }
  return "region";
}

std::optional<Adjacency>
ParseAdjacency(std::string_view aText)
{
  for (const auto it : { Adjacency::Worker, Adjacency::Rack, Adjacency::Zone, Adjacency::Region }) {
    if (aText == AdjacencyName(it)) {
      return it;
    }
  }
  return std::nullopt;
}

} // namespace lovagerock
