// A proxy before the platform's store, whose answers it can slow down: a call waits in a queue for
// the given time before the store carries it out. What waits there of a caller that has gone can be
// lost.
//
//   review-slow-store LISTEN_PORT STORE_PORT
//   POST /proxy/delay {"ms": N}   the time that each call waits from now on
//   POST /proxy/lose              the writes that wait are lost; answers {"lost": N}
//   GET  /proxy/writes            {"writes": [[ms, "waiting" | "done" | "lost", status, keys...]]}

#include "base/EventLoop.h"
#include "base/Json.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

using namespace lovagerock;

namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr const char* kTransaction = "/lovagerock/kv-txn";

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
Target(const http::Request& aRequest)
{
  std::string target = aRequest.mPath;
  char separator = '?';
  for (const auto& [name, value] : aRequest.mQuery) {
    target += separator + name + '=' + http::EncodeComponent(value);
    separator = '&';
  }
  return target;
}

// A call that waits, or has waited.
struct Call
{
  http::Request mRequest;
  http::Responder mResponder;
  Timer mTimer;
  Json mRecord;
  bool mIsOver = false;
};

class SlowStore
{
public:
  SlowStore(EventLoop& aLoop, const SocketAddress& aStore)
    : mLoop(aLoop)
    , mStore(aStore)
    , mClient(aLoop)
    , mServer(aLoop)
  {
    mServer.Handle(http::Method::Post, "/proxy/delay",
                   [this](const http::Request& aRequest, const http::Responder& aTo) {
                     const auto json = ParseJson(aRequest.mBody).value_or(Json::object());
                     mDelay = Duration(JsonValue(json, "ms", std::int64_t{ 0 }));
                     aTo.Send(http::JsonResponse(200, "{}"));
                   });
    mServer.Handle(http::Method::Post, "/proxy/lose",
                   [this](const http::Request&, const http::Responder& aTo) {
                     aTo.Send(http::JsonResponse(200, DumpJson({ { "lost", LoseWaiting() } })));
                   });
    mServer.Handle(http::Method::Get, "/proxy/writes",
                   [this](const http::Request&, const http::Responder& aTo) {
                     auto rows = Json::array();
                     for (const auto& it : mWrites) {
                       rows.push_back(it->mRecord);
                     }
                     aTo.Send(http::JsonResponse(200, DumpJson({ { "writes", std::move(rows) } })));
                   });
    for (const auto method : { http::Method::Get, http::Method::Post, http::Method::Delete }) {
      mServer.Handle(
        method, "/{path*}",
        [this](const http::Request& aRequest, const http::Responder& aTo) { Take(aRequest, aTo); });
    }
  }

  std::error_code Listen(std::uint16_t aPort)
  {
    return mServer.Listen(SocketAddress(kLoopback, aPort));
  }

private:
  using CallPtr = std::shared_ptr<Call>;

  void Take(const http::Request& aRequest, const http::Responder& aTo)
  {
    auto call = std::make_shared<Call>(Call{ aRequest, aTo, {}, {}, false });
    if (aRequest.mPath == kTransaction) {
      call->mRecord = Json::array({ NowMs(), "waiting", 0 });
      const auto body = ParseJson(aRequest.mBody).value_or(Json::object());
      for (const auto& it : JsonValue(body, "writes", Json::array())) {
        call->mRecord.push_back(JsonValue(it, "key", std::string()));
      }
      mWrites.push_back(call);
    }
    call->mTimer = mLoop.After(mDelay, [this, call] { CarryOut(call); });
  }

  void CarryOut(const CallPtr& aCall)
  {
    const auto& request = aCall->mRequest;
    http::ClientRequest forward;
    forward.mServer = mStore;
    forward.mMethod = request.mMethod;
    forward.mTarget = Target(request);
    forward.mBody = request.mBody;
    forward.mHeaders.Add("Content-Type", "application/json");
    forward.mDeadline = Duration(40000);
    aCall->mIsOver = true;
    mClient.Send(forward, [aCall](std::error_code aError, const http::Response& aResponse) {
      if (aCall->mRecord.is_array()) {
        aCall->mRecord[1] = "done";
        aCall->mRecord[2] = aResponse.mStatus;
      }
      if (aError) {
        aCall->mResponder.Abort();
      } else {
        aCall->mResponder.Send(http::JsonResponse(aResponse.mStatus, aResponse.mBody));
      }
    });
  }

  int LoseWaiting()
  {
    int lost = 0;
    for (const auto& it : mWrites) {
      if (!std::exchange(it->mIsOver, true)) {
        it->mTimer.Cancel();
        it->mRecord[1] = "lost";
        it->mResponder.Abort();
        ++lost;
      }
    }
    return lost;
  }

  EventLoop& mLoop;
  SocketAddress mStore;
  Duration mDelay{ 0 };
  std::vector<CallPtr> mWrites;
  http::HttpClient mClient;
  http::HttpServer mServer;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return 2;
  }
  const auto port = [aArguments](int aIndex) {
    return static_cast<std::uint16_t>(std::strtoul(aArguments[aIndex], nullptr, 10));
  };
  EventLoop loop;
  SlowStore proxy(loop, SocketAddress(kLoopback, port(2)));
  if (proxy.Listen(port(1))) {
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}
