#pragma once

namespace lovagerock::placement {

// How close together the tasks of a gang, or the workers of a guaranteed copy, must be.
enum class Adjacency
{
  Worker,
  Rack,
  Zone,
  Region,
};

} // namespace lovagerock::placement
