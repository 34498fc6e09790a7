#include "admin/AdminApi.h"

#include <charconv>
#include <utility>

namespace lovagerock::admin {

namespace detail {
namespace {

constexpr std::size_t kMaxId = 128;

std::optional<ConfigVersion>
ParseVersion(const std::string& aText)
{
  std::int64_t version = 0;
  const auto* last = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), last, version);
  if (aText.empty() || result.ec != std::errc() || result.ptr != last || version < 0) {
    return std::nullopt;
  }
  return ConfigVersion(version);
}

bool
IsChangeId(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxId &&
         aText.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "0123456789._-") == std::string::npos;
}

http::Response
ErrorResponse(int aStatus, const char* aError, const std::string& aMessage)
{
  return http::JsonResponse(aStatus, DumpJson({ { "error", aError }, { "message", aMessage } }));
}

} // namespace
} // namespace detail

AdminApi::AdminApi(AdminHooks aHooks)
  : mHooks(std::move(aHooks))
{
}

void
AdminApi::Register(http::HttpServer& aServer)
{
  RegisterConfig(aServer);
  RegisterViews(aServer);
  RegisterChecks(aServer);
}

void
AdminApi::RegisterConfig(http::HttpServer& aServer)
{
  aServer.Handle(http::Method::Post, "/v1/config/check",
                 [this](const http::Request& aRequest, const http::Responder& aResponder) {
                   aResponder.Send(mHooks.mCheck(aRequest.mBody));
                 });
  aServer.Handle(http::Method::Post, "/v1/config/diff",
                 [this](const http::Request& aRequest, const http::Responder& aResponder) {
                   aResponder.Send(mHooks.mDiff(aRequest.mBody));
                 });
  aServer.Handle(http::Method::Post, "/v1/config/apply",
                 [this](const http::Request& aRequest, const http::Responder& aResponder) {
                   Apply(aRequest, aResponder);
                 });
  aServer.Handle(http::Method::Get, "/v1/config",
                 [this](const http::Request&, const http::Responder& aResponder) {
                   aResponder.Send(mHooks.mShowConfig());
                 });
  aServer.Handle(http::Method::Get, "/v1/changes/{change}",
                 [this](const http::Request& aRequest, const http::Responder& aResponder) {
                   mHooks.mFindChange(
                     ChangeId(aRequest.PathParameter("change")),
                     [aResponder](http::Response aReply) { aResponder.Send(std::move(aReply)); });
                 });
}

void
AdminApi::Apply(const http::Request& aRequest, const http::Responder& aResponder)
{
  const auto base = detail::ParseVersion(aRequest.QueryParameter("base"));
  const auto& change = aRequest.QueryParameter("change");
  if (!base || !detail::IsChangeId(change)) {
    aResponder.Send(detail::ErrorResponse(400, "bad_parameter", "base and change must be valid"));
    return;
  }
  mHooks.mApply({ aRequest.mBody, *base, ChangeId(change), aRequest.QueryParameter("operator") },
                [aResponder](http::Response aReply) { aResponder.Send(std::move(aReply)); });
}

void
AdminApi::RegisterViews(http::HttpServer& aServer)
{
  aServer.Handle(
    http::Method::Get, "/v1/nodes",
    [this](const http::Request&, const http::Responder& aResponder) {
      aResponder.Send(http::JsonResponse(200, DumpJson({ { "nodes", mHooks.mNodes() } })));
    });
  for (const char* view : { "queues", "placements", "workers" }) {
    aServer.Handle(http::Method::Get, std::string("/v1/") + view,
                   [this, view](const http::Request&, const http::Responder& aResponder) {
                     SendView(view, "", aResponder);
                   });
  }
  aServer.Handle(http::Method::Get, "/v1/jobs/{job}/why",
                 [this](const http::Request& aRequest, const http::Responder& aResponder) {
                   SendView("why", aRequest.PathParameter("job"), aResponder);
                 });
}

void
AdminApi::SendView(const std::string& aView, const std::string& aJob,
                   const http::Responder& aResponder)
{
  mHooks.mPlannerView(aView, aJob, [aResponder](const std::optional<Json>& aReply) {
    if (!aReply) {
      aResponder.Send(detail::ErrorResponse(503, "no_planner", "no planner answered"));
    } else if (aReply->is_null()) {
      aResponder.Send(detail::ErrorResponse(404, "unknown_job", "no live job with this id"));
    } else {
      aResponder.Send(http::JsonResponse(200, DumpJson(*aReply)));
    }
  });
}

void
AdminApi::RegisterChecks(http::HttpServer& aServer)
{
  aServer.Handle(http::Method::Get, "/healthz",
                 [](const http::Request&, const http::Responder& aResponder) {
                   aResponder.Send({ 200, {}, "ok\n" });
                 });
  aServer.Handle(http::Method::Get, "/readyz",
                 [this](const http::Request&, const http::Responder& aResponder) {
                   const auto reason = mHooks.mNotReady();
                   aResponder.Send({ reason ? 503 : 200, {}, reason.value_or("ready") + "\n" });
                 });
  aServer.Handle(
    http::Method::Get, "/metrics", [this](const http::Request&, const http::Responder& aResponder) {
      aResponder.Send(
        { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, mHooks.mMetrics() });
    });
}

} // namespace lovagerock::admin
