#include "standin/vmlist/VmListServer.h"

#include "base/Hash.h"

#include <chrono>
#include <utility>

namespace lovagerock::standin {

using http::JsonResponse;
using http::Method;
using std::chrono::steady_clock;

VmListServer::VmListServer(EventLoop& aLoop, TargetTable aTable)
  : mTable(std::move(aTable))
  , mServer(aLoop)
{
  mServer.Handle(Method::Get, "/v1/targets",
                 [this](const http::Request& aRequest, const http::Responder& aResponder) {
                   SendList(aRequest, aResponder);
                 });
  mServer.Handle(Method::Put, "/v1/targets/{address}",
                 [this](const http::Request& aRequest, const http::Responder& aResponder) {
                   OnPut(aRequest, aResponder);
                 });
  mServer.Handle(Method::Delete, "/v1/targets/{address}",
                 [this](const http::Request& aRequest, const http::Responder& aResponder) {
                   OnDelete(aRequest, aResponder);
                 });
}

std::error_code
VmListServer::Listen(const SocketAddress& aAddress)
{
  return mServer.Listen(aAddress);
}

void
VmListServer::SendList(const http::Request& aRequest, const http::Responder& aResponder)
{
  const auto text = DumpJson(mTable.Visible(steady_clock::now()));
  const auto tag = '"' + std::to_string(HashText(text)) + '"';
  if (aRequest.mHeaders.Get("If-None-Match") == tag) {
    aResponder.Send({ 304, { { "ETag", tag } }, "" });
    return;
  }
  aResponder.Send(JsonResponse(200, text, { { "ETag", tag } }));
}

void
VmListServer::OnPut(const http::Request& aRequest, const http::Responder& aResponder)
{
  const auto address = SocketAddress::Parse(aRequest.PathParameter("address"));
  const auto json = ParseJson(aRequest.mBody);
  const bool valid = address && json && json->is_object() &&
                     mTable.Set(*address, JsonValue(*json, "labels", *json), steady_clock::now());
  aResponder.Send(valid ? JsonResponse(200, "{}") : JsonResponse(400, R"({"error":"malformed"})"));
}

void
VmListServer::OnDelete(const http::Request& aRequest, const http::Responder& aResponder)
{
  const auto address = SocketAddress::Parse(aRequest.PathParameter("address"));
  if (!address) {
    aResponder.Send(JsonResponse(400, R"({"error":"malformed"})"));
    return;
  }
  mTable.Erase(*address, steady_clock::now());
  aResponder.Send(JsonResponse(200, "{}"));
}

} // namespace lovagerock::standin
