#include "standin/platform/MetadataService.h"

#include "kv/Base64.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace lovagerock::standin {

namespace {

constexpr Duration kTick{ 10 };
// A page of a listing ends with the item that reaches one of these.
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1024 * 1024;
constexpr std::size_t kMaxValueBytes = 1024 * 1024;

Json
WriteItem(const MetadataItem& aItem)
{
  return { { "key", aItem.mKey },
           { "value", kv::EncodeBase64(aItem.mValue) },
           { "revision", aItem.mRevision },
           { "created", aItem.mCreated },
           { "lease", aItem.mLease } };
}

Json
WriteEvent(const MetadataEvent& aEvent)
{
  if (aEvent.mItem) {
    return WriteItem(*aEvent.mItem);
  }
  return { { "key", aEvent.mKey }, { "revision", aEvent.mRevision }, { "deleted", true } };
}

void
Reply(const http::Responder& aTo, const Json& aBody, int aStatus = 200)
{
  aTo.Send(http::JsonResponse(aStatus, DumpJson(aBody)));
}

std::int64_t
QueryNumber(const http::Request& aRequest, std::string_view aName)
{
  const auto json = ParseJson(aRequest.QueryParameter(aName));
  return json && json->is_number_integer() ? json->get<std::int64_t>() : 0;
}

std::int64_t
LeaseOf(const http::Request& aRequest)
{
  const auto json = ParseJson(aRequest.PathParameter("lease"));
  return json && json->is_number_integer() ? json->get<std::int64_t>() : 0;
}

// Throws Json::exception if the body isn't a transaction.
MetadataTransaction
ReadTransaction(const Json& aJson)
{
  MetadataTransaction transaction;
  for (const auto& it : aJson.at("expected")) {
    transaction.mExpected.push_back({ it.at("key"), it.at("revision") });
  }
  for (const auto& it : aJson.at("writes")) {
    const auto value = kv::DecodeBase64(it.at("value").get<std::string>());
    transaction.mWrites.push_back(
      { it.at("key"), value.value_or(""), JsonValue(it, "lease", std::int64_t{ 0 }) });
  }
  transaction.mRemoves = aJson.at("remove").get<std::vector<std::string>>();
  return transaction;
}

TimePoint
SteadyNow()
{
  return std::chrono::steady_clock::now();
}

} // namespace

MetadataService::MetadataService(EventLoop& aLoop)
  : mLoop(aLoop)
{
  mTick = aLoop.Every(kTick, [this] { Tick(); });
}

std::error_code
MetadataService::Listen(const SocketAddress& aFirst, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    AddServer();
    const auto port = static_cast<std::uint16_t>(aFirst.Port() + i);
    if (const auto ec = mServers.back()->Listen(SocketAddress(aFirst.Ip(), port))) {
      return ec;
    }
  }
  return {};
}

void
MetadataService::AddServer()
{
  using http::Method;
  const auto address = static_cast<int>(mServers.size());
  mServers.push_back(std::make_unique<http::HttpServer>(mLoop));
  Handle(address, Method::Get, "/lovagerock/kv-key", &MetadataService::OnGet);
  Handle(address, Method::Get, "/lovagerock/kv-range", &MetadataService::OnRange);
  Handle(address, Method::Get, "/lovagerock/kv-watch", &MetadataService::OnWatch);
  Handle(address, Method::Post, "/lovagerock/kv-txn", &MetadataService::OnTransaction);
  Handle(address, Method::Post, "/lovagerock/kv-lease", &MetadataService::OnGrant);
  Handle(address, Method::Post, "/lovagerock/kv-keep/{lease}", &MetadataService::OnRenew);
  Handle(address, Method::Delete, "/lovagerock/kv-lease-end/{lease}", &MetadataService::OnEndLease);
}

void
MetadataService::Handle(int aAddress, http::Method aMethod, const char* aPattern, Handler aHandler)
{
  mServers.back()->Handle(
    aMethod, aPattern, [this, aAddress, aHandler](http::Request aRequest, http::Responder aTo) {
      if (mFaults.mSilent) {
        mUnanswered.push_back(aTo);
      } else if (mFaults.mRefusing || mFaults.mRefusingAddresses.contains(aAddress)) {
        aTo.Send({ 503, {}, "" });
      } else if (mFaults.mDelay > Duration(0) && aHandler != &MetadataService::OnWatch) {
        mDelayed.push_back({ SteadyNow() + mFaults.mDelay, aHandler, std::move(aRequest), aTo });
      } else {
        (this->*aHandler)(aRequest, aTo);
      }
    });
}

void
MetadataService::Put(const std::string& aKey, const std::string& aValue)
{
  MetadataTransaction write;
  write.mWrites.push_back({ aKey, aValue, 0 });
  mTable.Commit(write);
  ServeWatches();
}

void
MetadataService::Remove(const std::string& aKey)
{
  MetadataTransaction removal;
  removal.mRemoves.push_back(aKey);
  mTable.Commit(removal);
  ServeWatches();
}

void
MetadataService::OnGet(const http::Request& aRequest, const http::Responder& aTo)
{
  if (const auto item = mTable.Get(aRequest.QueryParameter("key"))) {
    Reply(aTo, WriteItem(*item));
  } else {
    Reply(aTo, Json::object(), 404);
  }
}

