#pragma once

#include <functional>
#include <string>

namespace lovagerock::retention {

// The outcome of the sweep of one kind of keys.
struct SweepOutcome
{
  enum class Kind
  {
    Complete,
    // A listing or a read failed; other kinds of keys can still be swept.
    ReadFailed,
    // A deleting transaction failed after its retries; further ones would fail too, so the run
    // ends.
    DeleteFailed,
  };

  Kind mKind = Kind::Complete;
  std::string mReason;
};

using SweepCallback = std::function<void(const SweepOutcome&)>;

} // namespace lovagerock::retention
