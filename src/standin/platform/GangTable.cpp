#include "standin/platform/GangTable.h"

#include <algorithm>
#include <set>
#include <vector>

namespace lovagerock::standin {

GangTable::Key
GangTable::KeyOf(const std::string& aTask, int aRun)
{
  return { aTask.substr(0, aTask.rfind('.')), aRun };
}

int
GangTable::CountTasks(const Gang& aGang)
{
  std::set<std::string> tasks;
  for (const auto& [id, present] : aGang.mMembers) {
    tasks.insert(id.first);
  }
  return static_cast<int>(tasks.size());
}

bool
GangTable::IsInOneRack(const Gang& aGang)
{
  const auto& rack = aGang.mMembers.begin()->second.mMember.mRack;
  return std::all_of(aGang.mMembers.begin(), aGang.mMembers.end(),
                     [&rack](const auto& aIt) { return aIt.second.mMember.mRack == rack; });
}

void
GangTable::Join(const JobStep& aStep, Duration aTime, GangMember aMember)
{
  const auto key = KeyOf(aMember.mTask, aMember.mRun);
  auto& gang = mGangs[key];
  auto& present = gang.mMembers[{ aMember.mTask, aMember.mWorker }];
  present.mMember = std::move(aMember);
  if (gang.mWork.IsPending()) {
    return;
  }
  if (CountTasks(gang) >= aStep.mTasks) {
    BeginWork(key, gang, aStep, aTime);
    return;
  }
  // The call is destroyed with the member that it ends.
  present.mTimeout = mLoop.After(kTimeout, [end = present.mMember.mEnd] {
    const auto endMember = end;
    endMember(run_end::kGangIncomplete);
  });
}

void
GangTable::BeginWork(const Key& aKey, Gang& aGang, const JobStep& aStep, Duration aTime)
{
  for (auto& [id, present] : aGang.mMembers) {
    present.mTimeout.Cancel();
  }
  const bool isSlow = aStep.mPrefersOneRack && !IsInOneRack(aGang);
  aGang.mWork = mLoop.After(isSlow ? aTime * kRemoteFactor : aTime,
                            [this, key = aKey] { EndGang(key, run_end::kDone); });
}

void
GangTable::OnEnd(const std::string& aTask, int aRun, const std::string& aWorker)
{
  const auto key = KeyOf(aTask, aRun);
  const auto it = mGangs.find(key);
  if (it == mGangs.end()) {
    return;
  }
  if (it->second.mMembers.erase({ aTask, aWorker }) > 0) {
    EndGang(key, run_end::kGangMemberEnded);
  }
}

void
GangTable::OnWorkerGone(const std::string& aWorker)
{
  std::vector<Key> broken;
  for (auto& [key, gang] : mGangs) {
    const auto erased =
      std::erase_if(gang.mMembers, [&](const auto& aIt) { return aIt.first.second == aWorker; });
    if (erased > 0) {
      broken.push_back(key);
    }
  }
  for (const auto& it : broken) {
    EndGang(it, run_end::kGangMemberEnded);
  }
}

void
GangTable::EndGang(const Key& aKey, const char* aHow)
{
  // The workers tell the table of each end, so the gang is taken out first. It is destroyed last,
  // because the key may belong to the call of its timer.
  const auto gang = mGangs.extract(aKey);
  for (const auto& [id, present] : gang.mapped().mMembers) {
    present.mMember.mEnd(aHow);
  }
}

} // namespace lovagerock::standin
