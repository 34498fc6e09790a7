#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "workers/WorkerApi.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovagerock::standin {

// How long the answer of a request is kept.
inline constexpr Duration kAnswerTime{ 60000 };

// How a request ended or was refused.
struct RequestResult
{
  int mStatus = 200;
  // With status 503: whether the request was not run.
  std::optional<bool> mNotRun;
  std::string mBody;
};

// A start or an end of a request.
struct RequestEvent
{
  RequestId mRequest;
  LeaseId mLease;
  bool mStarted = false;
  // "done", "failed" or "cancelled" at the end.
  std::string mOutcome;
  // At the start: the member "token" of a JSON body, by which a test finds all runs of a payload.
  std::string mToken;
};

// Limits against unbounded memory.
struct RequestLimits
{
  // Answers kept beyond this size are forgotten, oldest first.
  std::size_t mAnswerBytes = 64 * 1024 * 1024;
  std::size_t mTombstones = 100000;
};

// The service requests of one worker. Ids are remembered: the same id joins the running request,
// gets the kept answer, or is refused by its tombstone. It has no clock of its own: every call
// gets the time, which must not go back.
class RequestTable
{
public:
  using Reply = std::function<void(const RequestResult&)>;
  using Observer = std::function<void(const RequestEvent&)>;
  // Takes or gives back a slot of a service lease.
  using Admit = std::function<bool(const LeaseId&, const ServiceId&)>;
  using Leave = std::function<void(const LeaseId&)>;

  RequestTable(Admit aAdmit, Leave aLeave, Observer aObserver, const RequestLimits& aLimits = {});

  // Runs, joins or refuses a request. The reply comes from this or a later call.
  void Begin(const RequestId& aId, const LeaseId& aLease, const ServiceId& aService,
             const std::string& aBody, Duration aTimeout, TimePoint aNow, Reply aReply);
  // The phase of a request. One that ran and was cancelled or forgotten is done, so that nobody
  // takes it for one that never ran.
  workers::RequestPhase Find(const RequestId& aId) const;
  // The kept result of a request.
  std::optional<RequestResult> Answer(const RequestId& aId) const;
  // Cancels a request, forgets its answer, or refuses the id if it arrives later. Gives the phase
  // before.
  workers::RequestPhase Drop(const RequestId& aId, TimePoint aNow);
  // Refuses the id if it arrives later; changes nothing if it has arrived. Gives the phase before.
  workers::RequestPhase RefuseUnknown(const RequestId& aId, TimePoint aNow);
  // Cancels all running requests under a lease.
  void CancelLease(const LeaseId& aLease, TimePoint aNow);

  void Advance(TimePoint aNow);
  // When Advance() ends a running request next.
  std::optional<TimePoint> NextDue() const;
  void SetFailAll(bool aFailAll) { mFailAll = aFailAll; }
  std::size_t Running() const { return mRunning; }

private:
  struct Entry
  {
    LeaseId mLease;
    bool mDone = false;
    RequestResult mResult;
    // The end of the work, and the end of the caller's patience.
    TimePoint mEnds;
    TimePoint mTimeout;
    std::vector<Reply> mReplies;
  };

  void Finish(const RequestId& aId, Entry& aEntry, RequestResult aResult, TimePoint aNow);
  void Cancel(const RequestId& aId, Entry& aEntry, TimePoint aNow);
  void AddTombstone(const RequestId& aId, bool aRan, TimePoint aNow);
  void Forget(const RequestId& aId, TimePoint aNow);
  RequestResult Plan(const std::string& aBody, Duration& aRun) const;

  Admit mAdmit;
  Leave mLeave;
  Observer mObserver;
  RequestLimits mLimits;
  std::unordered_map<RequestId, Entry> mEntries;
  std::multimap<TimePoint, RequestId> mDue;
  std::deque<std::pair<TimePoint, RequestId>> mKept;
  // Ids that are refused, and whether they ran.
  std::unordered_map<RequestId, bool> mTombstones;
  std::deque<std::pair<TimePoint, RequestId>> mTombstoneOrder;
  std::size_t mKeptBytes = 0;
  std::size_t mRunning = 0;
  bool mFailAll = false;
};

} // namespace lovagerock::standin
