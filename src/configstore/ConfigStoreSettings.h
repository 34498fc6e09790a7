#pragma once

#include "base/Units.h"
#include "configstore/Confirmation.h"

namespace lovagerock::configstore {

// Time limits and modes of the configuration store.
struct ConfigStoreSettings
{
  ConfirmationSettings mConfirmation;
  // The service answers a watch after this time at the latest.
  Duration mWatchWait{ 10000 };
  // Period of direct reads of the head. A watch alone would not confirm, because it waits for
  // longer than a read confirms.
  Duration mReadPeriod{ 2000 };
  // Delay after a failed watch and before a write-back; jittered.
  Duration mRetryDelay{ 1000 };
  // How long a node that sees a new head waits for the push before it reads the body.
  Duration mPushWait{ 200 };
  // Limit of a prepare call; a promise is used within twice this time.
  Duration mPrepareTimeout{ 1000 };
  Duration mPushTimeout{ 3000 };
  // Reads that settle a write without an answer, and the delay before each.
  int mSettleReads = 5;
  Duration mSettleDelay{ 300 };
  // Goes on with work while isolated (--isolated-mode=serve).
  bool mServeIsolated = false;
};

} // namespace lovagerock::configstore
