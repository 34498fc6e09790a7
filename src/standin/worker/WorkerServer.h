#pragma once

#include "base/EventLoop.h"
#include "http/HttpServer.h"
#include "standin/worker/Counters.h"
#include "standin/worker/FaultyReplies.h"
#include "standin/worker/LeaseTable.h"
#include "standin/worker/RequestTable.h"
#include "standin/worker/TraceFile.h"
#include "standin/worker/UsageHistory.h"

#include <map>
#include <string>
#include <system_error>

namespace lovagerock::standin {

// What a worker reports of itself.
struct WorkerSettings
{
  WorkerId mWorker;
  RegionId mRegion;
  ZoneId mZone;
  RackId mRack;
  std::string mIncarnation;
  Resources mCapacity;
  int mConnections = 64;
  Duration mUsageLag{ 1000 };
};

// One worker of the platform: the worker protocol of docs/design.md over HTTP. Belongs to its
// loop.
class WorkerServer
{
public:
  // The counters and the trace are shared by the workers of a process and outlive them.
  WorkerServer(EventLoop& aLoop, const WorkerSettings& aSettings, Counters& aCounters,
               TraceFile& aTrace);
  WorkerServer(const WorkerServer&) = delete;
  WorkerServer& operator=(const WorkerServer&) = delete;

  std::error_code Listen(const SocketAddress& aAddress);
  const SocketAddress& Address() const { return mServer.Address(); }

  // Takes no new work from now on; running work goes on.
  void SetLeaving();
  // Stops everything that still runs.
  void StopAll();
  // Whether no lease and no request in progress is left.
  bool IsIdle() const;

private:
  using Handler = std::function<void(const http::Request&, const http::Responder&)>;
  // Does a lease command with the fence and the body of the call.
  using Command =
    std::function<std::error_code(const LeaseId&, const workers::Fence&, const Json&)>;

  struct Poll
  {
    http::Responder mResponder;
    std::uint64_t mSince;
    Timer mTimeout;
  };

  void Register();
  void RegisterRequests();
  void RegisterTests();
  void Route(http::Method aMethod, const char* aPattern, Handler aHandler);
  void RouteCommand(http::Method aMethod, const char* aPattern, Command aCommand);
  // Advances the tables, answers polls and sets the timer.
  void Update();
  void AnswerPolls();

  void OnState(const http::Request& aRequest, const http::Responder& aResponder);
  void OnPut(const http::Request& aRequest, const http::Responder& aResponder);
  void OnRenew(const http::Request& aRequest, const http::Responder& aResponder);
  void OnRequest(const http::Request& aRequest, const http::Responder& aResponder);
  void OnLeaseEvent(const LeaseEvent& aEvent);
  void RecordRefusal(const char* aCommand, const std::string& aId, std::error_code aError);
  void SendError(const http::Responder& aResponder, std::error_code aError);

  std::uint64_t Sequence() const { return mLeases.Sequence() + mOtherChanges; }
  workers::WorkerState State() const;

  EventLoop* mLoop;
  WorkerSettings mSettings;
  Counters* mCounters;
  TraceFile* mTrace;
  FaultyReplies mReplies;
  LeaseTable mLeases;
  RequestTable mRequests;
  UsageHistory mUsage;
  Accelerators mReportedBusy;
  // Changes of the state beside leases and the fence.
  std::uint64_t mOtherChanges = 0;
  bool mLeaving = false;
  std::map<std::uint64_t, Poll> mPolls;
  std::uint64_t mNextPoll = 0;
  Timer mDue;
  http::HttpServer mServer;
};

} // namespace lovagerock::standin
