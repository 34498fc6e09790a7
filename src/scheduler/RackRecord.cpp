#include "scheduler/RackRecord.h"

#include "base/Json.h"

namespace lovagerock::scheduler {

std::string
WriteRackRecord(const std::vector<WorkerContact>& aWorkers)
{
  auto json = Json::array();
  for (const auto& it : aWorkers) {
    json.push_back(Json::array({ it.mWorker.Value(), it.mAddress.ToString() }));
  }
  return DumpJson(json);
}

std::optional<std::vector<WorkerContact>>
ReadRackRecord(const std::string& aText)
{
  const auto json = ParseJson(aText);
  if (!json || !json->is_array()) {
    return std::nullopt;
  }
  std::vector<WorkerContact> workers;
  try {
    for (const auto& it : *json) {
      const auto address = SocketAddress::Parse(it.at(1).get<std::string>());
      if (!address) {
        return std::nullopt;
      }
      workers.push_back({ WorkerId(it.at(0).get<std::string>()), *address });
    }
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return workers;
}

} // namespace lovagerock::scheduler
