// One life of a worker, as a process of its own: the project's stand-in for workers with a kind
// that is set, which registers itself in the store.
//
//   review-worker ID KIND RACK PORT STORE_PORT REGISTERS_AFTER_MS
//
// Writes a line "started TASK" for each task that it starts, and "registered" once its first entry
// is in the store. Like a worker of the platform, it writes its entry anew each heartbeat.

#include "base/EventLoop.h"
#include "base/Json.h"
#include "http/HttpClient.h"
#include "kv/Base64.h"
#include "standin/platform/PlatformWorker.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>
#include <string>
#include <system_error>
#include <vector>

using namespace lovagerock;

namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr Duration kHeartbeat{ 1500 };
constexpr Duration kLookPeriod{ 10 };

class Registration
{
public:
  Registration(EventLoop& aLoop, const SocketAddress& aStore,
               const standin::PlatformWorker& aWorker, std::string aKind)
    : mClient(aLoop)
    , mStore(aStore)
    , mWorker(aWorker)
    , mKind(std::move(aKind))
  {
  }

  void Write()
  {
    auto entry = ParseJson(mWorker.Entry()).value_or(Json::object());
    entry["labels"][0] = mKind;
    entry["sequence"] = ++mSequence;
    http::ClientRequest call;
    call.mServer = mStore;
    call.mMethod = http::Method::Post;
    call.mTarget = "/lovagerock/kv-txn";
    call.mHeaders.Add("Content-Type", "application/json");
    const Json write{ { "key", "servers/" + mWorker.Id() },
                      { "value", kv::EncodeBase64(DumpJson(entry)) } };
    call.mBody = DumpJson({ { "expected", Json::array() },
                            { "writes", Json::array({ write }) },
                            { "remove", Json::array() } });
    mClient.Send(call, [this](std::error_code aError, const http::Response& aResponse) {
      if (!aError && aResponse.mStatus == 200 && !mIsRegistered) {
        mIsRegistered = true;
        std::cout << "registered" << std::endl;
      }
    });
  }

private:
  http::HttpClient mClient;
  SocketAddress mStore;
  const standin::PlatformWorker& mWorker;
  std::string mKind;
  std::int64_t mSequence = 0;
  bool mIsRegistered = false;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  constexpr int kArguments = 7;
  if (aCount != kArguments) {
    return 2;
  }
  const std::vector<std::string> arguments(aArguments, aArguments + aCount);
  const auto number = [&arguments](std::size_t aIndex) {
    return std::strtol(arguments[aIndex].c_str(), nullptr, 10);
  };
  const auto address = [&number](std::size_t aIndex) {
    return SocketAddress(kLoopback, static_cast<std::uint16_t>(number(aIndex)));
  };
  EventLoop loop;
  standin::PlatformState state(loop);
  const standin::WorkerSpec spec{
    arguments[1], arguments[3], { scheduler::MilliCores(8000), MemoryMiB(8000), Accelerators(8) }
  };
  standin::PlatformWorker worker(loop, spec, state, [](const standin::WorkerCall&) {});
  if (worker.Listen(address(4))) {
    return 1;
  }
  std::cout << "listens" << std::endl;
  Registration registration(loop, address(5), worker, arguments[2]);
  Timer heartbeat;
  const auto first = loop.After(Duration(number(6)), [&] {
    registration.Write();
    heartbeat = loop.Every(kHeartbeat, [&registration] { registration.Write(); });
  });
  std::set<std::string> started;
  const auto look = loop.Every(kLookPeriod, [&] {
    for (const auto& [task, count] : state.mLedger.AllStarts()) {
      if (started.insert(task).second) {
        std::cout << "started " << task << std::endl;
      }
    }
  });
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}
