#pragma once

#include "base/EventLoop.h"
#include "base/SocketAddress.h"
#include "http/HttpClient.h"
#include "kv/KeyValueStore.h"

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace lovagerock::kv {

// How to reach the key-value service and how much to ask of it at once.
struct ConsulSettings
{
  SocketAddress mServer;
  // Put before every key.
  std::string mPrefix = "lovagerock/";
  // Time for a whole call, including its time in the queue. A watch may take its wait in addition.
  Duration mTimeout{ 2000 };
  // Calls without an answer, including waiting watches.
  std::size_t mMaxInFlight = 64;
  // Calls that wait for one of those to end; further calls fail with RateLimited.
  std::size_t mMaxQueued = 1024;
};

// The key-value service by the Consul KV HTTP protocol. All writes are transactions. Belongs to
// its loop. Calls still open when the store is destroyed end without a callback.
class ConsulStore
{
public:
  ConsulStore(EventLoop& aLoop, const ConsulSettings& aSettings);
  ~ConsulStore();
  ConsulStore(const ConsulStore&) = delete;
  ConsulStore& operator=(const ConsulStore&) = delete;

  void Get(const std::string& aKey, GetCallback aCallback);
  void List(const std::string& aPrefix, ListCallback aCallback);
  void ListPage(const std::string& aPrefix, Bytes aLimit, ListCallback aCallback);
  void ListNames(const std::string& aPrefix, const std::string& aSeparator, Bytes aLimit,
                 NamesCallback aCallback);
  // Deleting an absent key by compare-and-delete counts as applied, as in Consul.
  void Transact(std::vector<Operation> aOperations, TransactCallback aCallback);
  // Watching an absent key (aSince 0) for the first time costs one call more, because a blocking
  // query needs the index that the service gives to the absent key.
  void Watch(const std::string& aKey, ModifyIndex aSince, Duration aWait, GetCallback aCallback);

  // Number of calls made to the service.
  std::size_t Calls() const { return mCalls; }

private:
  struct Call;
  struct WatchState;
  using Queue = std::list<std::shared_ptr<Call>>;

  void Submit(http::ClientRequest aRequest, http::HttpClient::Callback aCallback);
  void Start(const std::shared_ptr<Call>& aCall);
  void StartQueued();
  void ContinueWatch(const std::shared_ptr<WatchState>& aWatch, ModifyIndex aIndex);
  void OnWatchAnswer(const std::shared_ptr<WatchState>& aWatch, std::error_code aError,
                     const http::Response& aResponse);
  http::ClientRequest Request(http::Method aMethod, std::string aTarget, Duration aTimeout) const;

  EventLoop& mLoop;
  ConsulSettings mSettings;
  std::unique_ptr<http::HttpClient> mClient;
  Queue mQueue;
  std::size_t mInFlight = 0;
  std::size_t mCalls = 0;
  // Expires with the store, so that posted callbacks of a destroyed store are dropped.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

static_assert(KeyValueStore<ConsulStore>);

} // namespace lovagerock::kv
