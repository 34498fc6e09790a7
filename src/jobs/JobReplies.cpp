#include "jobs/JobReplies.h"

#include "jobs/JobError.h"

#include <algorithm>
#include <charconv>

namespace lovagerock::jobs {

namespace detail {
namespace {

constexpr const char* kRetryAfterSeconds = "1";

template<typename Number>
std::optional<Number>
ParseNumber(const std::string& aText)
{
  Number number{};
  const auto* last = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), last, number);
  if (aText.empty() || result.ec != std::errc() || result.ptr != last) {
    return std::nullopt;
  }
  return number;
}

} // namespace
} // namespace detail

std::string
DescribeJob(const JobRecord& aRecord)
{
  Json json{
    { "job", aRecord.mJob.Value() },         { "state", JobStateName(aRecord.mState) },
    { "tasks", aRecord.mSpec.mTasks },       { "attempt", aRecord.mAttempt },
    { "ran", RanName(aRecord.mRan) },        { "cancel_requested", aRecord.mCancelRequested },
    { "submitted_ms", aRecord.mSubmittedMs }
  };
  if (aRecord.IsDone()) {
    json["ended_ms"] = aRecord.mEndedMs;
  }
  if (!aRecord.mError.empty()) {
    json["error"] = aRecord.mError;
  }
  if (!aRecord.mAnswers.empty()) {
    json["answers"] = Json::array();
    for (const auto& it : aRecord.mAnswers) {
      json["answers"].push_back({ { "bytes", it.mBytes } });
    }
  }
  return DumpJson(json);
}

http::Response
RefuseJob(int aStatus, std::string_view aError, std::string_view aMessage, std::string_view aRan,
          bool aRetry)
{
  const Json json{
    { "error", aError }, { "message", aMessage }, { "ran", aRan }, { "retry", aRetry }
  };
  http::Headers headers;
  if (aRetry) {
    headers.Add("Retry-After", detail::kRetryAfterSeconds);
  }
  return http::JsonResponse(aStatus, DumpJson(json), headers);
}

http::Response
RefuseUnauthorized()
{
  return RefuseJob(401, "unauthorized", "the bearer token is missing or unknown", "no", false);
}

http::Response
RefuseSpec(const std::vector<SpecProblem>& aProblems)
{
  Json json{ { "error", "invalid_job" },
             { "message", "the job is not valid JSON or has invalid fields" },
             { "ran", "no" },
             { "retry", false },
             { "problems", Json::array() } };
  for (const auto& it : aProblems) {
    json["problems"].push_back({ { "field", it.mField }, { "message", it.mMessage } });
  }
  return http::JsonResponse(400, DumpJson(json));
}

http::Response
RefuseForError(std::error_code aError, std::string_view aRan)
{
  if (aError == make_error_code(JobError::NotFound)) {
    return RefuseJob(404, "unknown_job", aError.message(), "unknown", false);
  }
  if (aError == make_error_code(JobError::KeyReused)) {
    return RefuseJob(422, "key_reused", aError.message(), "unknown", false);
  }
  if (aError == make_error_code(JobError::Conflict)) {
    return RefuseJob(409, "conflict", aError.message(), "unknown", true);
  }
  if (aError == make_error_code(JobError::StoreUnavailable)) {
    return RefuseJob(503, "store_unavailable", aError.message(), aRan, true);
  }
  if (aError == make_error_code(JobError::OutcomeUnknown)) {
    // A retry with the same key is safe: it finds the job if it was accepted.
    return RefuseJob(504, "outcome_unknown", aError.message(), "unknown", true);
  }
  return RefuseJob(500, "internal", aError.message(), "unknown", false);
}

Duration
ReadWait(const std::string& aText, Duration aMax)
{
  const auto wait = Duration(detail::ParseNumber<std::int64_t>(aText).value_or(0));
  return std::clamp(wait, Duration(0), aMax);
}

std::optional<int>
ReadTask(const std::string& aText, int aTasks)
{
  if (aText.empty()) {
    return aTasks == 1 ? std::optional(0) : std::nullopt;
  }
  const auto task = detail::ParseNumber<int>(aText);
  return task && *task >= 0 && *task < aTasks ? task : std::nullopt;
}

} // namespace lovagerock::jobs
