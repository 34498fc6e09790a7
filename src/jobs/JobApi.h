#pragma once

#include "base/EventLoop.h"
#include "base/Hash.h"
#include "base/LogEvent.h"
#include "http/HttpServer.h"
#include "jobs/AnswerStore.h"
#include "jobs/JobReplies.h"
#include "jobs/JobStore.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace lovagerock::jobs {

// The callers' HTTP endpoints for jobs, as described in docs/callers-api.md. Every node serves
// every job, because all state is in the key-value service. Must be used on its event loop's thread
// only.
template<kv::KeyValueStore Store>
class JobApi
{
public:
  // The longest time that one call may wait for the end of a job (wait_ms).
  static constexpr Duration kMaxWait{ 10000 };
  static constexpr std::size_t kMaxKeyBytes = 255;
  // Each waiting caller keeps one call to the key-value service open, so their number is bounded;
  // further callers get the job's current state at once.
  static constexpr int kMaxWaitingCallers = 256;

  struct Hooks
  {
    // Returns the client account of a request's token; nullopt if the token is unknown.
    std::function<std::optional<AccountId>(const http::Request&)> mAuthenticate;
    // Returns whether the node has a configuration. Without one it knows no tokens.
    std::function<bool()> mIsConfigured;
    // Returns the error code for refusing new jobs, or nullopt if this node accepts them.
    std::function<std::optional<std::string>()> mRefusalReason;
    // Notifies the region's planner that a job was submitted or its cancellation requested.
    std::function<void(const JobId&)> mNotifyPlanner;
  };

  // aWatchStore is used for waiting calls only, so that they cannot delay the others.
  JobApi(JobStore<Store>& aJobs, JobStore<Store>& aWatchStore, AnswerStore<Store>& aAnswers,
         Hooks aHooks)
    : mJobs(aJobs)
    , mWatchStore(aWatchStore)
    , mAnswers(aAnswers)
    , mHooks(std::move(aHooks))
  {
  }

  // Registers the endpoints. This object must outlive all requests of the server.
  void Register(http::HttpServer& aServer)
  {
    aServer.Handle(http::Method::Post, "/v1/jobs",
                   [this](const http::Request& aRequest, const http::Responder& aResponder) {
                     Submit(aRequest, aResponder);
                   });
    aServer.Handle(http::Method::Get, "/v1/jobs/{job}",
                   [this](const http::Request& aRequest, const http::Responder& aResponder) {
                     Show(aRequest, aResponder);
                   });
    aServer.Handle(http::Method::Get, "/v1/jobs/{job}/answer",
                   [this](const http::Request& aRequest, const http::Responder& aResponder) {
                     SendAnswer(aRequest, aResponder);
                   });
    aServer.Handle(http::Method::Delete, "/v1/jobs/{job}",
                   [this](const http::Request& aRequest, const http::Responder& aResponder) {
                     Remove(aRequest, aResponder);
                   });
  }

private:
  void Submit(const http::Request& aRequest, const http::Responder& aResponder)
  {
    if (const auto reason = mHooks.mRefusalReason()) {
      aResponder.Send(RefuseJob(503, *reason, "this node accepts no new work", "no", true));
      return;
    }
    const auto account = mHooks.mAuthenticate(aRequest);
    if (!account) {
      aResponder.Send(RefuseUnauthorized());
      return;
    }
    const auto key = aRequest.mHeaders.Get("Idempotency-Key");
    if (key.empty() || key.size() > kMaxKeyBytes) {
      aResponder.Send(RefuseJob(400, "bad_idempotency_key",
                                "Idempotency-Key of 1 to 255 bytes is required", "no", false));
      return;
    }
    std::vector<SpecProblem> problems;
    const auto json = ParseJson(aRequest.mBody);
    const auto spec = json ? ReadJobSpec(*json, problems) : std::nullopt;
    if (!spec) {
      aResponder.Send(RefuseSpec(problems));
      return;
    }
    JobRecord record;
    record.mJob = MakeJobId(*account, key);
    record.mAccount = *account;
    record.mSpec = *spec;
    record.mDigest = HashText(DumpJson(Json(*spec)));
    record.mSubmittedMs =
      std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
        .count();
    mJobs.Submit(record, [this, aResponder](std::error_code aError, const JobRecord& aStored) {
      OnSubmitted(aError, aStored, aResponder);
    });
  }

