#pragma once

#include "base/Json.h"
#include "standin/kv/KvTable.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::standin {

// A key as Consul writes it, with a base64 value.
Json
WriteItem(const KvItem& aItem);

// The body of an answer to PUT /v1/txn.
Json
WriteTransaction(const KvTransaction& aTransaction);

// Reads the body of PUT /v1/txn. If it is malformed or over a limit there is no value and aError
// tells why.
std::optional<std::vector<KvOperation>>
ReadTransaction(std::string_view aBody, std::string& aError);

// Reads a duration such as "10s", "500ms" or "1m"; nothing if it is malformed.
std::optional<Duration>
ReadDuration(std::string_view aText);

} // namespace lovagerock::standin
