#include "configstore/Confirmation.h"

#include <algorithm>

namespace lovagerock::configstore {

namespace detail {
namespace {

// Rounds up, so that an age is never reported too low.
std::optional<Duration>
AgeOf(const std::optional<TimePoint>& aAt, TimePoint aNow)
{
  if (!aAt) {
    return std::nullopt;
  }
  return std::chrono::ceil<Duration>(aNow - *aAt);
}

std::optional<TimePoint>
TimeOf(const std::optional<Duration>& aAge, TimePoint aSent)
{
  return aAge ? std::optional(aSent - *aAge) : std::nullopt;
}

} // namespace
} // namespace detail

const char*
ToString(ConfirmationState aState)
{
  switch (aState) {
    case ConfirmationState::None:
      return "none";
    case ConfirmationState::Confirmed:
      return "confirmed";
    case ConfirmationState::ServiceDown:
      return "service_down";
    case ConfirmationState::Isolated:
      return "isolated";
  }
  return "unknown";
}

Confirmation::Confirmation(const ConfirmationSettings& aSettings, TimePoint aStart)
  : mSettings(aSettings)
  , mStart(aStart)
{
}

void
Confirmation::SetInForce(ConfigVersion aVersion)
{
  mInForce = std::max(mInForce, aVersion);
  if (const auto at = ConfirmedAt()) {
    std::erase_if(mReads, [this](const auto& aEntry) { return aEntry.first <= mInForce; });
    mReads[mInForce] = *at;
  }
}

void
Confirmation::NoteDirectRead(ConfigVersion aVersion, TimePoint aSent)
{
  if (!mDirectAt || aSent >= *mDirectAt) {
    mDirectAt = aSent;
    mDirectVersion = aVersion;
  }
  NoteRead(aVersion, aSent);
}

void
Confirmation::NoteReport(const NodeId& aMember, const MemberReport& aReport, TimePoint aSent)
{
  auto& received = mReports[aMember];
  if (received.mSent > aSent) {
    return;
  }
  received = { aReport, aSent };
  mHighestKnownVersion = std::max(mHighestKnownVersion, aReport.mVersion);
  if (const auto at = detail::TimeOf(aReport.mDirectAge, aSent)) {
    NoteRead(aReport.mDirectVersion, *at);
  }
  std::erase_if(mReports, [aSent](const auto& aEntry) {
    return aSent - aEntry.second.mSent > std::chrono::hours(1);
  });
}

ConfirmationState
Confirmation::State(TimePoint aNow, std::size_t aKnown, ConfigVersion aOpenPromise) const
{
  if (mInForce == ConfigVersion()) {
    return ConfirmationState::None;
  }
  if (IsRecent(ConfirmedAt(), aNow)) {
    return ConfirmationState::Confirmed;
  }
  return MayServeDuringOutage(aNow, aKnown, aOpenPromise) ? ConfirmationState::ServiceDown
                                                          : ConfirmationState::Isolated;
}

void
Confirmation::FillReport(MemberReport& aReport, TimePoint aNow) const
{
  aReport.mDirectAge = detail::AgeOf(mDirectAt, aNow);
  aReport.mDirectVersion = mDirectVersion;
  aReport.mConfirmedAge = detail::AgeOf(ConfirmedAt(), aNow);
  aReport.mSettled = IsSettled();
}

const MemberReport*
Confirmation::ReportOf(const NodeId& aMember) const
{
  const auto it = mReports.find(aMember);
  return it == mReports.end() ? nullptr : &it->second.mReport;
}

bool
Confirmation::IsMemberConfirmed(const NodeId& aMember, TimePoint aNow) const
{
  const auto it = mReports.find(aMember);
  return it != mReports.end() && it->second.mReport.mVersion > ConfigVersion() &&
         IsRecent(detail::TimeOf(it->second.mReport.mConfirmedAge, it->second.mSent), aNow);
}

void
Confirmation::NoteRead(ConfigVersion aVersion, TimePoint aAt)
{
  mHighestKnownVersion = std::max(mHighestKnownVersion, aVersion);
  const auto version = std::max(aVersion, mInForce);
  const auto it = mReads.try_emplace(version, aAt).first;
  it->second = std::max(it->second, aAt);
}

std::optional<TimePoint>
Confirmation::ConfirmedAt() const
{
  std::optional<TimePoint> latest;
  for (const auto& [version, at] : mReads) {
    if (version <= mInForce && (!latest || at > *latest)) {
      latest = at;
    }
  }
  return latest;
}

bool
Confirmation::IsSettled() const
{
  const auto at = ConfirmedAt();
  return mInForce > ConfigVersion() && at && *at - mStart >= mSettings.mSettleTime;
}

bool
Confirmation::IsRecent(const std::optional<TimePoint>& aAt, TimePoint aNow) const
{
  return aAt && aNow - *aAt < mSettings.mReadValidity;
}

bool
Confirmation::MayServeDuringOutage(TimePoint aNow, std::size_t aKnown,
                                   ConfigVersion aOpenPromise) const
{
  if (!IsSettled() || aOpenPromise > mInForce || mHighestKnownVersion > mInForce) {
    return false;
  }
  std::size_t counted = 1;
  for (const auto& [node, received] : mReports) {
    if (aNow - received.mSent >= mSettings.mReportValidity) {
      continue;
    }
    const auto& report = received.mReport;
    // The node that accepted a change, or the members that promised it, may be reachable only from
    // this member, so one open promise or one confirmed member is enough to stop.
    if (report.mOpenPromise > mInForce || IsMemberConfirmed(node, aNow)) {
      return false;
    }
    counted += report.mSettled ? 1 : 0;
  }
  return 2 * counted > aKnown;
}

} // namespace lovagerock::configstore
