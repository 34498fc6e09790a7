#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "configstore/MemberReport.h"

#include <cstddef>
#include <map>
#include <optional>

namespace lovagerock::configstore {

// Whether a node knows that its configuration is current.
enum class ConfirmationState
{
  // No configuration yet.
  None,
  // The newest direct read of the head, by this node or in a report of the member that read it, is
  // recent enough and shows no version above the one in force.
  Confirmed,
  // The key-value service is down for a majority of the members, and no change can have been
  // accepted without one of them knowing. The node may go on accepting work.
  ServiceDown,
  // A change may have been accepted that this node does not know of.
  Isolated
};

const char*
ToString(ConfirmationState aState);

// Time limits of Confirmation.
struct ConfirmationSettings
{
  // The time for which a read of the head keeps the node confirmed.
  Duration mReadValidity{ 8000 };
  // A member's report counts while the heartbeat that it answered was sent within this time.
  Duration mReportValidity{ 3000 };
  // The settle time of PromiseTable. Promises that a node gave before a restart, and no longer
  // knows of, are settled after it, too.
  Duration mSettleTime{ 10000 };
};

// Determines whether the configuration in force on this node is confirmed as current. Ages are
// computed at each use from the given monotonic time, so that a process that was paused does not
// count as confirmed when it resumes.
class Confirmation
{
public:
  Confirmation(const ConfirmationSettings& aSettings, TimePoint aStart);

  // Sets the version in force; lower versions are ignored.
  void SetInForce(ConfigVersion aVersion);
  // Records that this node read the head; the read began at aSent.
  void NoteDirectRead(ConfigVersion aVersion, TimePoint aSent);
  // Records the report in the answer to a heartbeat that was sent at aSent.
  void NoteReport(const NodeId& aMember, const MemberReport& aReport, TimePoint aSent);

  // aKnown is the number of known members, this node included; aOpenPromise is the highest version
  // that this node promised and whose outcome it does not know.
  ConfirmationState State(TimePoint aNow, std::size_t aKnown, ConfigVersion aOpenPromise) const;
  // Whether this node was confirmed by a read that began at least the settle time after its start.
  bool IsSettled() const;
  // Fills in this node's ages and mSettled.
  void FillReport(MemberReport& aReport, TimePoint aNow) const;
  // Returns the last report of a member; null if there is none. Reports are dropped after an hour.
  const MemberReport* ReportOf(const NodeId& aMember) const;
  // Whether a member was confirmed by its last report.
  bool IsMemberConfirmed(const NodeId& aMember, TimePoint aNow) const;
  // Returns the highest version that this node read or that a member reported.
  ConfigVersion HighestKnownVersion() const { return mHighestKnownVersion; }

private:
  struct ReceivedReport
  {
    MemberReport mReport;
    TimePoint mSent;
  };

  void NoteRead(ConfigVersion aVersion, TimePoint aAt);
  // Returns the start of the newest read that showed no version above the one in force.
  std::optional<TimePoint> ConfirmedAt() const;
  bool IsRecent(const std::optional<TimePoint>& aAt, TimePoint aNow) const;
  bool MayServeDuringOutage(TimePoint aNow, std::size_t aKnown, ConfigVersion aOpenPromise) const;

  ConfirmationSettings mSettings;
  TimePoint mStart;
  ConfigVersion mInForce;
  ConfigVersion mHighestKnownVersion;
  std::optional<TimePoint> mDirectAt;
  ConfigVersion mDirectVersion;
  // The newest read that showed each version. Versions below the one in force are merged into it,
  // because all of them show that no higher version was accepted before.
  std::map<ConfigVersion, TimePoint> mReads;
  std::map<NodeId, ReceivedReport> mReports;
};

} // namespace lovagerock::configstore
