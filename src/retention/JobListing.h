#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "retention/Deletion.h"
#include "retention/FirstSeen.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::retention {

// The answer pieces and job records of all regions, as listed by one run. The pieces must be listed
// before the live records and those before the done ones: then the record of a job that moves
// meanwhile is always among them. Values aren't kept.
class JobListing
{
public:
  void AddPieces(const std::vector<kv::Entry>& aEntries);
  void AddLive(const std::vector<kv::Entry>& aEntries);
  void AddDone(const std::vector<kv::Entry>& aEntries);

  // The region's expired done jobs, each with its pieces before its record, and then the pieces
  // that no record has referred to for as long as the limit. Records and pieces without a time
  // count from when they were first seen.
  std::vector<Deletion>
  FindExpired(const RegionId& aRegion, Duration aLimit, std::int64_t aNow, FirstSeen& aSeen);

private:
  struct Piece
  {
    std::string mKey;
    kv::ModifyIndex mModifyIndex = 0;
    std::optional<int> mAttempt;
  };

  struct Record
  {
    std::string mKey;
    kv::ModifyIndex mModifyIndex = 0;
    bool mLive = false;
    // Nothing if the record is damaged; it then refers to all attempts.
    std::optional<int> mAttempt;
    std::int64_t mEndedMs = 0;
    bool mExpired = false;
  };

  struct Job
  {
    std::vector<Piece> mPieces;
    std::vector<Record> mRecords;
  };

  void AddRecords(const std::vector<kv::Entry>& aEntries, bool aLive);
  static bool RefersTo(const Record& aRecord, const Piece& aPiece);

  std::map<std::string, Job, std::less<>> mJobs;
};

} // namespace lovagerock::retention
