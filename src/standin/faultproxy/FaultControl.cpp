#include "standin/faultproxy/FaultControl.h"

#include "base/Json.h"
#include "base/LogEvent.h"

namespace lovagerock::standin {

using http::JsonResponse;
using http::Method;

FaultControl::FaultControl(EventLoop& aLoop)
  : mLoop(aLoop)
  , mServer(aLoop)
{
  mServer.Handle(Method::Post, "/v1/faults",
                 [this](const http::Request& aRequest, const http::Responder& aResponder) {
                   OnFaults(aRequest, aResponder);
                 });
  mServer.Handle(
    Method::Get, "/v1/stats",
    [this](const http::Request&, const http::Responder& aResponder) { OnStats(aResponder); });
}

std::error_code
FaultControl::AddMapping(const SocketAddress& aListen, const SocketAddress& aTarget)
{
  auto proxy = std::make_unique<FaultProxy>(mLoop, aTarget);
  if (const auto ec = proxy->Listen(aListen)) {
    return ec;
  }
  LogEvent("mapping_added")
    .With("listen", proxy->Address().ToString())
    .With("target", aTarget.ToString());
  mProxies.push_back(std::move(proxy));
  return {};
}

std::error_code
FaultControl::Listen(const SocketAddress& aAddress)
{
  return mServer.Listen(aAddress);
}

void
FaultControl::OnFaults(const http::Request& aRequest, const http::Responder& aResponder)
{
  const auto change = ReadFaultChange(aRequest.mBody);
  if (!change) {
    aResponder.Send(JsonResponse(400, R"({"error":"malformed"})"));
    return;
  }
  const auto& map = aRequest.QueryParameter("map");
  bool found = false;
  std::error_code error;
  for (const auto& it : mProxies) {
    if (!map.empty() && it->Address().ToString() != map) {
      continue;
    }
    found = true;
    LogEvent("faults_changed").With("map", it->Address().ToString()).With("change", aRequest.mBody);
    if (const auto ec = it->Change(*change)) {
      error = ec;
    }
  }
  if (!found) {
    aResponder.Send(JsonResponse(404, R"({"error":"unknown_map"})"));
  } else if (error) {
    aResponder.Send(JsonResponse(500, DumpJson({ { "error", error.message() } })));
  } else {
    OnStats(aResponder);
  }
}

void
FaultControl::OnStats(const http::Responder& aResponder) const
{
  Json maps = Json::array();
  for (const auto& it : mProxies) {
    maps.push_back(it->Stats());
  }
  aResponder.Send(JsonResponse(200, DumpJson({ { "maps", std::move(maps) } })));
}

} // namespace lovagerock::standin
