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

// Keys in the key-value service.
inline const std::string kHeadKey = "config/head";
inline const std::string kBodyKey = "config/body";

// Returns the key of the ChangeRecord of a change.
std::string
ChangeKey(const ChangeId& aChange);

// Identifies an accepted configuration: its version and hash, and the change that produced it.
struct ConfigHead
{
  // 0 if there is no configuration yet.
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
  // Records are deleted 7 days after this time.
  std::int64_t mAppliedMs = 0;
};

// An accepted configuration with its content.
struct AcceptedConfig
{
  ConfigHead mHead;
  // The canonical JSON form.
  Json mBody;
  config::Document mDocument;
};

// Conversions to and from JSON. The readers return nullopt if a required field is missing or
// malformed.
Json
WriteHead(const ConfigHead& aHead);
std::optional<ConfigHead>
ReadHead(const Json& aJson);
Json
WriteChange(const ChangeRecord& aRecord);
std::optional<ChangeRecord>
ReadChange(std::string_view aText);

// Returns the version of the head; 0 if there is no head.
ConfigVersion
VersionOf(const std::optional<ConfigHead>& aHead);

// Parses and validates a body. Returns nullopt if it is invalid or its hash differs from the
// head's.
std::optional<AcceptedConfig>
ReadBody(const ConfigHead& aHead, const Json& aBody);

} // namespace lovagerock::configstore
