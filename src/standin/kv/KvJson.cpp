#include "standin/kv/KvJson.h"

#include "kv/Base64.h"

#include <array>
#include <charconv>
#include <utility>

namespace lovagerock::standin {

namespace detail {
namespace {

std::optional<KvOperation::Verb>
ReadVerb(std::string_view aText)
{
  using Verb = KvOperation::Verb;
  constexpr std::array<std::pair<std::string_view, Verb>, 7> kVerbs{ {
    { "set", Verb::Set },
    { "cas", Verb::Cas },
    { "delete", Verb::Delete },
    { "delete-cas", Verb::DeleteCas },
    { "check-index", Verb::CheckIndex },
    { "check-not-exists", Verb::CheckNotExists },
    { "get", Verb::Get },
  } };
  for (const auto& [name, verb] : kVerbs) {
    if (name == aText) {
      return verb;
    }
  }
  return std::nullopt;
}

std::optional<KvOperation>
ReadOperation(const Json& aJson, std::string& aError)
{
  const auto kv = JsonValue(aJson, "KV", Json());
  const auto verb = ReadVerb(JsonValue(kv, "Verb", std::string()));
  auto value = kv::DecodeBase64(JsonValue(kv, "Value", std::string()));
  KvOperation operation;
  operation.mKey = JsonValue(kv, "Key", std::string());
  operation.mFlags = JsonValue(kv, "Flags", std::uint64_t(0));
  operation.mIndex = JsonValue(kv, "Index", std::uint64_t(0));
  if (!verb || !value || operation.mKey.empty()) {
    aError = "malformed operation";
    return std::nullopt;
  }
  if (value->size() > KvTable::kMaxValue) {
    aError = "value for key \"" + operation.mKey + "\" is too large";
    return std::nullopt;
  }
  operation.mVerb = *verb;
  operation.mValue = std::move(*value);
  return operation;
}

} // namespace
} // namespace detail

Json
WriteItem(const KvItem& aItem)
{
  Json json{ { "Key", aItem.mKey },
             { "Value", aItem.mValue.empty() ? Json() : Json(kv::EncodeBase64(aItem.mValue)) },
             { "Flags", aItem.mFlags },
             { "LockIndex", aItem.mLockIndex },
             { "CreateIndex", aItem.mCreateIndex },
             { "ModifyIndex", aItem.mModifyIndex } };
  if (!aItem.mSession.empty()) {
    json["Session"] = aItem.mSession;
  }
  return json;
}

Json
WriteTransaction(const KvTransaction& aTransaction)
{
  Json results = Json::array();
  for (const auto& it : aTransaction.mResults) {
    results.push_back({ { "KV", WriteItem(it) } });
  }
  Json errors = Json::array();
  for (const auto& it : aTransaction.mErrors) {
    errors.push_back({ { "OpIndex", it.mOperation }, { "What", it.mWhat } });
  }
  return { { "Results", results.empty() ? Json() : results },
           { "Errors", errors.empty() ? Json() : errors } };
}

std::optional<std::vector<KvOperation>>
ReadTransaction(std::string_view aBody, std::string& aError)
{
  const auto json = ParseJson(aBody);
  if (!json || !json->is_array()) {
    aError = "malformed body";
    return std::nullopt;
  }
  if (json->size() > KvTable::kMaxOperations) {
    aError = "transaction contains too many operations";
    return std::nullopt;
  }
  std::vector<KvOperation> operations;
  for (const auto& it : *json) {
    auto operation = detail::ReadOperation(it, aError);
    if (!operation) {
      return std::nullopt;
    }
    operations.push_back(std::move(*operation));
  }
  return operations;
}

std::optional<Duration>
ReadDuration(std::string_view aText)
{
  std::int64_t n = 0;
  const auto* last = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), last, n);
  const std::string_view unit(result.ptr, static_cast<std::size_t>(last - result.ptr));
  constexpr std::int64_t kMost = 24 * 3600;
  if (result.ec != std::errc() || n < 0 || n > kMost * 1000) {
    return std::nullopt;
  }
  if (unit == "ms") {
    return Duration(n);
  }
  if (unit == "s" && n <= kMost) {
    return std::chrono::seconds(n);
  }
  if (unit == "m" && n <= kMost / 60) {
    return std::chrono::minutes(n);
  }
  return std::nullopt;
}

} // namespace lovagerock::standin
