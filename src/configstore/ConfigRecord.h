#pragma once

#include "base/Ids.h"
#include "base/Json.h"
#include "base/Units.h"
#include "config/Document.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagerock::configstore {

// Keys of the key-value service.
inline const std::string kHeadKey = "config/head";
inline const std::string kBodyKey = "config/body";

// The key that records an applied change.
std::string
ChangeKey(const ChangeId& aChange);

// What identifies an accepted configuration.
struct ConfigHead
{
  // 0 stands for "no configuration yet".
  ConfigVersion mVersion;
  // SHA-256 of the canonical text.
  std::string mHash;
  ChangeId mChange;
  std::string mOperator;

  bool operator==(const ConfigHead&) const = default;
};

// The record of an applied change.
struct ChangeRecord
{
  ConfigVersion mVersion;
  std::string mHash;
  // When the record was written, in milliseconds since 1970; 0 in records of older releases.
  // Records are deleted 7 days after it.
  std::int64_t mAppliedMs = 0;
};

// A whole accepted configuration.
struct AcceptedConfig
{
  ConfigHead mHead;
  // The canonical JSON form.
  Json mBody;
  config::Document mDocument;
};

// JSON forms; reading gives nothing if a member is missing or malformed.
Json
WriteHead(const ConfigHead& aHead);
std::optional<ConfigHead>
ReadHead(const Json& aJson);
Json
WriteChange(const ChangeRecord& aRecord);
std::optional<ChangeRecord>
ReadChange(std::string_view aText);

// The version of a head if there is one, else 0.
ConfigVersion
VersionOf(const std::optional<ConfigHead>& aHead);

// Reads and checks a body; nothing if it is invalid or its hash differs from the head's.
std::optional<AcceptedConfig>
ReadBody(const ConfigHead& aHead, const Json& aBody);

} // namespace lovagerock::configstore
