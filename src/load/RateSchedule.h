#pragma once

#include "base/Units.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::load {

// When the requests of an open loop are due. The text is a list "TIME:RATE,..." in order of time,
// where TIME is a number of seconds ("5s", "0.5s") or milliseconds ("500ms"; "0" needs no unit):
//   5s:4000       4000 requests a second until the next entry
//   5s:1000-4000  a ramp from 1000 to 4000 a second until the next entry
//   5s:+300       300 requests at once; the rate goes on
// The last entry holds until the end of the run, so it must not be a ramp.
class RateSchedule
{
public:
  // Nothing if the text is invalid; aProblem then tells why.
  static std::optional<RateSchedule> Parse(std::string_view aText, std::string& aProblem);
  static RateSchedule Constant(double aRate);

  // The time from the start of the run at which request aNumber, from 0, is due; nothing if no
  // request is due after the earlier ones.
  std::optional<std::chrono::nanoseconds> DueAt(std::int64_t aNumber) const;

private:
  // A stretch of time with a linear change of rate; a burst has no length.
  struct Segment
  {
    // Seconds from the start of the run; the length of the last segment is unlimited.
    double mBegin = 0;
    double mLength = 0;
    // Requests a second at its begin, and their change a second.
    double mRate = 0;
    double mSlope = 0;
    // Requests due before the segment, and in it.
    double mBefore = 0;
    double mCount = 0;
  };
  struct Entry;

  static std::optional<Entry> ParseEntry(std::string_view aText);
  void Add(Segment aSegment);

  std::vector<Segment> mSegments;
};

} // namespace lovagerock::load
