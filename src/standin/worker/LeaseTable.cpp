#include "standin/worker/LeaseTable.h"

#include <algorithm>
#include <charconv>

namespace lovagerock::standin {

using workers::LeaseKind;
using workers::LeasePhase;
using workers::WorkerError;

namespace detail {
namespace {

// Whether a lease in this phase occupies its resources.
bool
HoldsCapacity(LeasePhase aPhase)
{
  return aPhase == LeasePhase::Reserved || aPhase == LeasePhase::Running ||
         aPhase == LeasePhase::Stopping;
}

bool
IsActive(LeasePhase aPhase)
{
  return aPhase == LeasePhase::Running || aPhase == LeasePhase::Stopping;
}

// A checkpoint is the progress in milliseconds as text.
Duration
ReadCheckpoint(const std::string& aText)
{
  std::int64_t n = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), n);
  return Duration(n);
}

void
Lower(std::optional<TimePoint>& aDue, const std::optional<TimePoint>& aOther)
{
  if (aOther && (!aDue || *aOther < *aDue)) {
    aDue = aOther;
  }
}

} // namespace
} // namespace detail

LeaseTable::LeaseTable(const Resources& aCapacity, Observer aObserver)
  : mCapacity(aCapacity)
  , mObserver(std::move(aObserver))
{
}

std::error_code
LeaseTable::CheckFence(const workers::Fence& aFence)
{
  if (aFence < mFence) {
    return WorkerError::Fenced;
  }
  if (mFence < aFence) {
    mFence = aFence;
    ++mSequence;
  }
  return {};
}

LeaseTable::Lease*
LeaseTable::Find(const LeaseId& aId)
{
  const auto it = mLeases.find(aId);
  return it == mLeases.end() ? nullptr : &it->second;
}

Resources
LeaseTable::Free() const
{
  auto available = mCapacity;
  for (const auto& [id, lease] : mLeases) {
    if (detail::HoldsCapacity(lease.mState.mPhase)) {
      available -= lease.mState.mResources;
    }
  }
  return available;
}

std::error_code
LeaseTable::Put(const workers::LeaseRequest& aRequest, TimePoint aNow, workers::LeaseState& aLease)
{
  Advance(aNow);
  if (const auto ec = CheckFence(aRequest.mFence)) {
    return ec;
  }
  if (auto* lease = Find(aRequest.mLease)) {
    aLease = lease->mState;
    aLease.mExpiresIn =
      std::max(Duration(0), std::chrono::duration_cast<Duration>(lease->mExpires - aNow));
    return {};
  }
  if (mTombstones.contains(aRequest.mLease)) {
    return WorkerError::Tombstone;
  }
  if (mLeaving) {
    return WorkerError::Leaving;
  }
  if (!aRequest.mResources.FitsInto(Free())) {
    return WorkerError::NoCapacity;
  }
  auto& lease = mLeases[aRequest.mLease];
  lease.mState = { aRequest.mLease,      aRequest.mKind,       LeasePhase::Reserved,
                   aRequest.mResources,  aRequest.mTtl,        aRequest.mReclaimable,
                   aRequest.mIdempotent, aRequest.mAccount,    aRequest.mService,
                   aRequest.mJob,        aRequest.mTask,       aRequest.mTasks,
                   aRequest.mAttempt,    aRequest.mCheckpoint, {} };
  lease.mPayload = aRequest.mPayload;
  lease.mExpires = aNow + aRequest.mTtl;
  ++mSequence;
  aLease = lease.mState;
  return {};
}

void
LeaseTable::Notify(LeaseEvent::Kind aKind, const Lease& aLease) const
{
  if (mObserver) {
    mObserver({ aKind, aLease.mState });
  }
}

