#include "load/SeriesPlot.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <sstream>
#include <vector>

namespace lovagerock::load {

namespace detail {
namespace {

constexpr double kWidth = 900;
constexpr double kHeight = 620;
constexpr double kLeft = 80;
constexpr double kRight = 770;
constexpr double kPanelHeight = 230;
constexpr double kFirstTop = 50;
constexpr double kSecondTop = 335;

// One line of a panel.
struct Curve
{
  const char* mMember;
  const char* mLabel;
  const char* mColor;
  const char* mDashes;
};

constexpr Curve kRates[] = { { "sent", "sent", "#555555", "5,4" },
                             { "ok", "answered in time", "#0b7a3b", "none" },
                             { "late", "answered late", "#c77700", "none" },
                             { "refused", "refused, not run", "#1f5fbf", "none" },
                             { "failed", "failed", "#c21f30", "none" } };
constexpr Curve kLatencies[] = { { "p50", "p50", "#1f5fbf", "none" },
                                 { "p99", "p99", "#c21f30", "none" } };

// A panel maps times and values to positions.
struct Panel
{
  double mTop;
  // Seconds.
  double mEnd;
  double mLow;
  double mHigh;
  bool mLogarithmic;

  double X(double aSeconds) const { return kLeft + (kRight - kLeft) * aSeconds / mEnd; }
  double Y(double aValue) const
  {
    const auto scale = [this](double aNumber) {
      return mLogarithmic ? std::log10(std::max(aNumber, mLow)) : aNumber;
    };
    const double part = (scale(aValue) - scale(mLow)) / (scale(mHigh) - scale(mLow));
    return mTop + kPanelHeight * (1 - part);
  }
};

// The smallest of 1, 2, 5, 10, ... that is at least aValue.
double
RoundUp(double aValue)
{
  const double power = std::pow(10, std::floor(std::log10(std::max(aValue, 1e-9))));
  for (const double it : { 1.0, 2.0, 5.0 }) {
    if (it * power >= aValue) {
      return it * power;
    }
  }
  return 10 * power;
}

std::string
Escape(const std::string& aText)
{
  std::string text;
  for (const char it : aText) {
    switch (it) {
      case '&':
        text += "&amp;";
        break;
      case '<':
        text += "&lt;";
        break;
      case '>':
        text += "&gt;";
        break;
      default:
        text += it;
    }
  }
  return text;
}

void
WriteText(std::ostream& aOut, double aX, double aY, const char* aAnchor, const std::string& aText)
{
  aOut << "<text x=\"" << aX << "\" y=\"" << aY << "\" text-anchor=\"" << aAnchor << "\">"
       << Escape(aText) << "</text>\n";
}

std::string
Number(double aValue)
{
  std::ostringstream text;
  text << aValue;
  return text.str();
}

void
WriteGridLine(std::ostream& aOut, const Panel& aPanel, double aValue)
{
  const double y = aPanel.Y(aValue);
  aOut << "<line class=\"grid\" x1=\"" << kLeft << "\" x2=\"" << kRight << "\" y1=\"" << y
       << "\" y2=\"" << y << "\"/>\n";
  WriteText(aOut, kLeft - 6, y + 4, "end", Number(aValue));
}

void
WriteAxes(std::ostream& aOut, const Panel& aPanel, const std::string& aTitle)
{
  WriteText(aOut, kLeft, aPanel.mTop - 8, "start", aTitle);
  if (aPanel.mLogarithmic) {
    for (double it = aPanel.mLow; it <= aPanel.mHigh * 1.001; it *= 10) {
      WriteGridLine(aOut, aPanel, it);
    }
  } else {
    for (int i = 0; i <= 4; ++i) {
      WriteGridLine(aOut, aPanel, aPanel.mHigh * i / 4);
    }
  }
  const double step = std::max(1.0, RoundUp(aPanel.mEnd / 12));
  for (double it = 0; it <= aPanel.mEnd; it += step) {
    const double x = aPanel.X(it);
    aOut << "<line class=\"grid\" x1=\"" << x << "\" x2=\"" << x << "\" y1=\"" << aPanel.mTop
         << "\" y2=\"" << aPanel.mTop + kPanelHeight << "\"/>\n";
    WriteText(aOut, x, aPanel.mTop + kPanelHeight + 16, "middle", Number(it) + " s");
  }
}

// aScale converts a member of a row to the panel's unit.
void
WriteCurve(std::ostream& aOut, const Panel& aPanel, const Json& aSeries, const Curve& aCurve,
           std::size_t aIndex, const std::function<double(const Json&, double)>& aScale)
{
  aOut << "<path fill=\"none\" stroke=\"" << aCurve.mColor << "\" stroke-width=\"2\""
       << " stroke-dasharray=\"" << aCurve.mDashes << "\" d=\"";
  // A gap in the values starts a new line.
  bool drawing = false;
  for (const auto& row : aSeries) {
    const auto& value = row[aCurve.mMember];
    if (value.is_null()) {
      drawing = false;
      continue;
    }
    const double middle =
      (row["at_ms"].get<double>() + row["interval_ms"].get<double>() / 2) / 1000;
    aOut << (drawing ? "L" : "M") << aPanel.X(middle) << ","
         << aPanel.Y(aScale(row, value.get<double>())) << " ";
    drawing = true;
  }
  aOut << "\"/>\n";
  const double y = aPanel.mTop + 14 + 20 * static_cast<double>(aIndex);
  aOut << "<line x1=\"" << kRight + 10 << "\" x2=\"" << kRight + 30 << "\" y1=\"" << y << "\" y2=\""
       << y << "\" stroke=\"" << aCurve.mColor << "\" stroke-width=\"2\" stroke-dasharray=\""
       << aCurve.mDashes << "\"/>\n";
  WriteText(aOut, kRight + 35, y + 4, "start", aCurve.mLabel);
}

double
PerSecond(const Json& aRow, double aCount)
{
  return aCount * 1000 / aRow["interval_ms"].get<double>();
}

double
Milliseconds(const Json&, double aValue)
{
  return aValue;
}

} // namespace
} // namespace detail

void
WritePlot(const Json& aSeries, const std::string& aTitle, std::ostream& aOut)
{
  double end = 1;
  double rate = 1;
  double fastest = 1;
  double slowest = 10;
  for (const auto& row : aSeries) {
    end = std::max(end, (row["at_ms"].get<double>() + row["interval_ms"].get<double>()) / 1000);
    rate = std::max(rate, detail::PerSecond(row, row["sent"].get<double>()));
    if (!row["p50"].is_null()) {
      fastest = std::min(fastest, std::max(0.01, row["p50"].get<double>()));
      slowest = std::max(slowest, row["p99"].get<double>());
    }
  }
  aOut << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << detail::kWidth << "\" height=\""
       << detail::kHeight << "\" viewBox=\"0 0 " << detail::kWidth << " " << detail::kHeight
       << "\">\n<style>text{font:12px sans-serif;fill:#222}.grid{stroke:#ddd}</style>\n"
       << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  detail::WriteText(aOut, detail::kLeft, 20, "start", aTitle);
  const detail::Panel rates{ detail::kFirstTop, end, 0, detail::RoundUp(rate), false };
  detail::WriteAxes(aOut, rates, "requests/s, by the time at which they were due");
  for (std::size_t i = 0; i < std::size(detail::kRates); ++i) {
    detail::WriteCurve(aOut, rates, aSeries, detail::kRates[i], i, detail::PerSecond);
  }
  const detail::Panel latencies{ detail::kSecondTop, end,
                                 std::pow(10, std::floor(std::log10(fastest))),
                                 std::pow(10, std::ceil(std::log10(slowest))), true };
  detail::WriteAxes(aOut, latencies, "latency of answered requests from their due time, ms");
  for (std::size_t i = 0; i < std::size(detail::kLatencies); ++i) {
    detail::WriteCurve(aOut, latencies, aSeries, detail::kLatencies[i], i, detail::Milliseconds);
  }
  aOut << "</svg>\n";
}

} // namespace lovagerock::load
