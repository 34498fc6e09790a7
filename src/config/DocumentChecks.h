#pragma once

#include "config/Document.h"
#include "config/ProblemList.h"

namespace lovagerock::config {

// Checks what concerns more than one field: duplicates, references, and guarantees against quotas.
// The document must still be in the order of the file. Names that are empty were reported before
// and are passed over.
void
CheckDocument(const Document& aDocument, ProblemList& aProblems);

} // namespace lovagerock::config
