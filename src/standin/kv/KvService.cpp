#include "standin/kv/KvService.h"

#include "standin/kv/KvJson.h"

#include <event2/http.h>

#include <charconv>
#include <chrono>
#include <utility>

namespace lovagerock::standin {

namespace detail {
namespace {

using Clock = std::chrono::steady_clock;
using http::Method;

constexpr Duration kDefaultWait{ 300000 };
constexpr Duration kSessionCheck{ 100 };

// 64 values of 1 MB in base64 with their frames.
http::ServerLimits
Limits()
{
  http::ServerLimits limits;
  limits.mMaxBody = Bytes(std::int64_t(96) * 1024 * 1024);
  return limits;
}

// The key of a request. The route's parameter would lose a slash at the end of a prefix.
std::string
KeyOf(const http::Request& aRequest)
{
  constexpr std::string_view kPath = "/v1/kv/";
  const auto encoded = aRequest.mPath.substr(std::min(kPath.size(), aRequest.mPath.size()));
  std::size_t n = 0;
  char* decoded = evhttp_uridecode(encoded.c_str(), 0, &n);
  std::string key(decoded ? decoded : "", n);
  free(decoded);
  return key;
}

std::optional<std::uint64_t>
NumberParameter(const http::Request& aRequest, std::string_view aName)
{
  const auto& text = aRequest.QueryParameter(aName);
  std::uint64_t n = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), n);
  return result.ec == std::errc() ? std::optional(n) : std::nullopt;
}

http::Response
Answer(const Json& aJson, int aStatus = 200)
{
  return http::JsonResponse(aStatus, DumpJson(aJson));
}

http::Response
Refusal(int aStatus, const std::string& aText)
{
  return { aStatus, {}, aText };
}

} // namespace
} // namespace detail

