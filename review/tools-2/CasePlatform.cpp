// The platform of the review's scripts: the project's stand-ins of the store and of the workers,
// with a kind as the first label of a worker, heartbeats, restarts as another kind, and a record of
// what was started where. Commands come over HTTP from the script.

#include "base/EventLoop.h"
#include "base/Json.h"
#include "base/LogEvent.h"
#include "base/Settings.h"
#include "base/WallClock.h"
#include "http/HttpServer.h"
#include "standin/platform/MetadataService.h"
#include "standin/platform/PlatformWorker.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace lovagerock;

namespace {

constexpr Duration kTick{ 2 };
constexpr const char* kWorkerPrefix = "servers/";

struct Place
{
  standin::WorkerSpec mSpec;
  std::string mKind;
  SocketAddress mAddress;
  std::unique_ptr<standin::PlatformWorker> mWorker;
  std::int64_t mSequence = 0;
  Timer mRegistration;
  Timer mHeartbeats;
};

// Listens in place of the store, and asks it for shorter leases than the callers do. The store's
// answer then tells the time that applies. A call to grant a lease comes in one piece.
class LeaseShortener
{
public:
  LeaseShortener(EventLoop& aLoop, SocketAddress aStore, std::string aAsked, std::string aApplied)
    : mLoop(aLoop)
    , mStore(std::move(aStore))
    , mAsked(std::move(aAsked))
    , mApplied(std::move(aApplied))
  {
  }
  LeaseShortener(const LeaseShortener&) = delete;
  LeaseShortener& operator=(const LeaseShortener&) = delete;
  ~LeaseShortener()
  {
    if (mListener) {
      evconnlistener_free(mListener);
    }
  }

  bool Listen(const SocketAddress& aAddress)
  {
    auto address = aAddress.ToNative();
    mListener = evconnlistener_new_bind(mLoop.Base(), OnAccept, this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                        reinterpret_cast<sockaddr*>(&address), sizeof address);
    return mListener != nullptr;
  }

private:
  // One direction of a connection; the other one is that of the peer.
  struct Half
  {
    LeaseShortener* mOwner;
    bufferevent* mSocket;
    Half* mPeer;
    bool mIsCaller;
  };

  static void OnAccept(evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf)
  {
    auto* self = static_cast<LeaseShortener*>(aSelf);
    auto address = self->mStore.ToNative();
    auto* caller = bufferevent_socket_new(self->mLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
    auto* store = bufferevent_socket_new(self->mLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
    auto* from = new Half{ self, caller, nullptr, true };
    auto* to = new Half{ self, store, from, false };
    from->mPeer = to;
    bufferevent_setcb(caller, OnRead, nullptr, OnEnd, from);
    bufferevent_setcb(store, OnRead, nullptr, OnEnd, to);
    bufferevent_enable(caller, EV_READ | EV_WRITE);
    bufferevent_enable(store, EV_READ | EV_WRITE);
    bufferevent_socket_connect(store, reinterpret_cast<sockaddr*>(&address), sizeof address);
  }

  static void OnRead(bufferevent* aFrom, void* aHalf)
  {
    const auto* half = static_cast<Half*>(aHalf);
    auto* input = bufferevent_get_input(aFrom);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    const auto& asked = half->mOwner->mAsked;
    if (const auto at = half->mIsCaller ? bytes.find(asked) : std::string::npos;
        at != std::string::npos) {
      bytes.replace(at, asked.size(), half->mOwner->mApplied);
    }
    bufferevent_write(half->mPeer->mSocket, bytes.data(), bytes.size());
  }

  static void OnEnd(bufferevent*, short aWhat, void* aHalf)
  {
    auto* half = static_cast<Half*>(aHalf);
    if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
      return;
    }
    auto* peer = half->mPeer;
    bufferevent_free(half->mSocket);
    delete half;
    if (!peer) {
      return;
    }
    peer->mPeer = nullptr;
    bufferevent_disable(peer->mSocket, EV_READ);
    // What was passed on is written first.
    bufferevent_setcb(peer->mSocket, nullptr, OnWritten, OnEnd, peer);
    if (evbuffer_get_length(bufferevent_get_output(peer->mSocket)) == 0) {
      OnWritten(peer->mSocket, peer);
    }
  }

  static void OnWritten(bufferevent* aSocket, void* aHalf)
  {
    bufferevent_free(aSocket);
    delete static_cast<Half*>(aHalf);
  }

  EventLoop& mLoop;
  SocketAddress mStore;
  std::string mAsked;
  std::string mApplied;
  evconnlistener* mListener = nullptr;
};

class CasePlatform
{
public:
  CasePlatform(EventLoop& aLoop, Duration aHeartbeat)
    : mLoop(aLoop)
    , mHeartbeat(aHeartbeat)
    , mState(aLoop)
    , mStore(aLoop)
    , mControl(aLoop)
  {
    Handle("/put", [this](const Json& aBody) {
      mStore.Put(aBody.at("key").get<std::string>(), DumpJson(aBody.at("value")));
    });
    Handle("/job", [this](const Json& aBody) {
      mState.mJobs.Add(aBody.at("job").get<std::string>(), standin::ReadSteps(aBody.at("steps")));
    });
    Handle("/restart", [this](const Json& aBody) { Restart(aBody); });
    Handle("/hold-up", [this](const Json& aBody) { HoldUp(aBody.at("starts").get<int>()); });
    Handle("/silence", [this](const Json& aBody) {
      auto& place = mPlaces.at(aBody.at("worker").get<std::string>());
      place.mWorker->Faults().mSilent = aBody.at("silent").get<bool>();
      Note(place.mWorker->Faults().mSilent ? "cut-off" : "reachable", place, "");
    });
    Handle("/carry-out", [this](const Json&) { CarryOut(); });
    mControl.Handle(
      http::Method::Get, "/record", [this](const http::Request&, http::Responder aTo) {
        aTo.Send(http::JsonResponse(
          200, DumpJson({ { "events", mRecord }, { "violations", mState.mLedger.Violations() } })));
      });
  }

