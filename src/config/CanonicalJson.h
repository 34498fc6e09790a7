#pragma once

#include "base/Json.h"
#include "config/Document.h"

#include <string>

namespace lovagerock::config {

// Sorts accounts, services, guarantees and callers by name.
void
SortDocument(Document& aDocument);

// The JSON form, with sorted lists, sorted members and every default written out. ReadJson() reads
// it back.
Json
ToJson(const Document& aDocument);

// The text of the JSON form without spaces. Equal documents give equal text on every node.
std::string
CanonicalText(const Document& aDocument);

// The SHA-256 digest of the canonical text, in lower-case hexadecimal.
std::string
ContentHash(const Document& aDocument);

} // namespace lovagerock::config
