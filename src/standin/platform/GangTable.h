#pragma once

#include "base/EventLoop.h"
#include "standin/platform/JobTable.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace lovagerock::standin {

// How runs end on workers, as they report it.
namespace run_end {
inline constexpr const char* kDone = "done";
inline constexpr const char* kStopped = "stopped";
inline constexpr const char* kLeaseExpired = "lapsed";
// Another member of the gang has ended.
inline constexpr const char* kGangMemberEnded = "broken";
// The other members of the gang didn't arrive in time.
inline constexpr const char* kGangIncomplete = "alone";
} // namespace run_end

// A task of a gang that has started on a worker.
struct GangMember
{
  std::string mTask;
  int mRun = 0;
  std::string mWorker;
  std::string mRack;
  // Ends the run on the worker.
  std::function<void(const char*)> mEnd;
};

// The gangs that run, over all workers. The members of one run of a gang work from the moment when
// all of them are present, and are done together. If one ends otherwise, the others end too.
class GangTable
{
public:
  // A member waits for the others for this long.
  static constexpr Duration kTimeout{ 4000 };
  // A gang that prefers one rack takes so many times as long in several racks.
  static constexpr int kRemoteFactor = 3;

  explicit GangTable(EventLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  // A member has started; the gang works for the time if it is in one rack.
  void Join(const JobStep& aStep, Duration aTime, GangMember aMember);
  // A run has ended on its worker, be it a member or not.
  void OnEnd(const std::string& aTask, int aRun, const std::string& aWorker);
  // The worker is gone and all its runs with it.
  void OnWorkerGone(const std::string& aWorker);

private:
  // The name of the step's occurrence, and the run's number.
  using Key = std::pair<std::string, int>;
  struct Present
  {
    GangMember mMember;
    Timer mTimeout;
  };
  struct Gang
  {
    // By task and worker. A task is there twice if a scheduler starts its run on two workers.
    std::map<std::pair<std::string, std::string>, Present> mMembers;
    Timer mWork;
  };

  static Key KeyOf(const std::string& aTask, int aRun);
  static int CountTasks(const Gang& aGang);
  static bool IsInOneRack(const Gang& aGang);
  void BeginWork(const Key& aKey, Gang& aGang, const JobStep& aStep, Duration aTime);
  // Ends all members.
  void EndGang(const Key& aKey, const char* aHow);

  EventLoop& mLoop;
  std::map<Key, Gang> mGangs;
};

} // namespace lovagerock::standin