void
MetadataService::OnRange(const http::Request& aRequest, const http::Responder& aTo)
{
  const auto items = mTable.Range(aRequest.QueryParameter("prefix"),
                                  aRequest.QueryParameter("after"), kPageItems + 1);
  Json rows = Json::array();
  std::size_t bytes = 0;
  for (const auto& it : items) {
    if (rows.size() == kPageItems || bytes >= kPageBytes) {
      break;
    }
    bytes += it.mValue.size();
    rows.push_back(WriteItem(it));
  }
  const bool hasMore = rows.size() < items.size();
  Reply(aTo,
        { { "items", std::move(rows) }, { "has_more", hasMore }, { "as_of", mTable.Revision() } });
}

void
MetadataService::OnWatch(const http::Request& aRequest, const http::Responder& aTo)
{
  const auto now = SteadyNow();
  const WaitingWatch watch{ aRequest.QueryParameter("prefix"), QueryNumber(aRequest, "after"),
                            now + Duration(QueryNumber(aRequest, "wait_ms")), aTo };
  if (!Serve(watch, now)) {
    mWatches.push_back(watch);
  }
}

bool
MetadataService::Serve(const WaitingWatch& aWatch, TimePoint aNow)
{
  const auto events = mTable.EventsAfter(aWatch.mPrefix, aWatch.mAfter);
  if (!events) {
    Reply(aWatch.mResponder, Json::object(), 410);
    return true;
  }
  if (events->empty() && aNow < aWatch.mUntil) {
    return false;
  }
  Json rows = Json::array();
  for (const auto& it : *events) {
    rows.push_back(WriteEvent(it));
  }
  Reply(aWatch.mResponder, { { "events", std::move(rows) }, { "as_of", mTable.Revision() } });
  return true;
}

void
MetadataService::ServeWatches()
{
  if (IsServing()) {
    std::erase_if(mWatches, [this, now = SteadyNow()](const auto& aIt) { return Serve(aIt, now); });
  }
}

void
MetadataService::DiscardHistory()
{
  mTable.DiscardHistory();
  for (const auto& it : std::exchange(mWatches, {})) {
    it.mResponder.Abort();
  }
}

std::size_t
MetadataService::LoseWaitingWrites()
{
  return std::erase_if(mDelayed, [this](const auto& aIt) {
    const bool isWrite = aIt.mHandler == &MetadataService::OnTransaction;
    if (isWrite) {
      mUnanswered.push_back(aIt.mResponder);
    }
    return isWrite;
  });
}

void
MetadataService::CarryOutDelayed()
{
  const auto now = SteadyNow();
  const auto due = std::stable_partition(mDelayed.begin(), mDelayed.end(),
                                         [now](const auto& aIt) { return aIt.mDue > now; });
  const std::vector<DelayedCall> calls(std::make_move_iterator(due),
                                       std::make_move_iterator(mDelayed.end()));
  mDelayed.erase(due, mDelayed.end());
  for (const auto& it : calls) {
    (this->*it.mHandler)(it.mRequest, it.mResponder);
  }
}

void
MetadataService::OnTransaction(const http::Request& aRequest, const http::Responder& aTo)
{
  if (mFaults.mRefusingWrites) {
    aTo.Send({ 429, {}, "" });
    return;
  }
  MetadataTransaction transaction;
  try {
    transaction = ReadTransaction(Json::parse(aRequest.mBody));
  } catch (const Json::exception& ex) {
    Reply(aTo, { { "error", ex.what() } }, 400);
    return;
  }
  const auto& writes = transaction.mWrites;
  if (std::any_of(writes.begin(), writes.end(),
                  [](const auto& aIt) { return aIt.mValue.size() > kMaxValueBytes; })) {
    Reply(aTo, { { "error", "value too large" } }, 400);
    return;
  }
  const auto result = mTable.Commit(transaction);
  if (mFaults.mLostAnswers > 0) {
    --mFaults.mLostAnswers;
    mUnanswered.push_back(aTo);
  } else if (result == CommitResult::Committed) {
    Reply(aTo, { { "revision", mTable.Revision() } });
  } else if (result == CommitResult::NoLease) {
    Reply(aTo, Json::object(), 404);
  } else {
    Json items = Json::array();
    for (const auto& it : transaction.mExpected) {
      if (const auto item = mTable.Get(it.mKey)) {
        items.push_back(WriteItem(*item));
      }
    }
    Reply(aTo, { { "items", std::move(items) } }, 412);
  }
  ServeWatches();
}

void
MetadataService::OnGrant(const http::Request& aRequest, const http::Responder& aTo)
{
  const auto json = ParseJson(aRequest.mBody).value_or(Json::object());
  const Duration asked(JsonValue(json, "ttl_ms", std::int64_t{ 1000 }));
  if (asked < mFaults.mMinLease) {
    Reply(aTo, Json::object(), 400);
    return;
  }
  const auto time = mFaults.mLeaseTime.value_or(asked);
  Reply(aTo, { { "lease", mTable.GrantLease(time, SteadyNow()) }, { "ttl_ms", time.count() } });
}

void
MetadataService::OnRenew(const http::Request& aRequest, const http::Responder& aTo)
{
  const auto time = mTable.RenewLease(LeaseOf(aRequest), SteadyNow(), mFaults.mLeaseTime);
  if (time) {
    Reply(aTo, { { "ttl_ms", time->count() } });
  } else {
    Reply(aTo, Json::object(), 404);
  }
}

void
MetadataService::OnEndLease(const http::Request& aRequest, const http::Responder& aTo)
{
  mTable.EndLease(LeaseOf(aRequest));
  Reply(aTo, Json::object());
  ServeWatches();
}

void
MetadataService::Tick()
{
  CarryOutDelayed();
  if (IsServing()) {
    mTable.ExpireLeases(SteadyNow());
  }
  ServeWatches();
}

} // namespace lovagerock::standin
