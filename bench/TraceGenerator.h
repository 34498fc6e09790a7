#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace lovagerock::placement::replay {

// The kinds of traces that can be generated: an ordinary and a peak day of each of two example
// clusters (saryarka-day, saryarka-peak, zarqa-day and zarqa-peak).
const std::vector<std::string>&
TraceKinds();

// Writes a generated trace. The same kind and seed always give the same text.
void
GenerateTrace(const std::string& aKind, std::uint64_t aSeed, std::ostream& aOut);

} // namespace lovagerock::placement::replay
