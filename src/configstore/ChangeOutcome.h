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
  // The version that the file was made from; 0 for none.
  ConfigVersion mBase;
  ChangeId mChange;
  std::string mOperator;
};

// How a request to apply ended.
struct ChangeOutcome
{
  enum class Kind
  {
    // Accepted; mHead is the head that the change produced.
    Applied,
    // mProblems says why.
    Invalid,
    // mHead is the head that won.
    Conflict,
    // Not applied, and this request never will be; mMessage says why.
    Unavailable,
    // The answer of the write was lost and the service could not tell what came of it.
    OutcomeUnknown
  };

  Kind mKind = Kind::Unavailable;
  ConfigHead mHead;
  std::vector<config::Problem> mProblems;
  std::string mMessage;
};

using OutcomeCallback = std::function<void(const ChangeOutcome&)>;

} // namespace lovagerock::configstore
