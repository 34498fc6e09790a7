#include "standin/platform/PlatformControl.h"

namespace lovagerock::standin {

namespace {

// How often workers look whether they have to register again.
constexpr Duration kRegistrationPeriod{ 50 };
constexpr const char* kConfigurationKey = "op/config";
constexpr const char* kWorkerPrefix = "servers/";

} // namespace

PlatformControl::PlatformControl(EventLoop& aLoop, int aWorkers)
  : mLoop(aLoop)
  , mStore(aLoop)
  , mServer(aLoop)
{
  for (int i = 0; i < aWorkers; ++i) {
    mWorkers.push_back(
      std::make_unique<PlatformWorker>(aLoop, "worker-" + std::to_string(i), mLedger));
  }
  mServer.Handle(http::Method::Post, "/configuration",
                 [this](const http::Request& aRequest, http::Responder aTo) {
                   mStore.Put(kConfigurationKey, aRequest.mBody);
                   aTo.Send(http::JsonResponse(200, "{}"));
                 });
  mServer.Handle(http::Method::Post, "/faults",
                 [this](const http::Request& aRequest, http::Responder aTo) {
                   OnFaults(ParseJson(aRequest.mBody).value_or(Json::object()));
                   aTo.Send(http::JsonResponse(200, "{}"));
                 });
  mServer.Handle(http::Method::Get, "/ledger", [this](const http::Request&, http::Responder aTo) {
    aTo.Send(http::JsonResponse(200, DumpJson(Ledger())));
  });
}

std::error_code
PlatformControl::Listen(const SocketAddress& aStore, const SocketAddress& aControl)
{
  if (const auto ec = mStore.Listen(aStore)) {
    return ec;
  }
  if (const auto ec = mServer.Listen(aControl)) {
    return ec;
  }
  auto port = aControl.Port();
  for (const auto& it : mWorkers) {
    if (const auto ec = it->Listen(SocketAddress(aControl.Ip(), ++port))) {
      return ec;
    }
  }
  Register();
  mTick = mLoop.Every(kRegistrationPeriod, [this] {
    if (!mIsRegistered && mStore.IsServing()) {
      Register();
    }
  });
  return {};
}

void
PlatformControl::Register()
{
  mIsRegistered = true;
  mRegistrations.clear();
  for (const auto& it : mWorkers) {
    const auto delay = it->Id() == mLateWorker ? mLateBy : Duration(0);
    mRegistrations.push_back(mLoop.After(delay, [this, worker = it.get()] {
      mStore.Put(kWorkerPrefix + worker->Id(), worker->Entry());
    }));
  }
}

void
PlatformControl::OnFaults(const Json& aFaults)
{
  auto& faults = mStore.Faults();
  faults.mRefusing = JsonValue(aFaults, "refusing", faults.mRefusing);
  faults.mSilent = JsonValue(aFaults, "silent", faults.mSilent);
  faults.mLostAnswers = JsonValue(aFaults, "lost_answers", faults.mLostAnswers);
  mLateWorker = JsonValue(aFaults, "late_worker", mLateWorker);
  mLateBy = Duration(JsonValue(aFaults, "late_ms", mLateBy.count()));
  if (JsonValue(aFaults, "lapse", false)) {
    mStore.Table().EndAllLeases();
    for (const auto& it : mWorkers) {
      mStore.Remove(kWorkerPrefix + it->Id());
    }
    mIsRegistered = false;
  }
  if (JsonValue(aFaults, "discard_history", false)) {
    mStore.DiscardHistory();
  }
  for (const auto& it : mWorkers) {
    it->LoseStartAnswers(JsonValue(aFaults, "lost_starts", 0));
  }
}

Json
PlatformControl::Ledger() const
{
  return { { "starts", mLedger.AllStarts() },
           { "running", mLedger.Running() },
           { "violations", mLedger.Violations() } };
}

} // namespace lovagerock::standin
