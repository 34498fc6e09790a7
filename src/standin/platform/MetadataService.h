#pragma once

#include "base/EventLoop.h"
#include "base/Json.h"
#include "http/HttpServer.h"
#include "standin/platform/MetadataTable.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

namespace lovagerock::standin {

// How the store misbehaves.
struct MetadataFaults
{
  // Answers each call with 503 and does nothing.
  bool mRefusing = false;
  // Answers nothing and does nothing.
  bool mSilent = false;
  // Answers calls at these addresses, by their numbers, with 503 and does nothing. Watches that
  // wait already go on.
  std::set<int> mRefusingAddresses;
  // Answers transactions with 429 and does nothing; other calls are served, as when the limit of
  // writes is used up.
  bool mRefusingWrites = false;
  // This many transactions are carried out without an answer.
  int mLostAnswers = 0;
  // Grants and renews leases for this time, whatever the callers ask for; unset for what they ask
  // for.
  std::optional<Duration> mLeaseTime;
  // Carries each call out so much later, but for watches.
  Duration mDelay{ 0 };
  // Refuses to grant leases that are shorter.
  Duration mMinLease{ 0 };
};

// Serves a metadata table over the platform's protocol, with faults.
class MetadataService
{
public:
  explicit MetadataService(EventLoop& aLoop);

  // Listens at the address and at further ones on the ports after it, which are numbered from 0.
  // Each caller may have one of its own, so that the store can refuse a single caller.
  std::error_code Listen(const SocketAddress& aFirst, int aCount);
  MetadataTable& Table() { return mTable; }
  MetadataFaults& Faults() { return mFaults; }
  bool IsServing() const { return !mFaults.mRefusing && !mFaults.mSilent; }
  // Writes a key as the operator or a worker does, whatever the faults.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  // Answers the watches for which something has happened.
  void ServeWatches();
  // Discards the history and cuts all watches.
  void DiscardHistory();
  // Drops the transactions that wait to be carried out, as if their callers were gone. Returns how
  // many.
  std::size_t LoseWaitingWrites();

private:
  struct WaitingWatch
  {
    std::string mPrefix;
    std::int64_t mAfter = 0;
    TimePoint mUntil;
    http::Responder mResponder;
  };
  using Handler = void (MetadataService::*)(const http::Request&, const http::Responder&);
  // A call that is carried out later.
  struct DelayedCall
  {
    TimePoint mDue;
    Handler mHandler;
    http::Request mRequest;
    http::Responder mResponder;
  };

  void AddServer();
  void Handle(int aAddress, http::Method aMethod, const char* aPattern, Handler aHandler);
  void OnGet(const http::Request& aRequest, const http::Responder& aTo);
  void OnRange(const http::Request& aRequest, const http::Responder& aTo);
  void OnWatch(const http::Request& aRequest, const http::Responder& aTo);
  void OnTransaction(const http::Request& aRequest, const http::Responder& aTo);
  void OnGrant(const http::Request& aRequest, const http::Responder& aTo);
  void OnRenew(const http::Request& aRequest, const http::Responder& aTo);
  void OnEndLease(const http::Request& aRequest, const http::Responder& aTo);
  void CarryOutDelayed();
  void Tick();
  bool Serve(const WaitingWatch& aWatch, TimePoint aNow);

  MetadataTable mTable;
  MetadataFaults mFaults;
  std::vector<WaitingWatch> mWatches;
  // In the order in which they came.
  std::vector<DelayedCall> mDelayed;
  // Calls that are never answered.
  std::vector<http::Responder> mUnanswered;
  EventLoop& mLoop;
  std::vector<std::unique_ptr<http::HttpServer>> mServers;
  Timer mTick;
};

} // namespace lovagerock::standin
