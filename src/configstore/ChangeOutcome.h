#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "config/Problem.h"
#include "configstore/ConfigRecord.h"

#include <functional>
#include <string>
#include <vector>

namespace lovagerock::configstore {

// An operator's request to apply a configuration file.
struct ChangeRequest
{
  // The file's YAML text.
  std::string mText;
  // The configuration version that the file was edited from; 0 if there was none.
  ConfigVersion mBase;
  ChangeId mChange;
  std::string mOperator;
};

// The outcome of a ChangeRequest.
struct ChangeOutcome
{
  enum class Kind
  {
    // Accepted; mHead is the head that the change produced.
    Applied,
    // Rejected by validation; mProblems holds the reasons.
    Invalid,
    // The change is not based on the newest configuration; mHead is the newest known head.
    Conflict,
    // Not applied, and this request will not take effect later; mMessage holds the reason.
    Unavailable,
    // The answer of the write was lost, and later reads of the key-value service did not show
    // whether the write took effect.
    OutcomeUnknown
  };

  Kind mKind = Kind::Unavailable;
  ConfigHead mHead;
  std::vector<config::Problem> mProblems;
  std::string mMessage;
};

using OutcomeCallback = std::function<void(const ChangeOutcome&)>;

} // namespace lovagerock::configstore
