#include "jobs/JobSpec.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace lovagerock::jobs {

namespace detail {
namespace {

constexpr std::array<std::string_view, 8> kMembers = { "tasks",   "resources",  "adjacency",
                                                       "urgent",  "idempotent", "estimated_ms",
                                                       "payload", "payloads" };
constexpr std::array<std::string_view, 4> kResourceMembers = { "slots", "accelerators", "cores",
                                                               "memory_mb" };
constexpr std::int64_t kMaxEstimateMs = std::int64_t{ 365 } * 24 * 3600 * 1000;
constexpr std::int64_t kMaxAmount = 1'000'000'000;

// Reads the members of one JSON object and reports problems under the path of the field.
class MemberReader
{
public:
  MemberReader(const Json& aObject, std::string aPrefix, std::vector<SpecProblem>& aProblems)
    : mObject(aObject)
    , mPrefix(std::move(aPrefix))
    , mProblems(aProblems)
  {
  }

  template<std::size_t N>
  void RejectUnknown(const std::array<std::string_view, N>& aKnown)
  {
    for (const auto& it : mObject.items()) {
      if (std::find(aKnown.begin(), aKnown.end(), it.key()) == aKnown.end()) {
        Add(it.key(), "unknown field");
      }
    }
  }

  std::int64_t
  Integer(const char* aKey, std::int64_t aDefault, std::int64_t aLowest, std::int64_t aHighest)
  {
    const auto it = mObject.find(aKey);
    if (it == mObject.end()) {
      return aDefault;
    }
    if (!it->is_number_integer() || *it < aLowest || *it > aHighest) {
      Add(aKey, "must be a whole number from " + std::to_string(aLowest) + " to " +
                  std::to_string(aHighest));
      return aDefault;
    }
    return it->get<std::int64_t>();
  }

  bool Boolean(const char* aKey, bool aDefault)
  {
    const auto it = mObject.find(aKey);
    if (it == mObject.end()) {
      return aDefault;
    }
    if (!it->is_boolean()) {
      Add(aKey, "must be true or false");
      return aDefault;
    }
    return it->get<bool>();
  }

  void Add(const std::string& aKey, const std::string& aMessage)
  {
    mProblems.push_back({ mPrefix + aKey, aMessage });
  }

private:
  const Json& mObject;
  std::string mPrefix;
  std::vector<SpecProblem>& mProblems;
};

Resources
ReadResources(const Json& aJson, std::vector<SpecProblem>& aProblems)
{
  Resources resources;
  const auto it = aJson.find("resources");
  if (it == aJson.end() || !it->is_object()) {
    aProblems.push_back({ "resources", "must be an object" });
    return resources;
  }
  MemberReader reader(*it, "resources.", aProblems);
  reader.RejectUnknown(kResourceMembers);
  resources.mSlots = Slots(reader.Integer("slots", 1, 1, kMaxAmount));
  resources.mAccelerators = Accelerators(reader.Integer("accelerators", 0, 0, kMaxAmount));
  resources.mCores = Cores(reader.Integer("cores", 0, 0, kMaxAmount));
  resources.mMemory = MemoryMiB(reader.Integer("memory_mb", 0, 0, kMaxAmount));
  return resources;
}

std::string
PayloadText(const Json& aJson)
{
  return aJson.is_string() ? aJson.get<std::string>() : DumpJson(aJson);
}

void
ReadPayloads(const Json& aJson, JobSpec& aSpec, std::vector<SpecProblem>& aProblems)
{
  const auto one = aJson.find("payload");
  const auto each = aJson.find("payloads");
  if (one != aJson.end() && each != aJson.end()) {
    aProblems.push_back({ "payloads", "excludes payload" });
  } else if (one != aJson.end()) {
    aSpec.mPayloads = { PayloadText(*one) };
  } else if (each != aJson.end()) {
    if (!each->is_array() || each->size() != static_cast<std::size_t>(aSpec.mTasks)) {
      aProblems.push_back({ "payloads", "must be an array with one entry for each task" });
      return;
    }
    for (const auto& it : *each) {
      aSpec.mPayloads.push_back(PayloadText(it));
    }
  } else {
    aSpec.mPayloads = { "" };
  }
  std::size_t n = 0;
  for (const auto& it : aSpec.mPayloads) {
    n += it.size();
  }
  if (n > static_cast<std::size_t>(kMaxPayload.Value())) {
    aProblems.push_back({ "payload", "all payloads together exceed " +
                                       std::to_string(kMaxPayload.Value()) + " bytes" });
  }
}

Adjacency
ReadAdjacency(const Json& aJson, std::vector<SpecProblem>& aProblems)
{
  const auto it = aJson.find("adjacency");
  if (it == aJson.end()) {
    return Adjacency::Region;
  }
  const auto adjacency =
    it->is_string() ? ParseAdjacency(it->get<std::string>()) : std::optional<Adjacency>();
  if (!adjacency) {
    aProblems.push_back({ "adjacency", "must be worker, rack, zone or region" });
  }
  return adjacency.value_or(Adjacency::Region);
}

} // namespace
} // namespace detail

const std::string&
JobSpec::PayloadOf(int aTask) const
{
  return mPayloads.size() == 1 ? mPayloads.front() : mPayloads.at(static_cast<std::size_t>(aTask));
}

std::optional<JobSpec>
ReadJobSpec(const Json& aJson, std::vector<SpecProblem>& aProblems)
{
  if (!aJson.is_object()) {
    aProblems.push_back({ "", "must be a JSON object" });
    return std::nullopt;
  }
  detail::MemberReader reader(aJson, "", aProblems);
  reader.RejectUnknown(detail::kMembers);
  JobSpec spec;
  spec.mTasks = static_cast<int>(reader.Integer("tasks", 1, 1, kMaxTasks));
  spec.mPerTask = detail::ReadResources(aJson, aProblems);
  spec.mAdjacency = detail::ReadAdjacency(aJson, aProblems);
  spec.mUrgent = reader.Boolean("urgent", false);
  spec.mIdempotent = reader.Boolean("idempotent", true);
  spec.mEstimate = Duration(reader.Integer("estimated_ms", 0, 0, detail::kMaxEstimateMs));
  detail::ReadPayloads(aJson, spec, aProblems);
  return aProblems.empty() ? std::optional(std::move(spec)) : std::nullopt;
}

void
to_json(Json& aJson, const JobSpec& aSpec)
{
  aJson = Json{ { "tasks", aSpec.mTasks },
                { "resources", aSpec.mPerTask },
                { "adjacency", AdjacencyName(aSpec.mAdjacency) },
                { "urgent", aSpec.mUrgent },
                { "idempotent", aSpec.mIdempotent },
                { "estimated_ms", aSpec.mEstimate.count() } };
  if (aSpec.mPayloads.size() == 1) {
    aJson["payload"] = aSpec.mPayloads.front();
  } else {
    aJson["payloads"] = aSpec.mPayloads;
  }
}

} // namespace lovagerock::jobs
