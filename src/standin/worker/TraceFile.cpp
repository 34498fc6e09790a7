#include "standin/worker/TraceFile.h"

#include <chrono>

namespace lovagerock::standin {

TraceFile::TraceFile(const std::string& aPath)
  : mFile(aPath, std::ios::app)
{
}

void
TraceFile::Write(const WorkerId& aWorker, const char* aEvent, Json aLine)
{
  if (!mFile.is_open()) {
    return;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  aLine["time_ms"] = std::chrono::duration_cast<Duration>(now).count();
  aLine["worker"] = aWorker.Value();
  aLine["event"] = aEvent;
  // Flushed per line, so that a killed process leaves a whole trace.
  mFile << DumpJson(aLine) << std::endl;
}

void
TraceFile::Record(const WorkerId& aWorker, const LeaseEvent& aEvent)
{
  const auto& lease = aEvent.mLease;
  if (lease.mKind != workers::LeaseKind::Job) {
    return;
  }
  const bool started = aEvent.mKind == LeaseEvent::Kind::Started;
  Json line{ { "lease", lease.mLease.Value() },
             { "job", lease.mJob.Value() },
             { "task", lease.mTask },
             { "tasks", lease.mTasks },
             { "attempt", lease.mAttempt },
             { "account", lease.mAccount.Value() },
             { "idempotent", lease.mIdempotent } };
  if (!started) {
    line["outcome"] = workers::LeasePhaseName(lease.mPhase);
  }
  Write(aWorker, started ? "start" : "end", std::move(line));
}

void
TraceFile::Record(const WorkerId& aWorker, const RequestEvent& aEvent)
{
  Json line{ { "lease", aEvent.mLease.Value() }, { "request", aEvent.mRequest.Value() } };
  if (aEvent.mStarted) {
    line["token"] = aEvent.mToken;
  } else {
    line["outcome"] = aEvent.mOutcome;
  }
  Write(aWorker, aEvent.mStarted ? "start" : "end", std::move(line));
}

void
TraceFile::RecordLeaving(const WorkerId& aWorker)
{
  Write(aWorker, "leaving", Json::object());
}

void
TraceFile::RecordRefusal(const WorkerId& aWorker, const char* aCommand, const std::string& aId,
                         const char* aReason)
{
  Write(aWorker, "refused", { { "command", aCommand }, { "id", aId }, { "reason", aReason } });
}

} // namespace lovagerock::standin
