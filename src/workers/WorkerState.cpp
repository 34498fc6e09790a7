#include "workers/WorkerState.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace lovagerock::workers {

namespace detail {
namespace {

constexpr std::array<std::pair<LeaseKind, std::string_view>, 2> kLeaseKindNames{ {
  { LeaseKind::Job, "job" },
  { LeaseKind::Service, "service" },
} };

constexpr std::array<std::pair<LeasePhase, std::string_view>, 6> kLeasePhaseNames{ {
  { LeasePhase::Reserved, "reserved" },
  { LeasePhase::Running, "running" },
  { LeasePhase::Stopping, "stopping" },
  { LeasePhase::Finished, "finished" },
  { LeasePhase::Failed, "failed" },
  { LeasePhase::Stopped, "stopped" },
} };

template<typename Table, typename Value>
std::string_view
EnumName(const Table& aTable, Value aValue)
{
  const auto* it = std::find_if(aTable.begin(), aTable.end(),
                                [aValue](const auto& aItem) { return aItem.first == aValue; });
  return it == aTable.end() ? std::string_view() : it->second;
}

template<typename Table, typename Value>
void
ReadEnum(const Table& aTable, const Json& aJson, Value& aValue)
{
  const auto& name = aJson.get_ref<const std::string&>();
  const auto* it = std::find_if(aTable.begin(), aTable.end(),
                                [&name](const auto& aItem) { return aItem.second == name; });
  if (it == aTable.end()) {
    throw Json::other_error::create(501, "unknown name '" + name + "'", &aJson);
  }
  aValue = it->first;
}

template<typename Tag>
void
ReadId(const Json& aJson, const char* aKey, StrongId<Tag>& aId)
{
  aId = StrongId<Tag>(aJson.at(aKey).get<std::string>());
}

// Reads a member; throws if it is absent or has the wrong type.
template<typename T>
void
ReadMember(const Json& aJson, const char* aKey, T& aValue)
{
  aValue = JsonAt<T>(aJson, aKey);
}

// Reads a member that may be absent. Throws if it is present with the wrong type.
template<typename T>
void
ReadOptional(const Json& aJson, const char* aKey, T& aValue)
{
  if (const auto it = aJson.find(aKey); it != aJson.end()) {
    aValue = ConvertJson<T>(*it);
  }
}

Duration
ReadMilliseconds(const Json& aJson, const char* aKey)
{
  // Over 30 years; longer ones would overflow the arithmetic of time points.
  constexpr std::int64_t kMax = 1'000'000'000'000;
  return Duration(JsonInRange(aJson.at(aKey), -kMax, kMax));
}

// The members that a lease request and a lease state share.
template<typename Lease>
Json
WriteSharedMembers(const Lease& aLease)
{
  return { { "lease", aLease.mLease.Value() },
           { "kind", LeaseKindName(aLease.mKind) },
           { "resources", aLease.mResources },
           { "reclaimable", aLease.mReclaimable },
           { "idempotent", aLease.mIdempotent },
           { "account", aLease.mAccount.Value() },
           { "service", aLease.mService.Value() },
           { "job", aLease.mJob.Value() },
           { "task", aLease.mTask },
           { "tasks", aLease.mTasks },
           { "attempt", aLease.mAttempt },
           { "checkpoint", aLease.mCheckpoint } };
}

template<typename Lease>
void
ReadSharedMembers(const Json& aJson, Lease& aLease)
{
  ReadEnum(kLeaseKindNames, aJson.at("kind"), aLease.mKind);
  aLease.mResources = aJson.at("resources").get<Resources>();
  ReadMember(aJson, "reclaimable", aLease.mReclaimable);
  ReadMember(aJson, "idempotent", aLease.mIdempotent);
  ReadId(aJson, "account", aLease.mAccount);
  ReadId(aJson, "service", aLease.mService);
  ReadId(aJson, "job", aLease.mJob);
  ReadMember(aJson, "task", aLease.mTask);
  ReadMember(aJson, "tasks", aLease.mTasks);
  ReadMember(aJson, "attempt", aLease.mAttempt);
  ReadOptional(aJson, "checkpoint", aLease.mCheckpoint);
}

Fence
ParseFence(const Json& aJson)
{
  Fence fence;
  ReadMember(aJson, "epoch", fence.mEpoch);
  ReadId(aJson, "node", fence.mNode);
  return fence;
}

LeaseState
ParseLeaseState(const Json& aJson)
{
  LeaseState state;
  ReadId(aJson, "lease", state.mLease);
  ReadSharedMembers(aJson, state);
  ReadEnum(kLeasePhaseNames, aJson.at("phase"), state.mPhase);
  state.mExpiresIn = ReadMilliseconds(aJson, "expires_in_ms");
  ReadOptional(aJson, "error", state.mError);
  return state;
}

WorkerState
ParseWorkerState(const Json& aJson)
{
  WorkerState state;
  ReadId(aJson, "worker", state.mWorker);
  ReadId(aJson, "region", state.mRegion);
  ReadId(aJson, "zone", state.mZone);
  ReadId(aJson, "rack", state.mRack);
  ReadMember(aJson, "incarnation", state.mIncarnation);
  ReadMember(aJson, "sequence", state.mSequence);
  // Any state other than live means that the worker must get no new work.
  state.mLeaving = aJson.at("state").get_ref<const std::string&>() != "live";
  const auto& capacity = aJson.at("capacity");
  state.mCapacity = capacity.get<Resources>();
  ReadMember(capacity, "connections", state.mConnections);
  state.mFence = ParseFence(aJson.at("fence"));
  const auto& usage = aJson.at("usage");
  state.mUsageLag = ReadMilliseconds(usage, "lag_ms");
  state.mBusyAccelerators = Accelerators(JsonAt<std::int64_t>(usage, "busy_accelerators"));
  for (const auto& it : aJson.at("leases")) {
    state.mLeases.push_back(ParseLeaseState(it));
  }
  return state;
}

// Runs a parser that throws on a missing or mistyped member; returns nullopt if it throws.
template<typename Parser>
auto
TryParse(Parser aParser) -> std::optional<decltype(aParser())>
{
  try {
    return aParser();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace
} // namespace detail

std::string_view
LeaseKindName(LeaseKind aKind)
{
  return detail::EnumName(detail::kLeaseKindNames, aKind);
}

std::string_view
LeasePhaseName(LeasePhase aPhase)
{
  return detail::EnumName(detail::kLeasePhaseNames, aPhase);
}

void
to_json(Json& aJson, const Fence& aFence)
{
  aJson = Json{ { "epoch", aFence.mEpoch }, { "node", aFence.mNode.Value() } };
}

void
to_json(Json& aJson, const LeaseRequest& aRequest)
{
  aJson = detail::WriteSharedMembers(aRequest);
  aJson["fence"] = aRequest.mFence;
  aJson["ttl_ms"] = aRequest.mTtl.count();
  aJson["payload"] = aRequest.mPayload;
}

void
to_json(Json& aJson, const LeaseState& aState)
{
  aJson = detail::WriteSharedMembers(aState);
  aJson["phase"] = LeasePhaseName(aState.mPhase);
  aJson["expires_in_ms"] = aState.mExpiresIn.count();
  aJson["error"] = aState.mError;
}

void
to_json(Json& aJson, const WorkerState& aState)
{
  Json capacity = aState.mCapacity;
  capacity["connections"] = aState.mConnections;
  aJson = Json{ { "worker", aState.mWorker.Value() },
                { "region", aState.mRegion.Value() },
                { "zone", aState.mZone.Value() },
                { "rack", aState.mRack.Value() },
                { "incarnation", aState.mIncarnation },
                { "sequence", aState.mSequence },
                { "state", aState.mLeaving ? "leaving" : "live" },
                { "capacity", std::move(capacity) },
                { "fence", aState.mFence },
                { "usage",
                  { { "lag_ms", aState.mUsageLag.count() },
                    { "busy_accelerators", aState.mBusyAccelerators.Value() } } },
                { "leases", aState.mLeases } };
}

std::optional<Fence>
ReadFence(const Json& aJson)
{
  return detail::TryParse([&] { return detail::ParseFence(aJson); });
}

std::optional<LeaseRequest>
ReadLeaseRequest(const LeaseId& aLease, const Json& aJson)
{
  return detail::TryParse([&] {
    LeaseRequest request;
    request.mLease = aLease;
    detail::ReadSharedMembers(aJson, request);
    request.mFence = detail::ParseFence(aJson.at("fence"));
    request.mTtl = detail::ReadMilliseconds(aJson, "ttl_ms");
    detail::ReadOptional(aJson, "payload", request.mPayload);
    return request;
  });
}

std::optional<LeaseState>
ReadLeaseState(const Json& aJson)
{
  return detail::TryParse([&] { return detail::ParseLeaseState(aJson); });
}

std::optional<WorkerState>
ReadWorkerState(const Json& aJson)
{
  return detail::TryParse([&] { return detail::ParseWorkerState(aJson); });
}

std::string
WriteStateTag(const StateVersion& aVersion)
{
  return '"' + aVersion.mIncarnation + '.' + std::to_string(aVersion.mSequence) + '"';
}

std::optional<StateVersion>
ReadStateTag(std::string_view aTag)
{
  const auto dot = aTag.rfind('.');
  if (aTag.size() < 2 || aTag.front() != '"' || aTag.back() != '"' || dot == aTag.npos) {
    return std::nullopt;
  }
  StateVersion version;
  version.mIncarnation = aTag.substr(1, dot - 1);
  const auto* end = aTag.data() + aTag.size() - 1;
  const auto result = std::from_chars(aTag.data() + dot + 1, end, version.mSequence);
  return result.ec == std::errc() && result.ptr == end ? std::optional(version) : std::nullopt;
}

} // namespace lovagerock::workers
