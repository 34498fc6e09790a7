#pragma once

#include "base/EventLoop.h"
#include "base/Json.h"
#include "base/Units.h"
#include "http/HttpServer.h"
#include "standin/kv/KvTable.h"
#include "standin/kv/RateLimiter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagerock::standin {

// Limits of the stand-in service; a rate of 0 means no limit.
struct KvServiceSettings
{
  double mWritesPerSecond = 0;
  double mReadsPerSecond = 0;
  // Time that every call takes.
  Duration mLatency{ 0 };
};

// The HTTP side of the stand-in key-value service: the Consul KV HTTP protocol on a KvTable, rate
// limits, and faults set by POST /v1/faults.
class KvService
{
public:
  KvService(EventLoop& aLoop, const KvServiceSettings& aSettings);

  std::error_code Listen(const SocketAddress& aAddress) { return mServer.Listen(aAddress); }
  const SocketAddress& Address() const { return mServer.Address(); }

private:
  enum class Kind
  {
    Read,
    Write
  };
  using Handler = std::function<http::Response(const http::Request&)>;

  // A blocking query that waits for a change.
  struct Waiter
  {
    http::Request mRequest;
    http::Responder mResponder;
    std::uint64_t mIndex;
    Timer mTimeout;
  };

  struct Faults
  {
    bool mDown = false;
    bool mHang = false;
    bool mStaleReads = false;
    Duration mSlow{ 0 };
    int mLoseAnswers = 0;
  };

  void AddRoutes();
  void AddFaultRoutes();
  void Route(http::Method aMethod, const std::string& aPattern, Kind aKind,
             const std::string& aName, Handler aHandler);
  void Admit(Kind aKind, const http::Request& aRequest, const http::Responder& aResponder,
             const Handler& aHandler);
  void Execute(Kind aKind, const http::Request& aRequest, const http::Responder& aResponder,
               const Handler& aHandler);
  void Delay(std::function<void()> aTask);
  // Closes the connection without an answer.
  void Drop(const http::Responder& aResponder);
  void DropAll();

  http::Response Read(const http::Request& aRequest);
  bool Block(const http::Request& aRequest, const http::Responder& aResponder);
  void EndWaiter(std::uint64_t aId);
  void NotifyWaiters(bool aAll = false);
  std::uint64_t IndexFor(const http::Request& aRequest) const;
  const KvTable& ReadTable() const;

  http::Response Put(const http::Request& aRequest);
  http::Response Delete(const http::Request& aRequest);
  http::Response Transact(const http::Request& aRequest);
  http::Response CreateSession(const http::Request& aRequest);
  http::Response RenewSession(const http::Request& aRequest);
  http::Response DestroySession(const http::Request& aRequest);
  http::Response SetFaults(const http::Request& aRequest);

  EventLoop& mLoop;
  KvServiceSettings mSettings;
  http::HttpServer mServer;
  KvTable mTable;
  KvTable mSnapshot;
  Faults mFaults;
  RateLimiter mReads;
  RateLimiter mWrites;
  std::map<std::string, std::uint64_t> mStats;
  std::map<std::uint64_t, Waiter> mWaiters;
  std::map<std::uint64_t, Timer> mDelays;
  std::vector<http::Responder> mHung;
  std::uint64_t mNextId = 0;
  Timer mSessionTimer;
};

} // namespace lovagerock::standin
