#pragma once

#include "base/Json.h"

#include <ostream>
#include <string>

namespace lovagerock::load {

// Writes a time series (TimeSeries::ToJson) as an SVG image with two panels: requests a second by
// outcome, and the latencies of the answered requests on a logarithmic scale.
void
WritePlot(const Json& aSeries, const std::string& aTitle, std::ostream& aOut);

} // namespace lovagerock::load
