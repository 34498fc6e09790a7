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
  // A direct read of the head, by this node or told by its reader, is recent enough.
  Confirmed,
  // The service is down for a majority of the members, and no change can have been accepted without
  // one of them knowing.
  ServiceDown,
  // A change may have been accepted that this node does not know.
  Isolated
};

const char*
ToString(ConfirmationState aState);

// Time limits of the confirmation.
struct ConfirmationSettings
{
  // A read of the head confirms for this time.
  Duration mConfirmedFor{ 8000 };
  // A member is heard while its last answer was to a heartbeat sent within this time.
  Duration mHeardFor{ 3000 };
  // See PromiseTable; promises from before a restart are settled after this time, too.
  Duration mSettleTime{ 10000 };
};

// Decides whether this node is confirmed. Ages are computed at each use from the given monotonic
// time, so that a paused node does not count as confirmed when it wakes.
class Confirmation
{
public:
  Confirmation(const ConfirmationSettings& aSettings, TimePoint aStart);

  // The version in force; never goes down.
  void SetInForce(ConfigVersion aVersion);
  // This node read the head by a read that began at aSent.
  void NoteDirectRead(ConfigVersion aVersion, TimePoint aSent);
  // A member answered a heartbeat that was sent at aSent.
  void NoteReport(const NodeId& aMember, const MemberReport& aReport, TimePoint aSent);

  // aKnown: number of known members with this node. aOpenPromise: this node's own.
  ConfirmationState State(TimePoint aNow, std::size_t aKnown, ConfigVersion aOpenPromise) const;
  // Whether a read that began the settle time after the start, or later, has confirmed this node.
  bool IsSettled() const;
  // Fills in this node's ages and mSettled.
  void FillReport(MemberReport& aReport, TimePoint aNow) const;
  // The last report of a member; null if there is none within an hour.
  const MemberReport* ReportOf(const NodeId& aMember) const;
  // Whether a member was confirmed by its last report.
  bool IsMemberConfirmed(const NodeId& aMember, TimePoint aNow) const;
  // The highest version that this node read or that a member had in force or read.
  ConfigVersion HighestHeard() const { return mHighestHeard; }

private:
  struct Received
  {
    MemberReport mReport;
    TimePoint mSent;
  };

  void NoteRead(ConfigVersion aVersion, TimePoint aAt);
  // When the head was last read with a version that is not above the one in force.
  std::optional<TimePoint> ConfirmedAt() const;
  bool IsRecent(const std::optional<TimePoint>& aAt, TimePoint aNow) const;
  bool MayGoOn(TimePoint aNow, std::size_t aKnown, ConfigVersion aOpenPromise) const;

  ConfirmationSettings mSettings;
  TimePoint mStart;
  ConfigVersion mInForce;
  ConfigVersion mHighestHeard;
  std::optional<TimePoint> mDirectAt;
  ConfigVersion mDirectVersion;
  // The newest read that showed each version. Versions below the one in force are merged into it,
  // because all of them show that no higher version was accepted before.
  std::map<ConfigVersion, TimePoint> mReads;
  std::map<NodeId, Received> mReports;
};

} // namespace lovagerock::configstore
