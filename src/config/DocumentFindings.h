#pragma once

#include "config/Document.h"
#include "config/ProblemList.h"

namespace lovagerock::config {

// Adds what is valid but has no effect or contradicts another entry: services that nobody may call,
// and slots that the quota of their account never grants. The document must still be in the order
// of the file, and free of problems.
void
FindIneffective(const Document& aDocument, ProblemList& aFindings);

} // namespace lovagerock::config