  void
  OnSubmitted(std::error_code aError, const JobRecord& aStored, const http::Responder& aResponder)
  {
    if (aError) {
      LogEvent("job_submit_failed", LogLevel::Warning)
        .With("job", aStored.mJob)
        .With("reason", aError.message());
      aResponder.Send(RefuseForError(aError, "no"));
      return;
    }
    LogEvent("job_submitted")
      .With("job", aStored.mJob)
      .With("account", aStored.mAccount)
      .With("tasks", aStored.mSpec.mTasks)
      .With("state", JobStateName(aStored.mState));
    if (!aStored.IsDone()) {
      mHooks.mNotifyPlanner(aStored.mJob);
    }
    aResponder.Send(http::JsonResponse(202, DescribeJob(aStored)));
  }

  // Loads the job named in the request's path and passes its record to aNext. Answers 404 if there
  // is no such job or it belongs to another account, so that callers cannot tell the two apart.
  template<typename Next>
  void WithJob(const http::Request& aRequest, const http::Responder& aResponder, Next aNext)
  {
    if (!mHooks.mIsConfigured()) {
      aResponder.Send(
        RefuseJob(503, "no_configuration", "this node has no configuration yet", "unknown", true));
      return;
    }
    const auto account = mHooks.mAuthenticate(aRequest);
    if (!account) {
      aResponder.Send(RefuseUnauthorized());
      return;
    }
    mJobs.Load(JobId(aRequest.PathParameter("job")),
               [account, aResponder, aNext](std::error_code aError, const JobRecord& aRecord) {
                 if (!aError && aRecord.mAccount == *account) {
                   aNext(aRecord);
                   return;
                 }
                 aResponder.Send(RefuseForError(
                   aError ? aError : make_error_code(JobError::NotFound), "unknown"));
               });
  }

  void Show(const http::Request& aRequest, const http::Responder& aResponder)
  {
    const auto wait = ReadWait(aRequest.QueryParameter("wait_ms"), kMaxWait);
    WithJob(aRequest, aResponder, [this, wait, aResponder](const JobRecord& aRecord) {
      if (aRecord.IsDone() || wait.count() == 0 || mWaitingCallers >= kMaxWaitingCallers) {
        aResponder.Send(http::JsonResponse(200, DescribeJob(aRecord)));
        return;
      }
      ++mWaitingCallers;
      mWatchStore.AwaitDone(
        aRecord.mJob, wait, [this, aResponder](std::error_code aError, const JobRecord& aLater) {
          --mWaitingCallers;
          aResponder.Send(aError ? RefuseForError(aError, "unknown")
                                 : http::JsonResponse(200, DescribeJob(aLater)));
        });
    });
  }

  void SendAnswer(const http::Request& aRequest, const http::Responder& aResponder)
  {
    const auto& text = aRequest.QueryParameter("task");
    WithJob(aRequest, aResponder, [this, text, aResponder](const JobRecord& aRecord) {
      if (aRecord.mState != JobState::Finished) {
        aResponder.Send(
          aRecord.IsDone()
            ? RefuseJob(410, "no_answer", aRecord.mError, RanName(aRecord.mRan), false)
            : RefuseJob(409, "not_finished", "the job is not finished", "unknown", true));
        return;
      }
      const auto task = ReadTask(text, aRecord.mSpec.mTasks);
      if (!task) {
        aResponder.Send(RefuseJob(400, "bad_task",
                                  "task must be a number below the number of tasks", "yes", false));
        return;
      }
      auto transfer = std::make_shared<Transfer>(Transfer{ aRecord, *task, 0, aResponder });
      SendPiece(transfer);
    });
  }

