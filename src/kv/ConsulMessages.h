#pragma once

#include "kv/KeyValueStore.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::kv {

// The path of a key in the Consul KV HTTP protocol, with the key's segments encoded.
std::string
ConsulKeyPath(std::string_view aKey);

// The body of PUT /v1/txn. Every key gets the prefix.
std::string
WriteConsulTransaction(const std::vector<Operation>& aOperations, const std::string& aPrefix);

// Reads the entries of a GET answer and removes the prefix from their keys; nothing if the answer
// is malformed or holds a key without the prefix.
std::optional<std::vector<Entry>>
ReadConsulEntries(std::string_view aBody, const std::string& aPrefix);

// Reads the names of a GET answer with ?keys and removes the prefix from them; nothing if the
// answer is malformed or holds a name without the prefix.
std::optional<std::vector<std::string>>
ReadConsulNames(std::string_view aBody, const std::string& aPrefix);

// Reads the answer of an applied transaction of these operations; nothing if it is malformed.
std::optional<TransactionResult>
ReadConsulApplied(std::string_view aBody, const std::vector<Operation>& aOperations);

// Reads the answer of a transaction that was rolled back (409); nothing if it is malformed.
std::optional<TransactionResult>
ReadConsulRolledBack(std::string_view aBody, std::size_t aOperations);

} // namespace lovagerock::kv
