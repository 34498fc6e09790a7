#include "config/Adjacency.h"

#include <array>

namespace lovagerock::config {

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
  return "";
}

std::optional<Adjacency>
ParseAdjacency(std::string_view aText)
{
  constexpr std::array kAll = { Adjacency::Worker, Adjacency::Rack, Adjacency::Zone,
                                Adjacency::Region };
  for (const auto it : kAll) {
    if (AdjacencyName(it) == aText) {
      return it;
    }
  }
  return std::nullopt;
}

} // namespace lovagerock::config
