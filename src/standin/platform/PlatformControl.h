#pragma once

#include "base/EventLoop.h"
#include "base/Json.h"
#include "http/HttpServer.h"
#include "standin/platform/FleetShape.h"
#include "standin/platform/IdleJobCheck.h"
#include "standin/platform/MetadataService.h"
#include "standin/platform/PlatformState.h"
#include "standin/platform/PlatformWorker.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <system_error>
#include <vector>

namespace lovagerock::standin {

// A store and workers that register there, with an address for the operator and for faults:
//   POST /configuration    writes the configuration
//   POST /faults           sets some of {"refusing", "refusing_writes",
//                          "refusing_addresses": [number], "silent",
//                          "lost_answers", "lapse", "discard_history", "late_worker", "late_ms",
//                          "silent_workers": [worker], "unregistered_workers": [worker],
//                          "lost_starts", "late_starts", "late_calls", "late_start_ms",
//                          "notice_ms", "ignore_tokens", "store_delay_ms",
//                          "lose_waiting_writes"}; counts of starts and calls hold for each
//                          worker; no late call is carried out within notice_ms after a restart
//   POST /drain            {"worker", "remaining_ms"}: drains, and leaves after that time
//   POST /restart          {"worker", "register_after_ms"}: crashes, unless it has left, and starts
//                          again at once under the same id; registers after that time
//   POST /completion-shown {"job"}: a caller was told that the job is completed
//   POST /job-submitted    {"job", "steps"}: a caller is about to submit the job, with the steps as
//                          it describes them. Tells workers what its tasks take
//   POST /job-accepted     {"job", "steps"}: a caller was told that the job is accepted. A step
//                          without cpu, mem_mb and gpu needs one accelerator a task
//   POST /disruption       {"lasts"}: something other than workers is disrupted or works again, and
//                          whether a disruption goes on
//   GET  /ledger           {"starts": {task: count}, "running": {task: worker},
//                          "violations": [text], "idle_jobs": [text],
//                          "late_starts": {worker: count}}, where late starts are the late calls
//                          that are still to be carried out
//   GET  /usage            {"accelerators", "accelerators_in_use", "cpu_millicores",
//                          "cpu_millicores_in_use"} over all workers
//   GET  /waits            {job: ms} from the acceptance of each job to its first start, or to now
class PlatformControl
{
public:
  PlatformControl(EventLoop& aLoop, const FleetShape& aShape);

  // Workers listen on the ports after the control address.
  std::error_code
  Listen(const SocketAddress& aStore, int aStoreAddresses, const SocketAddress& aControl);

private:
  // A worker id and the address that belongs to it, in all its lives.
  struct Place
  {
    WorkerSpec mSpec;
    SocketAddress mAddress;
    // Null once the worker has left for good.
    std::unique_ptr<PlatformWorker> mWorker;
    // Drains, late registrations and late calls to come.
    Timer mLeaving;
    Timer mRegistration;
    std::vector<Timer> mLateCalls;
    TimePoint mRestartedAt;
  };
  using Command = void (PlatformControl::*)(const Json&);
  using Query = Json (PlatformControl::*)() const;

  void HandleCommand(const char* aPattern, Command aCommand);
  void HandleQuery(const char* aPattern, Query aQuery);
  std::unique_ptr<PlatformWorker> NewWorker(const WorkerSpec& aSpec);
  void OnFaults(const Json& aFaults);
  void SetWorkerFaults(const Json& aFaults);
  void SetUnregistered(std::set<std::string> aWorkers);
  void OnDrain(const Json& aBody);
  void OnRestart(const Json& aBody);
  void OnCompletionShown(const Json& aBody);
  void OnJobSubmitted(const Json& aBody);
  void OnJobAccepted(const Json& aBody);
  void OnDisruption(const Json& aBody);
  // A worker was disrupted or works again.
  void NoteDisruption();
  // What is free on workers that take new tasks.
  FreeRoom Room() const;
  void DelayCall(const std::string& aId, const WorkerCall& aCall);
  // Carries out a late call, now or once the restart of its worker may have been noticed.
  void CarryOutLate(const std::string& aId, const WorkerCall& aCall);
  // Registers all workers, the late one after its time.
  void RegisterAll();
  // Writes the worker's entry, unless it has left or can't register.
  void Register(const std::string& aId);
  void Leave(const std::string& aId);
  Json Ledger() const;
  Json Usage() const;
  Json Waits() const;

  EventLoop& mLoop;
  PlatformState mState;
  IdleJobCheck mIdleJobs;
  MetadataService mStore;
  std::map<std::string, Place> mPlaces;
  http::HttpServer mServer;
  // Workers that can't register, although they work on. Their entries have expired.
  std::set<std::string> mUnregistered;
  std::string mLateWorker;
  Duration mLateBy{ 0 };
  Duration mLateStartBy{ 0 };
  // A restart can't be noticed at once. Whatever a scheduler does, a late call that is carried out
  // before it knows of the restart repeats a run.
  Duration mNoticeTime{ 0 };
  bool mIsRegistered = true;
  Timer mTick;
  Timer mIdleJobTick;
};

} // namespace lovagerock::standin
