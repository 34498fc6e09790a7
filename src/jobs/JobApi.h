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

// The callers' endpoints for jobs, as described in docs/callers-api.md. Every node serves every
// job, because all state is in the key-value service. Belongs to its loop.
template<kv::KeyValueStore Store>
class JobApi
{
public:
  // The longest time that a caller may wait in one call.
  static constexpr Duration kLongestWait{ 10000 };
  static constexpr std::size_t kMaxKey = 255;
  // Each waiting caller costs the key-value service one call, so their number is bounded; further
  // ones get the present state at once.
  static constexpr int kMaxWaiting = 256;

  struct Hooks
  {
    // Finds the client account of a request by its token.
    std::function<std::optional<AccountId>(const http::Request&)> mAuthenticate;
    // Whether there is a configuration, without which no token is known.
    std::function<bool()> mIsConfigured;
    // Why new jobs are refused at present; nothing if they are accepted.
    std::function<std::optional<std::string>()> mGate;
    // Tells the region's planner that a job was submitted or its cancellation requested.
    std::function<void(const JobId&)> mNotifyPlanner;
  };

  // aWatchStore serves the waiting calls only, so that they can't hold up the other ones.
  JobApi(JobStore<Store>& aJobs, JobStore<Store>& aWatchStore, AnswerStore<Store>& aAnswers,
         Hooks aHooks)
    : mJobs(aJobs)
    , mWatches(aWatchStore)
    , mAnswers(aAnswers)
    , mHooks(std::move(aHooks))
  {
  }

  // Registers the endpoints. This object must outlive the server's requests.
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
    if (const auto reason = mHooks.mGate()) {
      aResponder.Send(RefuseJob(503, *reason, "this node accepts no new work", "no", true));
      return;
    }
    const auto account = mHooks.mAuthenticate(aRequest);
    if (!account) {
      aResponder.Send(RefuseUnauthorized());
      return;
    }
    const auto key = aRequest.mHeaders.Get("Idempotency-Key");
    if (key.empty() || key.size() > kMaxKey) {
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

  // Loads the job of the request's path and passes it on if it belongs to the caller's account.
  // A job of another account looks like none at all.
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
    const auto wait = ReadWait(aRequest.QueryParameter("wait_ms"), kLongestWait);
    WithJob(aRequest, aResponder, [this, wait, aResponder](const JobRecord& aRecord) {
      if (aRecord.IsDone() || wait.count() == 0 || mWaiting >= kMaxWaiting) {
        aResponder.Send(http::JsonResponse(200, DescribeJob(aRecord)));
        return;
      }
      ++mWaiting;
      mWatches.AwaitDone(aRecord.mJob, wait,
                         [this, aResponder](std::error_code aError, const JobRecord& aLater) {
                           --mWaiting;
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

  // An answer on its way to a caller.
  struct Transfer
  {
    JobRecord mRecord;
    int mTask;
    int mPiece;
    http::Responder mResponder;
  };

  // Sends one piece after the other, each read only after the one before was written, so that a
  // slow caller costs one piece of memory.
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
          // The length was announced, so the caller sees that the answer is cut.
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

  // The record goes last, so that an interrupted deletion can be repeated.
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
  JobStore<Store>& mWatches;
  AnswerStore<Store>& mAnswers;
  Hooks mHooks;
  int mWaiting = 0;
};

} // namespace lovagerock::jobs
