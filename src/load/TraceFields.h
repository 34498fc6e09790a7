#pragma once

// Names of members and values in the trace files of the stand-in workers and of the load tool.

namespace lovagerock::load::worker_trace {

inline constexpr const char* kTime = "time_ms";
inline constexpr const char* kEvent = "event";
inline constexpr const char* kLeaving = "leaving";
inline constexpr const char* kRefused = "refused";
inline constexpr const char* kStart = "start";
inline constexpr const char* kEnd = "end";
inline constexpr const char* kRequest = "request";
inline constexpr const char* kToken = "token";
inline constexpr const char* kJob = "job";
inline constexpr const char* kTask = "task";
inline constexpr const char* kTasks = "tasks";
inline constexpr const char* kAttempt = "attempt";
inline constexpr const char* kIdempotent = "idempotent";
inline constexpr const char* kOutcome = "outcome";
// The outcome of a task that ran to its end.
inline constexpr const char* kFinished = "finished";

} // namespace lovagerock::load::worker_trace

namespace lovagerock::load::client_trace {

inline constexpr const char* kKind = "kind";
inline constexpr const char* kRequestKind = "request";
inline constexpr const char* kJobKind = "job";
inline constexpr const char* kKey = "key";
inline constexpr const char* kToken = "token";
inline constexpr const char* kIdempotent = "idempotent";
inline constexpr const char* kOutcome = "outcome";
inline constexpr const char* kError = "error";
// The attempts of a request: objects with kId, kRan and kStatus.
inline constexpr const char* kAttempts = "attempts";
inline constexpr const char* kId = "id";
inline constexpr const char* kRan = "ran";
inline constexpr const char* kStatus = "status";
inline constexpr const char* kAnswerToken = "answer_token";
inline constexpr const char* kLatency = "latency_us";
// Present once a job was accepted.
inline constexpr const char* kJob = "job";
inline constexpr const char* kTasks = "tasks";
// The job's last state, and the number of whole answers of its tasks.
inline constexpr const char* kState = "state";
inline constexpr const char* kAnswers = "answers";

} // namespace lovagerock::load::client_trace
