#include "load/JobClient.h"

#include "load/Payload.h"
#include "load/TraceFields.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lovagerock::load {

namespace detail {
namespace {

constexpr Duration kWait{ 5000 };
constexpr const char* kFinishedState = "finished";
constexpr const char* kStateOfLost = "lost";

bool
IsEndState(const std::string& aState)
{
  return aState == kFinishedState || aState == "failed" || aState == "cancelled" ||
         aState == "interrupted";
}

Json
JobBody(const JobPlan& aPlan, const std::vector<std::string>& aPayloads)
{
  return { { "tasks", aPlan.mTasks },
           { "resources", { { "slots", 1 }, { "accelerators", aPlan.mAccelerators } } },
           { "adjacency", AdjacencyName(aPlan.mAdjacency) },
           { "urgent", aPlan.mUrgent },
           { "idempotent", aPlan.mIdempotent },
           { "estimated_ms", aPlan.mEstimate.count() },
           { "payloads", aPayloads } };
}

} // namespace
} // namespace detail

struct JobClient::Job
{
  JobPlan mPlan;
  Done mDone;
  std::string mKey;
  std::string mId;
  std::string mState;
  std::vector<std::string> mPayloads;
  int mAnswers = 0;
  // From the intended submission to the last state seen.
  std::chrono::microseconds mTime{ 0 };
};

JobClient::JobClient(Session& aSession)
  : mSession(aSession)
{
}

void
JobClient::Run(const JobPlan& aPlan, Done aDone)
{
  auto job = std::make_shared<Job>();
  job->mPlan = aPlan;
  job->mDone = std::move(aDone);
  job->mKey = mSession.NextToken();
  for (int i = 0; i < aPlan.mTasks; ++i) {
    job->mPayloads.push_back(MakePayload(job->mKey + "/" + std::to_string(i), aPlan.mRunTime, 0));
  }
  auto call = mSession.NewCall(http::Method::Post, "/v1/jobs", aPlan.mBearer);
  call.mHeaders.Add("Idempotency-Key", job->mKey);
  call.mHeaders.Add("Content-Type", "application/json");
  call.mBody = DumpJson(detail::JobBody(aPlan, job->mPayloads));
  call.mReplayable = true;
  mSession.mCaller.Call(std::move(call),
                        [this, job](const CallResult& aResult) { OnSubmitted(job, aResult); });
}

CallSpec
JobClient::NewCall(const JobPtr& aJob, http::Method aMethod, const std::string& aSuffix) const
{
  auto call = mSession.NewCall(aMethod, "/v1/jobs/" + http::EncodeComponent(aJob->mId) + aSuffix,
                               aJob->mPlan.mBearer);
  call.mReplayable = true;
  return call;
}

void
JobClient::OnSubmitted(const JobPtr& aJob, const CallResult& aResult)
{
  mSession.mJobs.AddRetries(static_cast<std::int64_t>(aResult.mAttempts.size()) - 1);
  if (aResult.mEnd != CallResult::End::Answered) {
    End(aJob, aResult.IsNotRun() ? Outcome::Refused : Outcome::Unknown, aResult.mError);
    return;
  }
  const auto json = ParseJson(aResult.mResponse.mBody).value_or(Json());
  aJob->mId = JsonValue(json, "job", std::string());
  if (aJob->mId.empty()) {
    End(aJob, Outcome::Wrong, "no_job_id");
    return;
  }
  Wait(aJob);
}

void
JobClient::Wait(const JobPtr& aJob)
{
  auto call = NewCall(aJob, http::Method::Get, "?wait_ms=" + std::to_string(detail::kWait.count()));
  // Outages of the store may be long; the limit of the job ends the waiting.
  call.mGiveUp = aJob->mPlan.mLimit;
  call.mAttemptTime = detail::kWait * 2;
  mSession.mCaller.Call(std::move(call),
                        [this, aJob](const CallResult& aResult) { OnState(aJob, aResult); });
}

