#include "control/Backlog.h"

#include "base/Json.h"

#include <algorithm>
#include <utility>

namespace lovagerock::control {

namespace {

// The part of the limit that groups may use beyond it, and the part that each of them may hold
// then.
constexpr std::int64_t kReservePart = 8;
constexpr std::int64_t kSmallGroupPart = 64;
// A closed group is opened again once it holds less than 3/4 of what is free.
constexpr std::int64_t kReopenNumerator = 3;
constexpr std::int64_t kReopenDenominator = 4;

Bytes
Part(Bytes aBytes, std::int64_t aDivisor)
{
  return Bytes(aBytes.Value() / aDivisor);
}

} // namespace

std::string
WriteClosedGroups(const std::set<scheduler::JobGroup>& aGroups)
{
  auto rows = Json::array();
  for (const auto& it : aGroups) {
    rows.push_back(Json::array({ it.mAccount.Value(), it.mQueue, it.mIsUrgent }));
  }
  return DumpJson({ { "closed", std::move(rows) } });
}

std::optional<std::set<scheduler::JobGroup>>
ReadClosedGroups(const std::string& aText)
{
  const auto json = ParseJson(aText);
  if (!json || !json->is_object()) {
    return std::nullopt;
  }
  try {
    std::set<scheduler::JobGroup> groups;
    for (const auto& it : json->at("closed")) {
      groups.insert({ AccountId(it.at(0).get<std::string>()), it.at(1).get<std::string>(),
                      it.at(2).get<bool>() });
    }
    return groups;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

Bytes
Backlog::UsedBy(const scheduler::JobGroup& aGroup) const
{
  Bytes used;
  if (const auto it = mLoaded.find(aGroup); it != mLoaded.end()) {
    used += it->second;
  }
  if (const auto it = mParkedOfGroup.find(aGroup); it != mParkedOfGroup.end()) {
    used += Bytes(kParkedBytes.Value() * it->second);
  }
  return used;
}

Bytes
Backlog::Used() const
{
  return mLoadedSum + Bytes(kParkedBytes.Value() * static_cast<std::int64_t>(mParked.size()));
}

bool
Backlog::Fits(const scheduler::JobGroup& aGroup, Bytes aJob) const
{
  const auto sum = Used() + aJob;
  const bool isSmall = UsedBy(aGroup) + aJob <= Part(mLimit, kSmallGroupPart);
  return sum <= mLimit || (isSmall && sum <= mLimit + Part(mLimit, kReservePart));
}

bool
Backlog::FitsAtTakeover(const scheduler::JobGroup& aGroup, Bytes aJob) const
{
  return Used() + aJob <= Part(mLimit, 2) && Fits(aGroup, aJob);
}

void
Backlog::OnLoaded(const scheduler::JobGroup& aGroup, Bytes aJob)
{
  mLoaded[aGroup] += aJob;
  mLoadedSum += aJob;
}

void
Backlog::SetLoaded(std::map<scheduler::JobGroup, Bytes> aGroups, Bytes aOthers)
{
  mLoaded = std::move(aGroups);
  mLoadedSum = aOthers;
  for (const auto& [group, bytes] : mLoaded) {
    mLoadedSum += bytes;
  }
}

void
Backlog::Park(ParkedJob aJob)
{
  const auto id = aJob.mId;
  const auto group = aJob.mGroup;
  if (mParked.emplace(id, std::move(aJob)).second) {
    mWaiting[group].push_back(id);
    ++mParkedOfGroup[group];
  }
}

const ParkedJob*
Backlog::FindParked(const JobId& aJob) const
{
  const auto it = mParked.find(aJob);
  return it == mParked.end() ? nullptr : &it->second;
}

bool
Backlog::CancelParked(const JobId& aJob)
{
  const auto it = mParked.find(aJob);
  if (it == mParked.end()) {
    return false;
  }
  if (!std::exchange(it->second.mIsCancelled, true)) {
    mCancelled.push_back(aJob);
  }
  return true;
}

std::optional<JobId>
Backlog::NextParked()
{
  // A cancelled job takes little for long, so it needn't fit.
  while (!mCancelled.empty()) {
    const auto job = mCancelled.back();
    mCancelled.pop_back();
    if (mParked.contains(job)) {
      return job;
    }
  }
  while (!mWaiting.empty()) {
    const auto least = std::min_element(mWaiting.begin(), mWaiting.end(),
                                        [this](const auto& aLeft, const auto& aRight) {
                                          return UsedBy(aLeft.first) < UsedBy(aRight.first);
                                        });
    if (!Fits(least->first, Bytes(0))) {
      return std::nullopt;
    }
    const auto job = least->second.front();
    least->second.pop_front();
    if (least->second.empty()) {
      mWaiting.erase(least);
    }
    // Cancelled jobs are loaded by themselves.
    if (const auto* parked = FindParked(job); parked && !parked->mIsCancelled) {
      return job;
    }
  }
  return std::nullopt;
}

void
Backlog::RetryParked(const JobId& aJob)
{
  const auto* parked = FindParked(aJob);
  if (parked && parked->mIsCancelled) {
    mCancelled.push_back(aJob);
  } else if (parked) {
    mWaiting[parked->mGroup].push_front(aJob);
  }
}

void
Backlog::RemoveParked(const JobId& aJob)
{
  const auto it = mParked.find(aJob);
  if (it == mParked.end()) {
    return;
  }
  if (const auto group = mParkedOfGroup.find(it->second.mGroup); --group->second == 0) {
    mParkedOfGroup.erase(group);
  }
  mParked.erase(it);
}

int
Backlog::ParkedOf(const std::string& aQueue) const
{
  return static_cast<int>(std::count_if(mParked.begin(), mParked.end(), [&](const auto& aIt) {
    return !aIt.second.mIsCancelled && aIt.second.mQueue == aQueue;
  }));
}

std::set<scheduler::JobGroup>
Backlog::UpdateClosed()
{
  const auto free = std::max(mLimit - Used(), Bytes(0));
  const Bytes reopen(free.Value() / kReopenDenominator * kReopenNumerator);
  std::set<scheduler::JobGroup> closed;
  const auto check = [&](const scheduler::JobGroup& aGroup) {
    if (UsedBy(aGroup) > (mClosed.contains(aGroup) ? reopen : free)) {
      closed.insert(aGroup);
    }
  };
  for (const auto& [group, bytes] : mLoaded) {
    check(group);
  }
  for (const auto& [group, n] : mParkedOfGroup) {
    check(group);
  }
  mClosed = closed;
  return closed;
}

} // namespace lovagerock::control
