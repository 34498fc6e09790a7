#include "jobs/JobRecord.h"

#include "base/Hash.h"

namespace lovagerock::jobs {

namespace detail {
namespace {

Json
PlacementJson(const TaskPlacement& aPlacement)
{
  return { { "worker", aPlacement.mWorker.Value() },
           { "address", aPlacement.mAddress.ToString() },
           { "guaranteed", aPlacement.mGuaranteed } };
}

TaskPlacement
ReadPlacement(const Json& aJson)
{
  TaskPlacement placement;
  placement.mWorker = WorkerId(JsonValue<std::string>(aJson, "worker", ""));
  placement.mAddress =
    SocketAddress::Parse(JsonValue<std::string>(aJson, "address", "")).value_or(SocketAddress());
  placement.mGuaranteed = JsonValue(aJson, "guaranteed", false);
  return placement;
}

AnswerInfo
ReadAnswerInfo(const Json& aJson)
{
  return { JsonValue<std::int64_t>(aJson, "bytes", 0), JsonValue(aJson, "pieces", 0),
           JsonValue<std::uint64_t>(aJson, "hash", 0) };
}

std::optional<JobState>
ParseState(std::string_view aText)
{
  for (const auto it : { JobState::Pending, JobState::Started, JobState::Finished, JobState::Failed,
                         JobState::Cancelled, JobState::Interrupted }) {
    if (aText == JobStateName(it)) {
      return it;
    }
  }
  return std::nullopt;
}

Ran
ParseRan(std::string_view aText)
{
  for (const auto it : { Ran::No, Ran::Yes }) {
    if (aText == RanName(it)) {
      return it;
    }
  }
  return Ran::Partly;
}

// Reads the array members that WriteJobRecord() writes.
void
ReadArrays(const Json& aJson, JobRecord& aRecord)
{
  for (const auto& it : JsonValue(aJson, "placements", Json::array())) {
    aRecord.mPlacements.push_back(ReadPlacement(it));
  }
  for (const auto& it : JsonValue(aJson, "answers", Json::array())) {
    aRecord.mAnswers.push_back(ReadAnswerInfo(it));
  }
  aRecord.mCheckpoints = JsonValue(aJson, "checkpoints", std::vector<std::string>());
  for (const auto& it : JsonValue(aJson, "failed_workers", std::vector<std::string>())) {
    aRecord.mFailedWorkers.emplace_back(it);
  }
}

} // namespace
} // namespace detail

bool
JobRecord::IsDone() const
{
  return mState != JobState::Pending && mState != JobState::Started;
}

std::string_view
JobStateName(JobState aState)
{
  switch (aState) {
    case JobState::Pending:
      return "pending";
    case JobState::Started:
      return "started";
    case JobState::Finished:
      return "finished";
    case JobState::Failed:
      return "failed";
    case JobState::Cancelled:
      return "cancelled";
    case JobState::Interrupted:
      return "interrupted";
  }
  return "pending";
}

std::string_view
RanName(Ran aRan)
{
  switch (aRan) {
    case Ran::No:
      return "no";
    case Ran::Partly:
      return "partly";
    case Ran::Yes:
      return "yes";
  }
  return "partly";
}

LeaseId
TaskLeaseId(const JobRecord& aRecord, int aTask)
{
  return LeaseId(aRecord.mJob.Value() + "." + aRecord.mStartToken + "." + std::to_string(aTask));
}

JobId
MakeJobId(const AccountId& aAccount, std::string_view aIdempotencyKey)
{
  // 128 bits of a cryptographic hash, so that an account can neither guess nor collide with the job
  // ids of another.
  constexpr std::size_t kIdLength = 32;
  std::string text = aAccount.Value();
  text += '\n';
  text += aIdempotencyKey;
  return JobId("j-" + Sha256Hex(text).substr(0, kIdLength));
}

std::string
WriteJobRecord(const JobRecord& aRecord)
{
  Json json{ { "job", aRecord.mJob.Value() },
             { "region", aRecord.mRegion.Value() },
             { "account", aRecord.mAccount.Value() },
             { "spec", aRecord.mSpec },
             { "digest", aRecord.mDigest },
             { "submitted_ms", aRecord.mSubmittedMs },
             { "ended_ms", aRecord.mEndedMs },
             { "state", JobStateName(aRecord.mState) },
             { "attempt", aRecord.mAttempt },
             { "start", aRecord.mStartToken },
             { "cancel_requested", aRecord.mCancelRequested },
             { "ran", RanName(aRecord.mRan) },
             { "error", aRecord.mError },
             { "checkpoints", aRecord.mCheckpoints },
             { "write", aRecord.mWriteToken } };
  json["placements"] = Json::array();
  for (const auto& it : aRecord.mPlacements) {
    json["placements"].push_back(detail::PlacementJson(it));
  }
  json["failed_workers"] = Json::array();
  for (const auto& it : aRecord.mFailedWorkers) {
    json["failed_workers"].push_back(it.Value());
  }
  json["answers"] = Json::array();
  for (const auto& it : aRecord.mAnswers) {
    json["answers"].push_back(
      { { "bytes", it.mBytes }, { "pieces", it.mPieces }, { "hash", it.mHash } });
  }
  return DumpJson(json);
}

std::optional<JobRecord>
ReadJobRecord(const kv::Entry& aEntry)
{
  const auto json = ParseJson(aEntry.mValue);
  if (!json || !json->is_object()) {
    return std::nullopt;
  }
  const auto state = detail::ParseState(JsonValue<std::string>(*json, "state", ""));
  std::vector<SpecProblem> problems;
  const auto spec = ReadJobSpec(JsonValue(*json, "spec", Json::object()), problems);
  JobRecord record;
  record.mJob = JobId(JsonValue<std::string>(*json, "job", ""));
  if (!state || !spec || record.mJob.IsEmpty()) {
    return std::nullopt;
  }
  record.mState = *state;
  record.mSpec = *spec;
  record.mRegion = RegionId(JsonValue<std::string>(*json, "region", ""));
  record.mAccount = AccountId(JsonValue<std::string>(*json, "account", ""));
  record.mDigest = JsonValue<std::uint64_t>(*json, "digest", 0);
  record.mSubmittedMs = JsonValue<std::int64_t>(*json, "submitted_ms", 0);
  record.mEndedMs = JsonValue<std::int64_t>(*json, "ended_ms", 0);
  record.mAttempt = JsonValue(*json, "attempt", 0);
  record.mStartToken = JsonValue<std::string>(*json, "start", "");
  record.mCancelRequested = JsonValue(*json, "cancel_requested", false);
  record.mRan = detail::ParseRan(JsonValue<std::string>(*json, "ran", ""));
  record.mError = JsonValue<std::string>(*json, "error", "");
  record.mWriteToken = JsonValue<std::string>(*json, "write", "");
  record.mModifyIndex = aEntry.mModifyIndex;
  detail::ReadArrays(*json, record);
  return record;
}

} // namespace lovagerock::jobs