  // With aShort, leases of 1,500 ms are granted for 1,000 ms.
  std::error_code Listen(const SocketAddress& aStore, int aStores, const SocketAddress& aControl,
                         int aWorkers, bool aShort)
  {
    const auto behind =
      aShort ? SocketAddress(aStore.Ip(), static_cast<std::uint16_t>(aStore.Port() + aStores))
             : aStore;
    if (const auto ec = mStore.Listen(behind, aStores)) {
      return ec;
    }
    for (int i = 0; aShort && i < aStores; ++i) {
      const auto port = [i](const SocketAddress& aFirst) {
        return SocketAddress(aFirst.Ip(), static_cast<std::uint16_t>(aFirst.Port() + i));
      };
      mShorteners.push_back(std::make_unique<LeaseShortener>(
        mLoop, port(behind), R"("ttl_ms":1500)", R"("ttl_ms":1000)"));
      if (!mShorteners.back()->Listen(port(aStore))) {
        return std::make_error_code(std::errc::address_in_use);
      }
    }
    if (const auto ec = mControl.Listen(aControl)) {
      return ec;
    }
    for (int i = 0; i < aWorkers; ++i) {
      const auto id = "worker-" + std::to_string(i);
      auto& place = mPlaces[id];
      place.mSpec = { id, "rack-" + std::to_string(i), standin::FleetShape().mCapacity };
      place.mKind = i == 0 ? "kind-a" : "kind-b";
      place.mAddress =
        SocketAddress(aControl.Ip(), static_cast<std::uint16_t>(aControl.Port() + 1 + i));
      if (const auto ec = Begin(place)) {
        return ec;
      }
      Register(place);
    }
    mTick = mLoop.Every(kTick, [this] { Look(); });
    return {};
  }

private:
  using Command = std::function<void(const Json&)>;

  void Handle(const char* aPattern, Command aCommand)
  {
    mControl.Handle(
      http::Method::Post, aPattern,
      [command = std::move(aCommand)](const http::Request& aRequest, http::Responder aTo) {
        try {
          command(Json::parse(aRequest.mBody));
          aTo.Send(http::JsonResponse(200, "{}"));
        } catch (const Json::exception& ex) {
          aTo.Send(http::JsonResponse(400, DumpJson({ { "error", ex.what() } })));
        }
      });
  }

  std::error_code Begin(Place& aPlace)
  {
    aPlace.mWorker = std::make_unique<standin::PlatformWorker>(
      mLoop, aPlace.mSpec, mState, [this, place = &aPlace](const standin::WorkerCall& aCall) {
        Note("held-up", *place, JsonValue(aCall.mBody, "task", std::string()));
        mHeldUp.emplace_back(place, aCall);
      });
    return aPlace.mWorker->Listen(aPlace.mAddress);
  }

