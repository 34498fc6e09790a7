#include "configstore/PushMessage.h"

namespace lovagerock::configstore {

Json
WritePatch(const AcceptedConfig& aBase, const AcceptedConfig& aNext)
{
  return { { "head", WriteHead(aNext.mHead) },
           { "base_hash", aBase.mHead.mHash },
           { "patch", Json::diff(aBase.mBody, aNext.mBody) } };
}

Json
WriteFullBody(const AcceptedConfig& aConfig)
{
  return { { "head", WriteHead(aConfig.mHead) }, { "body", aConfig.mBody } };
}

std::optional<AcceptedConfig>
ReadPush(const Json& aMessage, const AcceptedConfig* aCurrent)
{
  const auto head = ReadHead(JsonValue(aMessage, "head", Json()));
  if (!head) {
    return std::nullopt;
  }
  if (aMessage.contains("body")) {
    return ReadBody(*head, aMessage["body"]);
  }
  if (!aCurrent || JsonValue<std::string>(aMessage, "base_hash", "") != aCurrent->mHead.mHash) {
    return std::nullopt;
  }
  try {
    return ReadBody(*head, aCurrent->mBody.patch(JsonValue(aMessage, "patch", Json::array())));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace lovagerock::configstore
