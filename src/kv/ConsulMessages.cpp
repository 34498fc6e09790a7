#include "kv/ConsulMessages.h"

#include "base/Json.h"
#include "http/HttpClient.h"
#include "kv/Base64.h"

namespace lovagerock::kv {

namespace detail {
namespace {

bool
IsDelete(const Operation& aOperation)
{
  return aOperation.mKind == Operation::Kind::Delete ||
         aOperation.mKind == Operation::Kind::CompareAndDelete;
}

// Whether an applied operation has no entry among the results: the key is absent afterwards.
bool
HasNoResult(const Operation& aOperation)
{
  return IsDelete(aOperation) ||
         (aOperation.mKind == Operation::Kind::Check && aOperation.mModifyIndex == 0);
}

const char*
Verb(const Operation& aOperation)
{
  switch (aOperation.mKind) {
    case Operation::Kind::CompareAndSet:
      return "cas";
    case Operation::Kind::CompareAndDelete:
      return "delete-cas";
    case Operation::Kind::Set:
      return "set";
    case Operation::Kind::Delete:
      return "delete";
    case Operation::Kind::Check:
      return aOperation.mModifyIndex == 0 ? "check-not-exists" : "check-index";
  }
  return "set";
}

std::optional<Entry>
ReadEntry(const Json& aJson, const std::string& aPrefix)
{
  const auto key = JsonValue(aJson, "Key", std::string());
  // The service answers null for an empty value.
  auto value = DecodeBase64(JsonValue(aJson, "Value", std::string()));
  const auto index = JsonValue(aJson, "ModifyIndex", ModifyIndex(0));
  if (!key.starts_with(aPrefix) || !value || index == 0) {
    return std::nullopt;
  }
  return Entry{ key.substr(aPrefix.size()), std::move(*value), index };
}

} // namespace
} // namespace detail

std::string
ConsulKeyPath(std::string_view aKey)
{
  std::string path = "/v1/kv/";
  while (!aKey.empty()) {
    const auto n = std::min(aKey.find('/'), aKey.size());
    path += http::EncodeComponent(aKey.substr(0, n));
    aKey.remove_prefix(n);
    if (!aKey.empty()) {
      path += '/';
      aKey.remove_prefix(1);
    }
  }
  return path;
}

std::string
WriteConsulTransaction(const std::vector<Operation>& aOperations, const std::string& aPrefix)
{
  Json body = Json::array();
  for (const auto& it : aOperations) {
    Json operation{ { "Verb", detail::Verb(it) }, { "Key", aPrefix + it.mKey } };
    if (!detail::IsDelete(it) && it.mKind != Operation::Kind::Check) {
      operation["Value"] = EncodeBase64(it.mValue);
    }
    if (it.mKind == Operation::Kind::CompareAndSet ||
        it.mKind == Operation::Kind::CompareAndDelete ||
        (it.mKind == Operation::Kind::Check && it.mModifyIndex != 0)) {
      operation["Index"] = it.mModifyIndex;
    }
    body.push_back({ { "KV", std::move(operation) } });
  }
  return DumpJson(body);
}

std::optional<std::vector<Entry>>
ReadConsulEntries(std::string_view aBody, const std::string& aPrefix)
{
  const auto json = ParseJson(aBody);
  if (!json || !json->is_array()) {
    return std::nullopt;
  }
  std::vector<Entry> entries;
  for (const auto& it : *json) {
    auto entry = detail::ReadEntry(it, aPrefix);
    if (!entry) {
      return std::nullopt;
    }
    entries.push_back(std::move(*entry));
  }
  return entries;
}

std::optional<std::vector<std::string>>
ReadConsulNames(std::string_view aBody, const std::string& aPrefix)
{
  const auto json = ParseJson(aBody);
  if (!json || !json->is_array()) {
    return std::nullopt;
  }
  std::vector<std::string> names;
  names.reserve(json->size());
  for (const auto& it : *json) {
    const auto* name = it.get_ptr<const Json::string_t*>();
    if (!name || !name->starts_with(aPrefix)) {
      return std::nullopt;
    }
    names.push_back(name->substr(aPrefix.size()));
  }
  return names;
}

std::optional<TransactionResult>
ReadConsulApplied(std::string_view aBody, const std::vector<Operation>& aOperations)
{
  const auto json = ParseJson(aBody);
  const auto results = json ? JsonValue(*json, "Results", Json()) : Json();
  TransactionResult result;
  result.mApplied = json.has_value();
  std::size_t next = 0;
  for (const auto& it : aOperations) {
    if (detail::HasNoResult(it)) {
      result.mModifyIndexes.push_back(0);
      continue;
    }
    if (!results.is_array() || next >= results.size()) {
      return std::nullopt;
    }
    const auto item = JsonValue(results[next++], "KV", Json());
    const auto index = JsonValue(item, "ModifyIndex", ModifyIndex(0));
    if (index == 0) {
      return std::nullopt;
    }
    result.mModifyIndexes.push_back(index);
  }
  return result.mApplied ? std::optional(result) : std::nullopt;
}

std::optional<TransactionResult>
ReadConsulRolledBack(std::string_view aBody, std::size_t aOperations)
{
  const auto json = ParseJson(aBody);
  const auto errors = json ? JsonValue(*json, "Errors", Json()) : Json();
  if (!errors.is_array() || errors.empty()) {
    return std::nullopt;
  }
  TransactionResult result;
  for (const auto& it : errors) {
    const auto position = JsonValue(it, "OpIndex", aOperations);
    if (position >= aOperations) {
      return std::nullopt;
    }
    result.mFailed.push_back(position);
  }
  return result;
}

} // namespace lovagerock::kv