  // Writes the worker's entry now, and then once in each heartbeat interval.
  void Register(Place& aPlace)
  {
    Write(aPlace);
    aPlace.mHeartbeats = mLoop.Every(mHeartbeat, [this, place = &aPlace] { Write(*place); });
  }

  void Write(Place& aPlace)
  {
    auto entry = Json::parse(aPlace.mWorker->Entry());
    entry["labels"] = { aPlace.mKind, aPlace.mSpec.mRack };
    entry["sequence"] = ++aPlace.mSequence;
    mStore.Put(kWorkerPrefix + aPlace.mSpec.mId, DumpJson(entry));
  }

  // The worker crashes and starts again under its id, as another kind. Its first entry is written
  // after some time, its heartbeats follow.
  void Restart(const Json& aBody)
  {
    auto& place = mPlaces.at(aBody.at("worker").get<std::string>());
    place.mHeartbeats.Cancel();
    place.mWorker.reset();
    place.mKind = aBody.at("kind").get<std::string>();
    place.mSequence = 0;
    if (const auto ec = Begin(place)) {
      LogEvent("listen_failed", LogLevel::Error).With("error", ec.message());
    }
    Note("restarted", place, "");
    const Duration delay(aBody.at("register_after_ms").get<std::int64_t>());
    place.mRegistration = mLoop.After(delay, [this, where = &place] {
      Register(*where);
      Note("registered", *where, "");
    });
  }

  // Each worker leaves its next starts unanswered and doesn't carry them out yet.
  void HoldUp(int aStarts)
  {
    for (auto& [id, place] : mPlaces) {
      place.mWorker->Faults().mLateStarts = aStarts;
    }
  }

  // The starts that were held up reach whatever life of their worker is there now.
  void CarryOut()
  {
    for (const auto& [place, call] : std::exchange(mHeldUp, {})) {
      const auto* refusal = place->mWorker->CarryOutLate(call);
      Note(refusal ? refusal : "carried-out-late", *place,
           JsonValue(call.mBody, "task", std::string()));
    }
  }

  // Records the tasks that were started or have ended since the last look.
  void Look()
  {
    auto running = mState.mLedger.Running();
    for (const auto& [task, worker] : running) {
      const auto before = mRunning.find(task);
      if (before == mRunning.end() || before->second != worker) {
        Note("start", mPlaces.at(worker), task);
      }
    }
    for (const auto& [task, worker] : mRunning) {
      if (!running.contains(task)) {
        Note("end", mPlaces.at(worker), task);
      }
    }
    mRunning = std::move(running);
  }

  void Note(const char* aWhat, const Place& aPlace, const std::string& aTask)
  {
    mRecord.push_back({ { "at_ms", WallClockMs() },
                        { "what", aWhat },
                        { "worker", aPlace.mSpec.mId },
                        { "kind", aPlace.mKind },
                        { "task", aTask } });
  }

  EventLoop& mLoop;
  Duration mHeartbeat;
  standin::PlatformState mState;
  standin::MetadataService mStore;
  std::map<std::string, Place> mPlaces;
  std::map<std::string, std::string> mRunning;
  std::vector<std::pair<Place*, standin::WorkerCall>> mHeldUp;
  Json mRecord = Json::array();
  http::HttpServer mControl;
  std::vector<std::unique_ptr<LeaseShortener>> mShorteners;
  Timer mTick;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  SocketAddress store("127.0.0.1", 9600);
  SocketAddress control("127.0.0.1", 9700);
  int stores = 1;
  int workers = 3;
  bool areLeasesShort = false;
  Duration heartbeat{ 1500 };
  CLI::App app("Platform of the review's scripts");
  AddSetting(app, "--store", store, "first address of the store");
  AddSetting(app, "--stores", stores, "number of addresses of the store");
  AddSetting(app, "--control", control, "address for commands; workers take the ports after it");
  AddSetting(app, "--workers", workers, "number of workers");
  app.add_flag("--short-leases", areLeasesShort, "grant leases of 1,500 ms for 1,000 ms");
  AddSetting(app, "--heartbeat", heartbeat, "time between two entries of a worker");
  int status = 0;
  if (!ParseSettings(app, aCount, aArguments, status)) {
    return status;
  }
  ConfigureLogging(LogLevel::Info, "case-platform", "");
  EventLoop loop;
  CasePlatform platform(loop, heartbeat);
  if (const auto ec = platform.Listen(store, stores, control, workers, areLeasesShort)) {
    LogEvent("listen_failed", LogLevel::Error).With("error", ec.message());
    return EXIT_FAILURE;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return EXIT_SUCCESS;
}
