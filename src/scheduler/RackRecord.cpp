#include "scheduler/RackRecord.h"

#include "base/JsonList.h"
#include "base/LogEvent.h"
#include "scheduler/Limits.h"

#include <utility>

namespace lovagerock::scheduler {

namespace {

// A contact is [worker, address, incarnation, has restarted]; earlier versions wrote the first two.
std::optional<WorkerContact>
ReadContact(const Json& aJson)
{
  try {
    const auto address = SocketAddress::Parse(aJson.at(1).get<std::string>());
    WorkerId worker(aJson.at(0).get<std::string>());
    if (!address || address->Port() == 0 || worker.IsEmpty()) {
      return std::nullopt;
    }
    WorkerContact contact{ std::move(worker), *address, {}, false };
    if (aJson.size() > 3) {
      contact.mIncarnation =
        WorkerIncarnation(JsonInRange(aJson.at(2), std::int64_t{ 0 }, kMaxTimeMs));
      contact.mHasRestarted = aJson.at(3).get<bool>();
    }
    return contact;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace

std::string
WriteRackRecord(const std::vector<WorkerContact>& aWorkers)
{
  auto json = Json::array();
  for (const auto& it : aWorkers) {
    json.push_back(Json::array(
      { it.mWorker.Value(), it.mAddress.ToString(), it.mIncarnation.Value(), it.mHasRestarted }));
  }
  return DumpJson(json);
}

std::optional<std::vector<WorkerContact>>
ReadRackRecord(const std::string& aText)
{
  const auto list = ParseJsonList(aText);
  if (!list) {
    return std::nullopt;
  }
  auto unreadable = list->mUnreadable;
  std::vector<WorkerContact> workers;
  for (const auto& it : list->mElements) {
    if (auto contact = ReadContact(it)) {
      workers.push_back(std::move(*contact));
    } else {
      ++unreadable;
    }
  }
  if (unreadable > 0) {
    LogEvent("rack_record_rows_malformed", LogLevel::Error).With("rows", unreadable);
  }
  return workers;
}

} // namespace lovagerock::scheduler
