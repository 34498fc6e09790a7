#pragma once

#include "base/EventLoop.h"
#include "base/Random.h"
#include "base/SocketAddress.h"
#include "base/Units.h"
#include "load/Caller.h"
#include "load/ClientLog.h"
#include "load/Tally.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovagerock::load {

// The options that all loads share.
struct SessionOptions
{
  std::vector<SocketAddress> mTargets;
  std::string mToken;
  std::uint64_t mSeed = 0;
  // Deadline of each request, also told to the node.
  Duration mDeadline{ 30000 };
  // A call is not tried again after this time.
  Duration mGiveUp{ 60000 };
};

// What the parts of a running load share. Keys and tokens start with a random prefix, so that runs
// against the same system don't meet.
class Session
{
public:
  Session(EventLoop& aLoop, const SessionOptions& aOptions);

  // A token that is unique over runs.
  std::string NextToken();
  // A call with the settings of the session and the account's bearer token.
  CallSpec NewCall(http::Method aMethod, std::string aTarget,
                   const std::string& aBearer = std::string()) const;

  EventLoop& mLoop;
  SessionOptions mOptions;
  Random mRandom;
  Caller mCaller;
  ClientLog mLog;
  Tally mRequests;
  Tally mJobs;

private:
  std::string mPrefix;
  std::int64_t mLastToken = 0;
};

} // namespace lovagerock::load
