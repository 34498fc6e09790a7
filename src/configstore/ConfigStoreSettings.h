#pragma once

#include "base/Units.h"
#include "configstore/Confirmation.h"

namespace lovagerock::configstore {

// Time limits and modes of the configuration store.
struct ConfigStoreSettings
{
  ConfirmationSettings mConfirmation;
  // Maximum duration of a blocking watch of the head.
  Duration mWatchWait{ 10000 };
  // Period of direct reads of the head. A watch is not enough to keep the node confirmed, because
  // it may block for longer than a read stays valid (ConfirmationSettings::mReadValidity).
  Duration mReadPeriod{ 2000 };
  // Delay after a failed watch and before a write-back; jittered.
  Duration mRetryDelay{ 1000 };
  // Minimum wait of a node that sees a new head for the push before it reads the body; jitter makes
  // the wait up to twice as long.
  Duration mPushWait{ 200 };
  // Timeout of a prepare call; a write starts only within twice this time after the prepare calls.
  Duration mPrepareTimeout{ 1000 };
  Duration mPushTimeout{ 3000 };
  // Maximum number of reads for the outcome of a write that was not applied or whose answer was
  // lost, and the delay between them.
  int mMaxOutcomeReads = 5;
  Duration mOutcomeReadDelay{ 300 };
  // Whether to accept work while isolated (--isolated-mode=serve).
  bool mServeIsolated = false;
};

} // namespace lovagerock::configstore