KvService::KvService(EventLoop& aLoop, const KvServiceSettings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mServer(aLoop, detail::Limits())
  , mReads(aSettings.mReadsPerSecond)
  , mWrites(aSettings.mWritesPerSecond)
{
  AddRoutes();
  AddFaultRoutes();
  mSessionTimer = mLoop.Every(detail::kSessionCheck, [this] {
    if (mTable.ExpireSessions(detail::Clock::now())) {
      NotifyWaiters();
    }
  });
}

void
KvService::AddRoutes()
{
  using detail::Method;
  const auto member = [this](http::Response (KvService::*aHandler)(const http::Request&)) {
    return [this, aHandler](const http::Request& aRequest) { return (this->*aHandler)(aRequest); };
  };
  Route(Method::Get, "/v1/kv/{key*}", Kind::Read, "kv_get", member(&KvService::Read));
  Route(Method::Put, "/v1/kv/{key*}", Kind::Write, "kv_put", member(&KvService::Put));
  Route(Method::Delete, "/v1/kv/{key*}", Kind::Write, "kv_delete", member(&KvService::Delete));
  Route(Method::Put, "/v1/txn", Kind::Write, "txn", member(&KvService::Transact));
  Route(Method::Put, "/v1/session/create", Kind::Write, "session_create",
        member(&KvService::CreateSession));
  Route(Method::Put, "/v1/session/renew/{session}", Kind::Write, "session_renew",
        member(&KvService::RenewSession));
  Route(Method::Put, "/v1/session/destroy/{session}", Kind::Write, "session_destroy",
        member(&KvService::DestroySession));
}

void
KvService::AddFaultRoutes()
{
  using detail::Method;
  mServer.Handle(Method::Post, "/v1/faults",
                 [this](const http::Request& aRequest, const http::Responder& aResponder) {
                   aResponder.Send(SetFaults(aRequest));
                 });
  mServer.Handle(Method::Get, "/v1/stats",
                 [this](const http::Request&, const http::Responder& aResponder) {
                   aResponder.Send(detail::Answer(Json(mStats)));
                 });
}

void
KvService::Route(http::Method aMethod, const std::string& aPattern, Kind aKind,
                 const std::string& aName, Handler aHandler)
{
  mServer.Handle(aMethod, aPattern,
                 [this, aKind, aName, handler = std::move(aHandler)](
                   const http::Request& aRequest, const http::Responder& aResponder) {
                   ++mStats[aName];
                   Admit(aKind, aRequest, aResponder, handler);
                 });
}

void
KvService::Admit(Kind aKind, const http::Request& aRequest, const http::Responder& aResponder,
                 const Handler& aHandler)
{
  if (mFaults.mDown) {
    Drop(aResponder);
    return;
  }
  if (mFaults.mHang) {
    mHung.push_back(aResponder);
    return;
  }
  auto& limiter = aKind == Kind::Read ? mReads : mWrites;
  if (!limiter.Allow(detail::Clock::now())) {
    ++mStats["rate_limited"];
    aResponder.Send(detail::Refusal(429, "rate limit exceeded"));
    return;
  }
  Delay([this, aKind, aRequest, aResponder, aHandler] {
    Execute(aKind, aRequest, aResponder, aHandler);
  });
}

void
KvService::Execute(Kind aKind, const http::Request& aRequest, const http::Responder& aResponder,
                   const Handler& aHandler)
{
  if (mFaults.mDown) {
    Drop(aResponder);
    return;
  }
  if (aKind == Kind::Read && Block(aRequest, aResponder)) {
    return;
  }
  auto response = aHandler(aRequest);
  if (aKind == Kind::Write) {
    NotifyWaiters();
    if (mFaults.mLoseAnswers > 0) {
      --mFaults.mLoseAnswers;
      Drop(aResponder);
      return;
    }
  }
  aResponder.Send(std::move(response));
}

void
KvService::Delay(std::function<void()> aTask)
{
  const auto delay = mSettings.mLatency + mFaults.mSlow;
  if (delay == Duration(0)) {
    aTask();
    return;
  }
  const auto id = mNextId++;
  mDelays[id] = mLoop.After(delay, [this, id, task = std::move(aTask)] {
    const auto timer = mDelays.extract(id);
    task();
  });
}

void
KvService::Drop(const http::Responder& aResponder)
{
  ++mStats["dropped"];
  aResponder.Abort();
  // A responder that is destroyed before the connection is closed would answer 500.
  mLoop.Post([aResponder] {});
}

void
KvService::DropAll()
{
  for (const auto& it : std::exchange(mHung, {})) {
    Drop(it);
  }
  const auto waiters = std::exchange(mWaiters, {});
  for (const auto& it : waiters) {
    Drop(it.second.mResponder);
  }
}

const KvTable&
KvService::ReadTable() const
{
  return mFaults.mStaleReads ? mSnapshot : mTable;
}

std::uint64_t
KvService::IndexFor(const http::Request& aRequest) const
{
  const auto key = detail::KeyOf(aRequest);
  const bool isPrefix = aRequest.mQuery.contains("recurse") || aRequest.mQuery.contains("keys");
  return isPrefix ? ReadTable().IndexOfPrefix(key) : ReadTable().IndexOf(key);
}

http::Response
KvService::Read(const http::Request& aRequest)
{
  const auto key = detail::KeyOf(aRequest);
  std::vector<KvItem> items;
  if (aRequest.mQuery.contains("keys")) {
    const auto names = ReadTable().ListNames(key, aRequest.QueryParameter("separator"));
    auto response = names.empty() ? detail::Refusal(404, "") : detail::Answer(Json(names));
    response.mHeaders.Add("X-Consul-Index", std::to_string(IndexFor(aRequest)));
    return response;
  }
  if (aRequest.mQuery.contains("recurse")) {
    items = ReadTable().List(key);
  } else if (auto item = ReadTable().Get(key)) {
    items.push_back(std::move(*item));
  }
  Json body = Json::array();
  for (const auto& it : items) {
    body.push_back(WriteItem(it));
  }
  auto response = items.empty() ? detail::Refusal(404, "") : detail::Answer(body);
  response.mHeaders.Add("X-Consul-Index", std::to_string(IndexFor(aRequest)));
  return response;
}

bool
KvService::Block(const http::Request& aRequest, const http::Responder& aResponder)
{
  const auto index = detail::NumberParameter(aRequest, "index").value_or(0);
  if (index == 0 || IndexFor(aRequest) > index) {
    return false;
  }
  const auto wait = ReadDuration(aRequest.QueryParameter("wait")).value_or(detail::kDefaultWait);
  const auto id = mNextId++;
  auto timeout = mLoop.After(wait, [this, id] { EndWaiter(id); });
  mWaiters.emplace(id, Waiter{ aRequest, aResponder, index, std::move(timeout) });
  return true;
}

void
KvService::EndWaiter(std::uint64_t aId)
{
  const auto waiter = mWaiters.extract(aId);
  if (!waiter.empty()) {
    waiter.mapped().mResponder.Send(Read(waiter.mapped().mRequest));
  }
}

void
KvService::NotifyWaiters(bool aAll)
{
  std::vector<std::uint64_t> due;
  for (const auto& [id, waiter] : mWaiters) {
    if (aAll || IndexFor(waiter.mRequest) > waiter.mIndex) {
      due.push_back(id);
    }
  }
  for (const auto it : due) {
    EndWaiter(it);
  }
}

http::Response
KvService::Put(const http::Request& aRequest)
{
  const auto key = detail::KeyOf(aRequest);
  if (aRequest.mBody.size() > KvTable::kMaxValue) {
    return detail::Refusal(413, "value is too large");
  }
  if (aRequest.mQuery.contains("acquire")) {
    return detail::Answer(mTable.Acquire(key, aRequest.mBody, aRequest.QueryParameter("acquire")));
  }
  if (aRequest.mQuery.contains("release")) {
    return detail::Answer(mTable.Release(key, aRequest.mBody, aRequest.QueryParameter("release")));
  }
  return detail::Answer(mTable.Put(key, aRequest.mBody, detail::NumberParameter(aRequest, "cas")));
}

http::Response
KvService::Delete(const http::Request& aRequest)
{
  const auto key = detail::KeyOf(aRequest);
  if (aRequest.mQuery.contains("recurse")) {
    mTable.DeletePrefix(key);
    return detail::Answer(true);
  }
  return detail::Answer(mTable.Delete(key, detail::NumberParameter(aRequest, "cas")));
}

http::Response
KvService::Transact(const http::Request& aRequest)
{
  std::string error;
  const auto operations = ReadTransaction(aRequest.mBody, error);
  if (!operations) {
    return detail::Refusal(400, error);
  }
  const auto transaction = mTable.Transact(*operations);
  return detail::Answer(WriteTransaction(transaction), transaction.mErrors.empty() ? 200 : 409);
}

http::Response
KvService::CreateSession(const http::Request& aRequest)
{
  const auto body = ParseJson(aRequest.mBody.empty() ? "{}" : aRequest.mBody);
  const auto ttl = body ? ReadDuration(JsonValue(*body, "TTL", std::string("0s"))) : std::nullopt;
  if (!ttl) {
    return detail::Refusal(400, "malformed body");
  }
  const bool deletes = JsonValue(*body, "Behavior", std::string()) == "delete";
  return detail::Answer({ { "ID", mTable.CreateSession(*ttl, deletes, detail::Clock::now()) } });
}

http::Response
KvService::RenewSession(const http::Request& aRequest)
{
  const auto& session = aRequest.PathParameter("session");
  if (!mTable.RenewSession(session, detail::Clock::now())) {
    return detail::Refusal(404, "session id '" + session + "' not found");
  }
  const auto ttl = mTable.SessionTtl(session).value_or(Duration(0));
  return detail::Answer(
    Json::array({ { { "ID", session }, { "TTL", std::to_string(ttl.count()) + "ms" } } }));
}

http::Response
KvService::DestroySession(const http::Request& aRequest)
{
  mTable.DestroySession(aRequest.PathParameter("session"));
  return detail::Answer(true);
}

http::Response
KvService::SetFaults(const http::Request& aRequest)
{
  const auto body = ParseJson(aRequest.mBody);
  if (!body || !body->is_object()) {
    return detail::Refusal(400, "malformed body");
  }
  mFaults.mDown = JsonValue(*body, "down", mFaults.mDown);
  mFaults.mHang = JsonValue(*body, "hang", mFaults.mHang);
  mFaults.mStaleReads = JsonValue(*body, "stale_reads", mFaults.mStaleReads);
  mFaults.mSlow = Duration(JsonValue(*body, "slow_ms", mFaults.mSlow.count()));
  mFaults.mLoseAnswers = JsonValue(*body, "lose_answers", mFaults.mLoseAnswers);
  if (JsonValue(*body, "snapshot", false)) {
    mSnapshot = mTable;
  }
  if (JsonValue(*body, "restore", false)) {
    mTable.Restore(mSnapshot);
    // As in Consul, a restore ends all blocking queries.
    NotifyWaiters(true);
  }
  if (mFaults.mDown) {
    DropAll();
  }
  return detail::Answer(Json::object());
}

} // namespace lovagerock::standin
