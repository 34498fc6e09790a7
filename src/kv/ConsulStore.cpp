#include "kv/ConsulStore.h"

#include "http/HttpError.h"
#include "kv/ConsulMessages.h"
#include "kv/KvError.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace lovagerock::kv {

namespace detail {
namespace {

using Clock = std::chrono::steady_clock;

// A watch whose rest is shorter than this ends; asking again would not pay for the call.
constexpr Duration kShortestWait{ 100 };

std::error_code
TranslateError(std::error_code aError, bool aIsWrite)
{
  if (aError == http::HttpError::NotSent) {
    return KvError::Unavailable;
  }
  if (aIsWrite) {
    return KvError::OutcomeUnknown;
  }
  return aError == http::HttpError::AnswerTooLarge ? KvError::TooLarge : KvError::Unavailable;
}

std::error_code
TranslateStatus(int aStatus, bool aIsWrite)
{
  if (aStatus == 429) {
    return KvError::RateLimited;
  }
  // A server error may come after the write was handed on; other refusals come before it.
  return aIsWrite && aStatus >= 500 ? KvError::OutcomeUnknown : KvError::Unavailable;
}

// The error of an answer to a GET; none for 200 and 404.
std::error_code
ReadError(std::error_code aError, const http::Response& aResponse)
{
  if (aError) {
    return TranslateError(aError, false);
  }
  const bool answered = aResponse.mStatus == 200 || aResponse.mStatus == 404;
  return answered ? std::error_code() : TranslateStatus(aResponse.mStatus, false);
}

// Reads the entries of an answer to a GET; none after 404.
std::error_code
ReadAnswer(std::error_code aError, const http::Response& aResponse, const std::string& aPrefix,
           std::vector<Entry>& aEntries)
{
  const auto ec = ReadError(aError, aResponse);
  if (ec || aResponse.mStatus == 404) {
    return ec;
  }
  auto entries = ReadConsulEntries(aResponse.mBody, aPrefix);
  if (!entries) {
    return KvError::BadAnswer;
  }
  aEntries = std::move(*entries);
  return {};
}

std::error_code
ReadTransaction(std::error_code aError, const http::Response& aResponse,
                const std::vector<Operation>& aOperations, TransactionResult& aResult)
{
  if (aError) {
    return TranslateError(aError, true);
  }
  if (aResponse.mStatus != 200 && aResponse.mStatus != 409) {
    return TranslateStatus(aResponse.mStatus, true);
  }
  auto result = aResponse.mStatus == 200
                  ? ReadConsulApplied(aResponse.mBody, aOperations)
                  : ReadConsulRolledBack(aResponse.mBody, aOperations.size());
  if (!result) {
    return KvError::BadAnswer;
  }
  aResult = std::move(*result);
  return {};
}

ModifyIndex
ReadIndexHeader(const http::Response& aResponse)
{
  const auto text = aResponse.mHeaders.Get("X-Consul-Index");
  ModifyIndex index = 0;
  std::from_chars(text.data(), text.data() + text.size(), index);
  // An index of 0 would turn the next blocking query into a busy loop.
  return std::max<ModifyIndex>(index, 1);
}

// Reads the names of an answer to a GET with ?keys; none after 404.
std::error_code
ReadNames(std::error_code aError, const http::Response& aResponse, const std::string& aPrefix,
          NameList& aList)
{
  const auto ec = ReadError(aError, aResponse);
  if (ec || aResponse.mStatus == 404) {
    return ec;
  }
  auto names = ReadConsulNames(aResponse.mBody, aPrefix);
  if (!names) {
    return KvError::BadAnswer;
  }
  aList = { std::move(*names), ReadIndexHeader(aResponse) };
  return {};
}

Duration
Until(TimePoint aTime)
{
  return std::max(Duration(0), std::chrono::duration_cast<Duration>(aTime - Clock::now()));
}

} // namespace
} // namespace detail

// A call that waits for its turn or for its answer.
struct ConsulStore::Call
{
  http::ClientRequest mRequest;
  http::HttpClient::Callback mCallback;
  TimePoint mDeadline;
  Timer mQueueTimeout;
};

// A watch over one or more blocking queries.
struct ConsulStore::WatchState
{
  std::string mKey;
  ModifyIndex mSince;
  TimePoint mEnd;
  GetCallback mCallback;
};