void
LeaseTable::Begin(Lease& aLease, TimePoint aNow)
{
  aLease.mState.mPhase = LeasePhase::Running;
  ++mSequence;
  Notify(LeaseEvent::Kind::Started, aLease);
  if (aLease.mState.mKind == LeaseKind::Service) {
    return;
  }
  const auto spec = ReadTaskSpec(aLease.mPayload);
  if (!spec || mFailAll) {
    End(aLease, LeasePhase::Failed, spec ? "injected failure" : "malformed payload");
    return;
  }
  aLease.mSpec = *spec;
  aLease.mRunner.emplace(spec->mRun, detail::ReadCheckpoint(aLease.mState.mCheckpoint), aNow);
}

void
LeaseTable::End(Lease& aLease, LeasePhase aPhase, const std::string& aError)
{
  const bool active = detail::IsActive(aLease.mState.mPhase);
  aLease.mState.mPhase = aPhase;
  aLease.mState.mError = aError;
  aLease.mRunner.reset();
  aLease.mStopAt.reset();
  aLease.mWriting.reset();
  ++mSequence;
  if (active) {
    Notify(LeaseEvent::Kind::Ended, aLease);
  }
}

void
LeaseTable::Finish(Lease& aLease)
{
  if (aLease.mSpec.mFail) {
    End(aLease, LeasePhase::Failed, "task failed");
    return;
  }
  aLease.mAnswer = aLease.mSpec.mAnswer.value_or(aLease.mPayload);
  End(aLease, LeasePhase::Finished);
}

std::error_code
LeaseTable::Start(const LeaseId& aId, const workers::Fence& aFence, Duration aTtl, TimePoint aNow)
{
  Advance(aNow);
  if (const auto ec = CheckFence(aFence)) {
    return ec;
  }
  auto* lease = Find(aId);
  if (!lease) {
    return mTombstones.contains(aId) ? WorkerError::Tombstone : WorkerError::NotFound;
  }
  switch (lease->mState.mPhase) {
    case LeasePhase::Reserved:
      if (mLeaving) {
        return WorkerError::Leaving;
      }
      lease->mExpires = aNow + aTtl;
      Begin(*lease, aNow);
      return {};
    case LeasePhase::Running:
      lease->mExpires = aNow + aTtl;
      return {};
    case LeasePhase::Finished:
    case LeasePhase::Failed:
      return {};
    case LeasePhase::Stopping:
    case LeasePhase::Stopped:
      break;
  }
  return WorkerError::Tombstone;
}

void
LeaseTable::BeginStop(Lease& aLease, Duration aDeadline, bool aCheckpoint, TimePoint aNow)
{
  const auto deadline = aNow + aDeadline;
  if (aLease.mState.mPhase == LeasePhase::Stopping) {
    aLease.mStopAt = std::min(aLease.mStopAt.value_or(deadline), deadline);
    return;
  }
  aLease.mState.mPhase = LeasePhase::Stopping;
  ++mSequence;
  if (aLease.mState.mKind == LeaseKind::Service) {
    aLease.mStopAt = aLease.mActive > 0 ? deadline : aNow;
    return;
  }
  if (aLease.mSpec.mIgnoreStop) {
    aLease.mStopAt = deadline;
    return;
  }
  const auto progress = aLease.mRunner->Progress(aNow);
  aLease.mRunner->SetSpeed(0, aNow);
  aLease.mStopAt = aNow;
  if (aCheckpoint && aLease.mSpec.mCheckpoint) {
    const auto written = aNow + *aLease.mSpec.mCheckpoint;
    aLease.mWriting = { written, progress };
    aLease.mStopAt = std::min(written, deadline);
  }
}

std::error_code
LeaseTable::Stop(const LeaseId& aId, const workers::Fence& aFence, Duration aDeadline,
                 bool aCheckpoint, TimePoint aNow)
{
  Advance(aNow);
  if (const auto ec = CheckFence(aFence)) {
    return ec;
  }
  auto* lease = Find(aId);
  if (!lease) {
    return WorkerError::NotFound;
  }
  if (lease->mState.mPhase == LeasePhase::Reserved) {
    End(*lease, LeasePhase::Stopped);
  } else if (detail::IsActive(lease->mState.mPhase)) {
    BeginStop(*lease, aDeadline, aCheckpoint, aNow);
    AdvanceLease(*lease, aNow);
  }
  return {};
}

