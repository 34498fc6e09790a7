#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace lovagerock::placement::replay {

// The days that can be generated: saryarka-day, saryarka-peak, zarqa-day and zarqa-peak.
const std::vector<std::string>&
TraceKinds();

// Writes a trace. The same kind and seed always give the same text.
void
GenerateTrace(const std::string& aKind, std::uint64_t aSeed, std::ostream& aOut);

} // namespace lovagerock::placement::replay
