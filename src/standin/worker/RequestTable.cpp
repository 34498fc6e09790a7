#include "standin/worker/RequestTable.h"

#include "base/Json.h"
#include "standin/worker/LeaseTable.h"
#include "standin/worker/TaskSpec.h"

#include <algorithm>

namespace lovagerock::standin {

using workers::RequestPhase;

namespace detail {
namespace {

RequestResult
Refusal(bool aNotRun, const char* aError)
{
  return { 503, aNotRun, std::string(R"({"error":")") + aError + R"("})" };
}

// The member "token" of a JSON body; empty if there is none.
std::string
TokenOf(const std::string& aBody)
{
  const auto json = ParseJson(aBody);
  return json ? JsonValue(*json, "token", std::string()) : std::string();
}

} // namespace
} // namespace detail

RequestTable::RequestTable(Admit aAdmit, Leave aLeave, Observer aObserver,
                           const RequestLimits& aLimits)
  : mAdmit(std::move(aAdmit))
  , mLeave(std::move(aLeave))
  , mObserver(std::move(aObserver))
  , mLimits(aLimits)
{
}

RequestResult
RequestTable::Plan(const std::string& aBody, Duration& aRun) const
{
  // A body of another form is data, which is echoed at once.
  const auto spec = ReadTaskSpec(aBody).value_or(TaskSpec());
  aRun = mFailAll ? Duration(0) : spec.mRun;
  if (mFailAll || spec.mFail) {
    return { 500, std::nullopt, R"({"error":"failed"})" };
  }
  return { 200, std::nullopt, spec.mAnswer.value_or(aBody) };
}

void
RequestTable::Begin(const RequestId& aId, const LeaseId& aLease, const ServiceId& aService,
                    const std::string& aBody, Duration aTimeout, TimePoint aNow, Reply aReply)
{
  Advance(aNow);
  if (const auto it = mTombstones.find(aId); it != mTombstones.end()) {
    aReply(detail::Refusal(!it->second, "tombstone"));
    return;
  }
  if (const auto it = mEntries.find(aId); it != mEntries.end()) {
    if (it->second.mDone) {
      aReply(it->second.mResult);
    } else {
      it->second.mReplies.push_back(std::move(aReply));
    }
    return;
  }
  if (!mAdmit(aLease, aService)) {
    aReply(detail::Refusal(true, "busy"));
    return;
  }
  auto& entry = mEntries[aId];
  Duration run{ 0 };
  entry.mLease = aLease;
  entry.mResult = Plan(aBody, run);
  entry.mEnds = aNow + run;
  entry.mTimeout = aNow + aTimeout;
  entry.mReplies.push_back(std::move(aReply));
  mDue.emplace(std::min(entry.mEnds, entry.mTimeout), aId);
  ++mRunning;
  mObserver({ aId, aLease, true, {}, detail::TokenOf(aBody) });
  Advance(aNow);
}

void
RequestTable::Finish(const RequestId& aId, Entry& aEntry, RequestResult aResult, TimePoint aNow)
{
  aEntry.mDone = true;
  aEntry.mResult = std::move(aResult);
  mKeptBytes += aEntry.mResult.mBody.size();
  mKept.emplace_back(aNow + kAnswerTime, aId);
  --mRunning;
  const auto due = mDue.equal_range(std::min(aEntry.mEnds, aEntry.mTimeout));
  const auto it =
    std::find_if(due.first, due.second, [&aId](const auto& aItem) { return aItem.second == aId; });
  if (it != due.second) {
    mDue.erase(it);
  }
  const auto& result = aEntry.mResult;
  mObserver({ aId,
              aEntry.mLease,
              false,
              result.mStatus == 200   ? "done"
              : result.mStatus == 503 ? "cancelled"
                                      : "failed",
              {} });
  mLeave(aEntry.mLease);
  for (const auto& reply : std::exchange(aEntry.mReplies, {})) {
    reply(result);
  }
}

void
RequestTable::Cancel(const RequestId& aId, Entry& aEntry, TimePoint aNow)
{
  Finish(aId, aEntry, detail::Refusal(false, "cancelled"), aNow);
}

RequestPhase
RequestTable::Find(const RequestId& aId) const
{
  if (const auto it = mEntries.find(aId); it != mEntries.end()) {
    return it->second.mDone ? RequestPhase::Done : RequestPhase::Running;
  }
  const auto it = mTombstones.find(aId);
  return it != mTombstones.end() && it->second ? RequestPhase::Done : RequestPhase::Unknown;
}

std::optional<RequestResult>
RequestTable::Answer(const RequestId& aId) const
{
  const auto it = mEntries.find(aId);
  return it != mEntries.end() && it->second.mDone ? std::optional(it->second.mResult)
                                                  : std::nullopt;
}

void
RequestTable::AddTombstone(const RequestId& aId, bool aRan, TimePoint aNow)
{
  if (mTombstones.emplace(aId, aRan).second) {
    mTombstoneOrder.emplace_back(aNow + kTombstoneTime, aId);
  }
}

void
RequestTable::Forget(const RequestId& aId, TimePoint aNow)
{
  const auto it = mEntries.find(aId);
  if (it == mEntries.end() || !it->second.mDone) {
    return;
  }
  mKeptBytes -= it->second.mResult.mBody.size();
  mEntries.erase(it);
  AddTombstone(aId, true, aNow);
}

RequestPhase
RequestTable::RefuseUnknown(const RequestId& aId, TimePoint aNow)
{
  Advance(aNow);
  const auto phase = Find(aId);
  if (phase == RequestPhase::Unknown) {
    AddTombstone(aId, false, aNow);
  }
  return phase;
}

RequestPhase
RequestTable::Drop(const RequestId& aId, TimePoint aNow)
{
  const auto phase = RefuseUnknown(aId, aNow);
  if (phase == RequestPhase::Unknown) {
    return phase;
  }
  if (const auto it = mEntries.find(aId); phase == RequestPhase::Running) {
    Cancel(aId, it->second, aNow);
  }
  Forget(aId, aNow);
  return phase;
}

void
RequestTable::CancelLease(const LeaseId& aLease, TimePoint aNow)
{
  std::vector<RequestId> ids;
  for (const auto& [id, entry] : mEntries) {
    if (!entry.mDone && entry.mLease == aLease) {
      ids.push_back(id);
    }
  }
  for (const auto& it : ids) {
    Cancel(it, mEntries[it], aNow);
  }
}

void
RequestTable::Advance(TimePoint aNow)
{
  while (!mDue.empty() && mDue.begin()->first <= aNow) {
    const auto id = mDue.begin()->second;
    auto& entry = mEntries[id];
    if (entry.mEnds <= entry.mTimeout) {
      Finish(id, entry, std::move(entry.mResult), aNow);
    } else {
      Cancel(id, entry, aNow);
    }
  }
  while (!mKept.empty() && (mKept.front().first <= aNow || mKeptBytes > mLimits.mAnswerBytes)) {
    Forget(mKept.front().second, aNow);
    mKept.pop_front();
  }
  while (!mTombstoneOrder.empty() &&
         (mTombstoneOrder.front().first <= aNow || mTombstones.size() > mLimits.mTombstones)) {
    mTombstones.erase(mTombstoneOrder.front().second);
    mTombstoneOrder.pop_front();
  }
}

std::optional<TimePoint>
RequestTable::NextDue() const
{
  return mDue.empty() ? std::nullopt : std::optional(mDue.begin()->first);
}

} // namespace lovagerock::standin
