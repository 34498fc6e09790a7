#include "load/Session.h"

namespace lovagerock::load {

namespace detail {
namespace {

// Time beyond the deadline for the node's own answer that the deadline passed.
constexpr Duration kAnswerMargin{ 2000 };

} // namespace
} // namespace detail

Session::Session(EventLoop& aLoop, const SessionOptions& aOptions)
  : mLoop(aLoop)
  , mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mCaller(aLoop, TargetRing(aOptions.mTargets), mRandom)
  // From the operating system, because two runs with one seed must not share keys.
  , mPrefix(Random(Random::SystemSeed()).Token())
{
}

std::string
Session::NextToken()
{
  return mPrefix + "-" + std::to_string(++mLastToken);
}

CallSpec
Session::NewCall(http::Method aMethod, std::string aTarget, const std::string& aBearer) const
{
  CallSpec call;
  call.mMethod = aMethod;
  call.mTarget = std::move(aTarget);
  const auto& token = aBearer.empty() ? mOptions.mToken : aBearer;
  if (!token.empty()) {
    call.mHeaders.Add("Authorization", "Bearer " + token);
  }
  call.mAttemptTime = mOptions.mDeadline + detail::kAnswerMargin;
  call.mGiveUp = mOptions.mGiveUp;
  return call;
}

} // namespace lovagerock::load
