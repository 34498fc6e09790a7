#pragma once

#include "kv/KeyValueStore.h"

#include <string>

namespace lovagerock::retention {

// What an expired key holds.
enum class DeletionKind
{
  Claim,
  Change,
  // An answer piece of an expired job.
  Piece,
  // An answer piece of a job without a record.
  Orphan,
  // The record of an expired job.
  Job,
};

// An expired key, to be deleted if it still has the version that was read.
struct Deletion
{
  DeletionKind mKind = DeletionKind::Claim;
  std::string mKey;
  kv::ModifyIndex mModifyIndex = 0;
};

} // namespace lovagerock::retention
