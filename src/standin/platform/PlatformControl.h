#pragma once

#include "base/EventLoop.h"
#include "base/Json.h"
#include "http/HttpServer.h"
#include "standin/platform/MetadataService.h"
#include "standin/platform/PlatformWorker.h"
#include "standin/platform/RunLedger.h"

#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace lovagerock::standin {

// A store and workers that register there, with an address for the operator and for faults:
//   POST /configuration  writes the configuration
//   POST /faults         sets some of {"refusing", "silent", "lost_answers", "lapse",
//                        "discard_history", "late_worker", "late_ms", "lost_starts"}
//   GET  /ledger         {"starts": {task: count}, "running": {task: worker}, "violations": [text]}
class PlatformControl
{
public:
  PlatformControl(EventLoop& aLoop, int aWorkers);

  // Workers listen on the ports after the control address.
  std::error_code Listen(const SocketAddress& aStore, const SocketAddress& aControl);

private:
  void OnFaults(const Json& aFaults);
  // Registers all workers, the late one after its time.
  void Register();
  Json Ledger() const;

  EventLoop& mLoop;
  RunLedger mLedger;
  MetadataService mStore;
  std::vector<std::unique_ptr<PlatformWorker>> mWorkers;
  http::HttpServer mServer;
  std::string mLateWorker;
  Duration mLateBy{ 0 };
  bool mIsRegistered = true;
  std::vector<Timer> mRegistrations;
  Timer mTick;
};

} // namespace lovagerock::standin