void
JobClient::OnState(const JobPtr& aJob, const CallResult& aResult)
{
  const auto now = std::chrono::steady_clock::now();
  aJob->mTime = std::chrono::duration_cast<std::chrono::microseconds>(now - aJob->mPlan.mIntended);
  if (aResult.mEnd != CallResult::End::Answered) {
    End(aJob, Outcome::Lost, aResult.mError);
    return;
  }
  const auto json = ParseJson(aResult.mResponse.mBody).value_or(Json());
  aJob->mState = JsonValue(json, "state", std::string());
  if (JsonValue(json, "job", std::string()) != aJob->mId) {
    End(aJob, Outcome::Wrong, "other_job");
  } else if (aJob->mState == detail::kFinishedState) {
    FetchNext(aJob);
  } else if (detail::IsEndState(aJob->mState)) {
    Delete(aJob);
  } else if (now > aJob->mPlan.mIntended + aJob->mPlan.mLimit) {
    End(aJob, Outcome::Lost, "not_ended");
  } else {
    Wait(aJob);
  }
}

void
JobClient::FetchNext(const JobPtr& aJob)
{
  if (aJob->mAnswers == aJob->mPlan.mTasks) {
    Delete(aJob);
    return;
  }
  auto call = NewCall(aJob, http::Method::Get, "/answer?task=" + std::to_string(aJob->mAnswers));
  mSession.mCaller.Call(std::move(call),
                        [this, aJob](const CallResult& aResult) { OnAnswer(aJob, aResult); });
}

void
JobClient::OnAnswer(const JobPtr& aJob, const CallResult& aResult)
{
  if (aResult.mEnd != CallResult::End::Answered) {
    End(aJob, Outcome::Lost, aResult.mError);
    return;
  }
  const auto& expected = aJob->mPayloads[static_cast<std::size_t>(aJob->mAnswers)];
  const auto outcome = CheckAnswer(expected, aResult.mResponse.mBody);
  if (outcome != Outcome::Ok) {
    End(aJob, outcome, "answer_of_task");
    return;
  }
  ++aJob->mAnswers;
  FetchNext(aJob);
}

void
JobClient::Delete(const JobPtr& aJob)
{
  const bool finished = aJob->mState == detail::kFinishedState;
  const auto outcome = finished ? Outcome::Ok : Outcome::Unknown;
  mSession.mCaller.Call(NewCall(aJob, http::Method::Delete, ""),
                        [this, aJob, outcome, finished](const CallResult&) {
                          // A failed deletion harms nobody: the answer is dropped after 7 days.
                          End(aJob, outcome, finished ? "" : "job_" + aJob->mState);
                        });
}

void
JobClient::End(const JobPtr& aJob, Outcome aOutcome, const std::string& aError)
{
  mSession.mJobs.Add(aOutcome, aError, aJob->mTime);
  if (aJob->mState.empty()) {
    aJob->mState = aOutcome == Outcome::Refused ? "refused" : detail::kStateOfLost;
  }
  Json line{ { client_trace::kKind, client_trace::kJobKind },
             { client_trace::kKey, aJob->mKey },
             { client_trace::kToken, aJob->mKey },
             { client_trace::kIdempotent, aJob->mPlan.mIdempotent },
             { client_trace::kOutcome, OutcomeName(aOutcome) },
             { client_trace::kError, aError },
             { client_trace::kTasks, aJob->mPlan.mTasks },
             { client_trace::kState, aJob->mState },
             { client_trace::kAnswers, aJob->mAnswers },
             { client_trace::kLatency, aJob->mTime.count() } };
  if (!aJob->mId.empty()) {
    line[client_trace::kJob] = aJob->mId;
  }
  mSession.mLog.Write(line);
  aJob->mDone(aJob->mState, aJob->mTime);
}

} // namespace lovagerock::load
