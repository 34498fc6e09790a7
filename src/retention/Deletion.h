#pragma once

#include "kv/KeyValueStore.h"

#include <string>

namespace lovagerock::retention {

// The kind of data under an expired key.
enum class DeletionKind
{
  Claim,
  Change,
  // A stored piece of a task's answer, of an expired job.
  Piece,
  // A stored piece of a task's answer, of a job that has no record.
  Orphan,
  // The record of an expired job.
  Job,
};

// An expired key and the version that was read; it is deleted only if it still has that version.
struct Deletion
{
  DeletionKind mKind = DeletionKind::Claim;
  std::string mKey;
  kv::ModifyIndex mModifyIndex = 0;
};

} // namespace lovagerock::retention