std::error_code
LeaseTable::Throttle(const LeaseId& aId, const workers::Fence& aFence, int aPercent, TimePoint aNow)
{
  Advance(aNow);
  if (const auto ec = CheckFence(aFence)) {
    return ec;
  }
  auto* lease = Find(aId);
  if (!lease) {
    return WorkerError::NotFound;
  }
  if (lease->mRunner && lease->mState.mPhase == LeasePhase::Running) {
    lease->mRunner->SetSpeed(aPercent, aNow);
  }
  return {};
}

std::error_code
LeaseTable::Checkpoint(const LeaseId& aId, const workers::Fence& aFence, TimePoint aNow)
{
  Advance(aNow);
  if (const auto ec = CheckFence(aFence)) {
    return ec;
  }
  auto* lease = Find(aId);
  if (!lease) {
    return WorkerError::NotFound;
  }
  if (lease->mRunner && lease->mState.mPhase == LeasePhase::Running && lease->mSpec.mCheckpoint &&
      !lease->mWriting) {
    lease->mWriting = { aNow + *lease->mSpec.mCheckpoint, lease->mRunner->Progress(aNow) };
    AdvanceLease(*lease, aNow);
  }
  return {};
}

std::error_code
LeaseTable::Renew(const workers::Fence& aFence, Duration aTtl, const std::vector<LeaseId>& aIds,
                  TimePoint aNow, std::vector<LeaseId>& aUnknown)
{
  Advance(aNow);
  if (const auto ec = CheckFence(aFence)) {
    return ec;
  }
  for (const auto& it : aIds) {
    if (auto* lease = Find(it)) {
      lease->mExpires = aNow + aTtl;
    } else {
      aUnknown.push_back(it);
    }
  }
  return {};
}

std::error_code
LeaseTable::Release(const LeaseId& aId, const workers::Fence& aFence, TimePoint aNow)
{
  Advance(aNow);
  if (const auto ec = CheckFence(aFence)) {
    return ec;
  }
  AddTombstone(aId, aNow);
  const auto it = mLeases.find(aId);
  if (it != mLeases.end()) {
    if (detail::IsActive(it->second.mState.mPhase)) {
      End(it->second, LeasePhase::Stopped);
    }
    mLeases.erase(it);
    ++mSequence;
  }
  return {};
}

void
LeaseTable::AddTombstone(const LeaseId& aId, TimePoint aNow)
{
  if (mTombstones.insert(aId).second) {
    mTombstoneOrder.emplace_back(aNow + kTombstoneTime, aId);
  }
}

std::optional<std::string>
LeaseTable::Answer(const LeaseId& aId) const
{
  const auto it = mLeases.find(aId);
  const bool finished = it != mLeases.end() && it->second.mState.mPhase == LeasePhase::Finished;
  return finished ? std::optional(it->second.mAnswer) : std::nullopt;
}

bool
LeaseTable::Admit(const LeaseId& aId, const ServiceId& aService)
{
  auto* lease = Find(aId);
  if (!lease || mLeaving || lease->mState.mKind != LeaseKind::Service ||
      lease->mState.mPhase != LeasePhase::Running || lease->mState.mService != aService ||
      lease->mActive >= lease->mState.mResources.mSlots.Value()) {
    return false;
  }
  ++lease->mActive;
  return true;
}

void
LeaseTable::Leave(const LeaseId& aId)
{
  auto* lease = Find(aId);
  if (!lease || lease->mActive == 0) {
    return;
  }
  if (--lease->mActive == 0 && lease->mState.mPhase == LeasePhase::Stopping) {
    End(*lease, LeasePhase::Stopped);
  }
}

