#include "cli/ShowCommands.h"

#include "cli/Report.h"
#include "cli/Table.h"

#include <utility>
#include <vector>

namespace lovagerock::cli {

namespace detail {
namespace {

// One table of a view: the list in the answer and the members shown.
struct Section
{
  std::string mList;
  std::vector<std::string> mColumns;
};

std::vector<Section>
SectionsOf(const std::string& aView)
{
  if (aView == "nodes") {
    return { { "nodes",
               { "node", "zone", "state", "version", "confirmed", "settled", "planner",
                 "address" } } };
  }
  if (aView == "queues") {
    return { { "queues", { "account", "service", "queued", "running" } },
             { "jobs", { "job", "account", "tasks", "state", "waiting_for", "waited_ms" } } };
  }
  if (aView == "placements") {
    return { { "placements",
               { "job", "service", "account", "worker", "zone", "rack", "accelerators", "class",
                 "phase" } } };
  }
  return { { "workers",
             { "worker", "zone", "rack", "health", "accelerators", "free_accelerators",
               "fence_epoch" } } };
}

void
PrintConfig(const Json& aBody, const Console& aConsole)
{
  for (const auto* it : { "version", "hash", "change", "operator" }) {
    aConsole.mOut << it << ": " << CellText(JsonValue<Json>(aBody, it, nullptr)) << "\n";
  }
  const auto document = JsonValue<Json>(aBody, "document", nullptr);
  aConsole.mOut << document.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

void
PrintSections(const std::string& aView, const Json& aBody, const Console& aConsole)
{
  bool first = true;
  for (const auto& it : SectionsOf(aView)) {
    if (!std::exchange(first, false)) {
      aConsole.mOut << "\n";
    }
    Table table(it.mColumns);
    table.AddObjects(JsonValue<Json>(aBody, it.mList, Json::array()));
    table.Print(aConsole.mOut);
  }
}

} // namespace
} // namespace detail

ExitCode
RunShow(const std::string& aView, const Options& aOptions, AdminClient& aClient,
        const Console& aConsole)
{
  const auto result = aClient.Query(http::Method::Get, "/v1/" + aView, "", aOptions.mTimeout);
  if (!result.Is(200)) {
    return ReportFailure(result, "", aOptions.mJson, aConsole);
  }
  if (aOptions.mJson) {
    aConsole.mOut << DumpJson(result.mBody) << "\n";
  } else if (aView == "config") {
    detail::PrintConfig(result.mBody, aConsole);
  } else {
    detail::PrintSections(aView, result.mBody, aConsole);
  }
  return ExitCode::Done;
}

ExitCode
RunWhy(const JobId& aJob, const Options& aOptions, AdminClient& aClient, const Console& aConsole)
{
  const auto target = "/v1/jobs/" + http::EncodeComponent(aJob.Value()) + "/why";
  const auto result = aClient.Query(http::Method::Get, target, "", aOptions.mTimeout);
  if (!result.Is(200)) {
    return ReportFailure(result, "", aOptions.mJson, aConsole);
  }
  if (aOptions.mJson) {
    aConsole.mOut << DumpJson(result.mBody) << "\n";
    return ExitCode::Done;
  }
  for (const auto* it : { "job", "state", "reason", "message" }) {
    aConsole.mOut << it << ": " << CellText(JsonValue<Json>(result.mBody, it, nullptr)) << "\n";
  }
  return ExitCode::Done;
}

} // namespace lovagerock::cli