  // The state of sending one answer to a caller.
  struct Transfer
  {
    JobRecord mRecord;
    int mTask;
    int mPiece;
    http::Responder mResponder;
  };

  // Sends the answer's remaining pieces. Reads each only after the previous one was written to the
  // connection, so that a slow caller costs the memory of one piece.
  void SendPiece(const std::shared_ptr<Transfer>& aTransfer)
  {
    const auto& info = aTransfer->mRecord.mAnswers.at(static_cast<std::size_t>(aTransfer->mTask));
    if (aTransfer->mPiece == info.mPieces) {
      aTransfer->mResponder.End();
      return;
    }
    mAnswers.ReadPiece(
      aTransfer->mRecord.mJob, aTransfer->mRecord.mAttempt, aTransfer->mTask, aTransfer->mPiece,
      [this, aTransfer, bytes = info.mBytes](std::error_code aError, const std::string& aPiece) {
        const bool first = aTransfer->mPiece == 0;
        if (aError && first) {
          aTransfer->mResponder.Send(RefuseForError(aError, "yes"));
          return;
        }
        if (aError) {
          // Content-Length was sent, so the caller can tell that the answer is truncated.
          aTransfer->mResponder.Abort();
          return;
        }
        if (first) {
          aTransfer->mResponder.Start(200, { { "Content-Length", std::to_string(bytes) } });
        }
        ++aTransfer->mPiece;
        if (aPiece.empty()) {
          SendPiece(aTransfer);
          return;
        }
        aTransfer->mResponder.Write(aPiece, [this, aTransfer] { SendPiece(aTransfer); });
      });
  }

  void Remove(const http::Request& aRequest, const http::Responder& aResponder)
  {
    WithJob(aRequest, aResponder, [this, aResponder](const JobRecord& aRecord) {
      if (aRecord.IsDone()) {
        Delete(aRecord, aResponder);
      } else {
        Cancel(aRecord, aResponder);
      }
    });
  }

  void Cancel(JobRecord aRecord, const http::Responder& aResponder)
  {
    if (aRecord.mCancelRequested) {
      mHooks.mNotifyPlanner(aRecord.mJob);
      aResponder.Send(http::JsonResponse(202, DescribeJob(aRecord)));
      return;
    }
    aRecord.mCancelRequested = true;
    mJobs.Update(aRecord, [this, aResponder](std::error_code aError, const JobRecord& aWritten) {
      if (aError) {
        aResponder.Send(RefuseForError(aError, "unknown"));
        return;
      }
      LogEvent("job_cancel_requested").With("job", aWritten.mJob);
      mHooks.mNotifyPlanner(aWritten.mJob);
      aResponder.Send(http::JsonResponse(202, DescribeJob(aWritten)));
    });
  }

  // Deletes the record last, so that an interrupted deletion can be repeated.
  void Delete(const JobRecord& aRecord, const http::Responder& aResponder)
  {
    mAnswers.Delete(aRecord, [this, aRecord, aResponder](std::error_code aError) {
      if (aError) {
        aResponder.Send(RefuseForError(aError, RanName(aRecord.mRan)));
        return;
      }
      mJobs.DeleteDone(aRecord, [aRecord, aResponder](std::error_code aError2) {
        aResponder.Send(aError2 ? RefuseForError(aError2, RanName(aRecord.mRan))
                                : http::JsonResponse(200, R"({"deleted":true})"));
      });
    });
  }

  JobStore<Store>& mJobs;
  JobStore<Store>& mWatchStore;
  AnswerStore<Store>& mAnswers;
  Hooks mHooks;
  int mWaitingCallers = 0;
};

} // namespace lovagerock::jobs
