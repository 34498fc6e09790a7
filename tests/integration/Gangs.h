#pragma once

#include "integration/LocalSystem.h"

#include <string>

namespace lovagerock::integration {

// Number of tasks of the gangs of SubmitGang().
inline constexpr int kTasks = 8;

// The headers of a call of the account with the token, with a key unless it is empty.
http::Headers
JobHeaders(const std::string& aKey = "", const std::string& aToken = kToken);

// Submits a gang of kTasks non-idempotent tasks with one accelerator each. GangRequest() makes the
// call, TrySubmitGang() gives the answer; SubmitGang() gives the job's id and ends the test if the
// gang is refused.
http::ClientRequest
GangRequest(LocalSystem& aSystem, int aNode, const std::string& aKey, int aRunMs);
CallResult
TrySubmitGang(LocalSystem& aSystem, int aNode, const std::string& aKey, int aRunMs);
std::string
SubmitGang(LocalSystem& aSystem, int aNode, const std::string& aKey, int aRunMs);

// Submits a job with the given body and gives its id; ends the test if it is refused.
std::string
SubmitJob(LocalSystem& aSystem, int aNode, const std::string& aKey, const Json& aBody,
          const std::string& aToken = kToken);

// Waits until the job is finished; ends the test if it ends otherwise.
void
AwaitFinished(LocalSystem& aSystem, int aNode, const std::string& aJob,
              const std::string& aToken = kToken);

// Cancels a job that has not ended, and waits until it has ended by that.
void
CancelJob(LocalSystem& aSystem, int aNode, const std::string& aJob,
          const std::string& aToken = kToken);

// Ends the test unless the node serves the answers of all tasks of a gang of SubmitGang().
void
RequireAnswer(LocalSystem& aSystem, int aNode, const std::string& aJob, const std::string& aKey);

// Ends the test unless the gang of SubmitGang() ran once and whole.
void
RequireRanOnce(const Trace& aTrace, const std::string& aJob);

// Waits until all tasks of a gang of SubmitGang() have started.
void
AwaitRunning(LocalSystem& aSystem, const std::string& aJob);

} // namespace lovagerock::integration