ConsulStore::ConsulStore(EventLoop& aLoop, const ConsulSettings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mClient(std::make_unique<http::HttpClient>(aLoop))
{
}

ConsulStore::~ConsulStore() = default;

void
ConsulStore::Get(const std::string& aKey, GetCallback aCallback)
{
  auto request =
    Request(http::Method::Get, ConsulKeyPath(mSettings.mPrefix + aKey), mSettings.mTimeout);
  Submit(std::move(request), [this, callback = std::move(aCallback)](
                               std::error_code aError, const http::Response& aResponse) {
    std::vector<Entry> entries;
    const auto ec = detail::ReadAnswer(aError, aResponse, mSettings.mPrefix, entries);
    callback(ec, entries.empty() ? std::nullopt : std::optional(std::move(entries[0])));
  });
}

void
ConsulStore::List(const std::string& aPrefix, ListCallback aCallback)
{
  ListPage(aPrefix, http::ClientRequest().mMaxAnswer, std::move(aCallback));
}

void
ConsulStore::ListPage(const std::string& aPrefix, Bytes aLimit, ListCallback aCallback)
{
  auto request =
    Request(http::Method::Get, ConsulKeyPath(mSettings.mPrefix + aPrefix) + "?recurse=true",
            mSettings.mTimeout);
  request.mMaxAnswer = aLimit;
  Submit(std::move(request), [this, callback = std::move(aCallback)](
                               std::error_code aError, const http::Response& aResponse) {
    std::vector<Entry> entries;
    const auto ec = detail::ReadAnswer(aError, aResponse, mSettings.mPrefix, entries);
    callback(ec, std::move(entries));
  });
}

void
ConsulStore::ListNames(const std::string& aPrefix, const std::string& aSeparator, Bytes aLimit,
                       NamesCallback aCallback)
{
  auto target = ConsulKeyPath(mSettings.mPrefix + aPrefix) + "?keys=true";
  if (!aSeparator.empty()) {
    target += "&separator=" + http::EncodeComponent(aSeparator);
  }
  auto request = Request(http::Method::Get, std::move(target), mSettings.mTimeout);
  request.mMaxAnswer = aLimit;
  Submit(std::move(request), [this, callback = std::move(aCallback)](
                               std::error_code aError, const http::Response& aResponse) {
    NameList list;
    const auto ec = detail::ReadNames(aError, aResponse, mSettings.mPrefix, list);
    callback(ec, std::move(list));
  });
}

void
ConsulStore::Transact(std::vector<Operation> aOperations, TransactCallback aCallback)
{
  auto request = Request(http::Method::Put, "/v1/txn", mSettings.mTimeout);
  request.mBody = WriteConsulTransaction(aOperations, mSettings.mPrefix);
  Submit(std::move(request), [operations = std::move(aOperations), callback = std::move(aCallback)](
                               std::error_code aError, const http::Response& aResponse) {
    TransactionResult result;
    const auto ec = detail::ReadTransaction(aError, aResponse, operations, result);
    callback(ec, std::move(result));
  });
}

void
ConsulStore::Watch(const std::string& aKey, ModifyIndex aSince, Duration aWait,
                   GetCallback aCallback)
{
  auto watch = std::make_shared<WatchState>();
  watch->mKey = aKey;
  watch->mSince = aSince;
  watch->mEnd = detail::Clock::now() + aWait;
  watch->mCallback = std::move(aCallback);
  ContinueWatch(watch, aSince);
}

void
ConsulStore::ContinueWatch(const std::shared_ptr<WatchState>& aWatch, ModifyIndex aIndex)
{
  auto target = ConsulKeyPath(mSettings.mPrefix + aWatch->mKey);
  const auto wait = aIndex == 0 ? Duration(0) : detail::Until(aWatch->mEnd);
  if (aIndex != 0) {
    target += "?index=" + std::to_string(aIndex) + "&wait=" + std::to_string(wait.count()) + "ms";
  }
  Submit(Request(http::Method::Get, std::move(target), wait + mSettings.mTimeout),
         [this, aWatch](std::error_code aError, const http::Response& aResponse) {
           OnWatchAnswer(aWatch, aError, aResponse);
         });
}

void
ConsulStore::OnWatchAnswer(const std::shared_ptr<WatchState>& aWatch, std::error_code aError,
                           const http::Response& aResponse)
{
  std::vector<Entry> entries;
  const auto ec = detail::ReadAnswer(aError, aResponse, mSettings.mPrefix, entries);
  const auto index = entries.empty() ? 0 : entries[0].mModifyIndex;
  if (ec || index != aWatch->mSince || detail::Until(aWatch->mEnd) < detail::kShortestWait) {
    aWatch->mCallback(ec, entries.empty() ? std::nullopt : std::optional(std::move(entries[0])));
    return;
  }
  // The service may answer a blocking query early without a change of the key.
  ContinueWatch(aWatch, detail::ReadIndexHeader(aResponse));
}

http::ClientRequest
ConsulStore::Request(http::Method aMethod, std::string aTarget, Duration aTimeout) const
{
  http::ClientRequest request;
  request.mServer = mSettings.mServer;
  request.mMethod = aMethod;
  request.mTarget = std::move(aTarget);
  request.mDeadline = aTimeout;
  return request;
}

void
ConsulStore::Submit(http::ClientRequest aRequest, http::HttpClient::Callback aCallback)
{
  auto call = std::make_shared<Call>();
  call->mDeadline = detail::Clock::now() + aRequest.mDeadline;
  call->mRequest = std::move(aRequest);
  call->mCallback = std::move(aCallback);
  if (mInFlight < mSettings.mMaxInFlight) {
    Start(call);
    return;
  }
  if (mQueue.size() >= mSettings.mMaxQueued) {
    mLoop.Post([call, alive = std::weak_ptr<bool>(mAlive)] {
      if (alive.lock()) {
        call->mCallback({}, { 429, {}, {} });
      }
    });
    return;
  }
  const auto it = mQueue.insert(mQueue.end(), call);
  call->mQueueTimeout = mLoop.After(call->mRequest.mDeadline, [this, it] {
    const auto expired = *it;
    mQueue.erase(it);
    expired->mCallback(http::HttpError::NotSent, {});
  });
}

void
ConsulStore::Start(const std::shared_ptr<Call>& aCall)
{
  ++mInFlight;
  ++mCalls;
  aCall->mQueueTimeout.Cancel();
  aCall->mRequest.mDeadline = detail::Until(aCall->mDeadline);
  mClient->Send(aCall->mRequest, [this, aCall](std::error_code aError, http::Response aResponse) {
    --mInFlight;
    const std::weak_ptr<bool> alive = mAlive;
    aCall->mCallback(aError, std::move(aResponse));
    // The callback may have destroyed the store.
    if (alive.lock()) {
      StartQueued();
    }
  });
}

void
ConsulStore::StartQueued()
{
  while (!mQueue.empty() && mInFlight < mSettings.mMaxInFlight) {
    const auto call = mQueue.front();
    mQueue.pop_front();
    Start(call);
  }
}

} // namespace lovagerock::kv
