#pragma once

#include <functional>
#include <string>

namespace lovagerock::retention {

// How a part of a run ended.
struct SweepEnd
{
  enum class Kind
  {
    Complete,
    // A listing or a read failed; other parts may go on.
    ReadFailed,
    // A delete failed, so that further ones would fail too.
    DeleteFailed,
  };

  Kind mKind = Kind::Complete;
  std::string mReason;
};

using SweepCallback = std::function<void(const SweepEnd&)>;

} // namespace lovagerock::retention