void
LeaseTable::Expire(Lease& aLease, TimePoint aNow)
{
  const bool service = aLease.mState.mKind == LeaseKind::Service;
  BeginStop(aLease, service ? kServiceExpiryStopTime : kExpiryStopTime, true, aNow);
}

void
LeaseTable::AdvanceLease(Lease& aLease, TimePoint aNow)
{
  if (aLease.mState.mPhase == LeasePhase::Running && aLease.mExpires <= aNow) {
    const auto ends = aLease.mRunner ? aLease.mRunner->EndsAt() : std::nullopt;
    // A task that ended before the lease expired is finished, however late this call is.
    if (!ends || *ends > aLease.mExpires) {
      Expire(aLease, aNow);
    }
  }
  if (aLease.mWriting && aLease.mWriting->first <= aNow) {
    if (!aLease.mStopAt || aLease.mWriting->first <= *aLease.mStopAt) {
      aLease.mState.mCheckpoint = std::to_string(aLease.mWriting->second.count());
      ++mSequence;
    }
    aLease.mWriting.reset();
  }
  if (aLease.mRunner) {
    const auto ends = aLease.mRunner->EndsAt();
    if (ends && *ends <= aNow && (!aLease.mStopAt || *ends <= *aLease.mStopAt)) {
      Finish(aLease);
    }
  }
  if (aLease.mStopAt && *aLease.mStopAt <= aNow) {
    End(aLease, LeasePhase::Stopped);
  }
}

void
LeaseTable::Advance(TimePoint aNow)
{
  for (auto it = mLeases.begin(); it != mLeases.end();) {
    if (it->second.mState.mPhase == LeasePhase::Reserved && it->second.mExpires <= aNow) {
      it = mLeases.erase(it);
      ++mSequence;
      continue;
    }
    AdvanceLease(it->second, aNow);
    ++it;
  }
  while (!mTombstoneOrder.empty() && mTombstoneOrder.front().first <= aNow) {
    mTombstones.erase(mTombstoneOrder.front().second);
    mTombstoneOrder.pop_front();
  }
}

std::optional<TimePoint>
LeaseTable::NextDue() const
{
  std::optional<TimePoint> due;
  for (const auto& [id, lease] : mLeases) {
    const auto phase = lease.mState.mPhase;
    if (phase == LeasePhase::Reserved || phase == LeasePhase::Running) {
      detail::Lower(due, lease.mExpires);
    }
    detail::Lower(due, lease.mStopAt);
    if (lease.mWriting) {
      detail::Lower(due, lease.mWriting->first);
    }
    if (lease.mRunner) {
      detail::Lower(due, lease.mRunner->EndsAt());
    }
  }
  return due;
}

void
LeaseTable::SetLeaving()
{
  mLeaving = true;
}

void
LeaseTable::StopAll(TimePoint aNow)
{
  for (auto& [id, lease] : mLeases) {
    if (detail::IsActive(lease.mState.mPhase)) {
      BeginStop(lease, Duration(0), true, aNow);
      AdvanceLease(lease, aNow);
    }
  }
}

std::vector<workers::LeaseState>
LeaseTable::States(TimePoint aNow) const
{
  std::vector<workers::LeaseState> states;
  states.reserve(mLeases.size());
  for (const auto& [id, lease] : mLeases) {
    states.push_back(lease.mState);
    states.back().mExpiresIn =
      std::max(Duration(0), std::chrono::duration_cast<Duration>(lease.mExpires - aNow));
  }
  return states;
}

Accelerators
LeaseTable::BusyAccelerators() const
{
  Accelerators busy;
  for (const auto& [id, lease] : mLeases) {
    if (detail::IsActive(lease.mState.mPhase)) {
      busy += lease.mState.mResources.mAccelerators;
    }
  }
  return busy;
}

} // namespace lovagerock::standin
