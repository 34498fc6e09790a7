#include "configstore/ConfigRecord.h"

#include "base/LogEvent.h"
#include "config/CanonicalJson.h"
#include "config/DocumentReader.h"

#include <cstdint>
#include <utility>

namespace lovagerock::configstore {

std::string
ChangeKey(const ChangeId& aChange)
{
  return "changes/" + aChange.Value();
}

Json
WriteHead(const ConfigHead& aHead)
{
  return { { "version", aHead.mVersion.Value() },
           { "hash", aHead.mHash },
           { "change", aHead.mChange.Value() },
           { "operator", aHead.mOperator } };
}

std::optional<ConfigHead>
ReadHead(const Json& aJson)
{
  ConfigHead head;
  head.mVersion = ConfigVersion(JsonValue<std::int64_t>(aJson, "version", 0));
  head.mHash = JsonValue<std::string>(aJson, "hash", "");
  head.mChange = ChangeId(JsonValue<std::string>(aJson, "change", ""));
  head.mOperator = JsonValue<std::string>(aJson, "operator", "");
  if (head.mVersion.Value() <= 0 || head.mHash.empty() || head.mChange.IsEmpty()) {
    return std::nullopt;
  }
  return head;
}

Json
WriteChange(const ChangeRecord& aRecord)
{
  return { { "version", aRecord.mVersion.Value() },
           { "hash", aRecord.mHash },
           { "applied_ms", aRecord.mAppliedMs } };
}

std::optional<ChangeRecord>
ReadChange(std::string_view aText)
{
  const auto json = ParseJson(aText).value_or(Json());
  const ChangeRecord record{ ConfigVersion(JsonValue<std::int64_t>(json, "version", 0)),
                             JsonValue<std::string>(json, "hash", ""),
                             JsonValue<std::int64_t>(json, "applied_ms", 0) };
  return record.mVersion.Value() > 0 ? std::optional(record) : std::nullopt;
}

ConfigVersion
VersionOf(const std::optional<ConfigHead>& aHead)
{
  return aHead ? aHead->mVersion : ConfigVersion();
}

std::optional<AcceptedConfig>
ReadBody(const ConfigHead& aHead, const Json& aBody)
{
  auto read = config::ReadJson(aBody);
  const bool matches = read.mDocument && config::ContentHash(*read.mDocument) == aHead.mHash;
  if (!matches) {
    LogEvent("config_body_refused", LogLevel::Warning)
      .With("version", aHead.mVersion)
      .With("reason", read.mDocument ? "hash" : "invalid");
    return std::nullopt;
  }
  auto body = config::ToJson(*read.mDocument);
  return AcceptedConfig{ aHead, std::move(body), std::move(*read.mDocument) };
}

} // namespace lovagerock::configstore
