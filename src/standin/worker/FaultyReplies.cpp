#include "standin/worker/FaultyReplies.h"

#include <utility>

namespace lovagerock::standin {

FaultyReplies::FaultyReplies(EventLoop& aLoop)
  : mLoop(&aLoop)
{
}

void
FaultyReplies::Change(const Json& aFaults)
{
  mFaults.mFailAll = JsonValue(aFaults, "fail_all", mFaults.mFailAll);
  mFaults.mFreeze = JsonValue(aFaults, "freeze", mFaults.mFreeze);
  mFaults.mSlow = Duration(JsonValue<std::int64_t>(aFaults, "slow_ms", mFaults.mSlow.count()));
  mFaults.mLoseAnswers = JsonValue(aFaults, "lose_answers", mFaults.mLoseAnswers);
  if (!mFaults.mFreeze) {
    for (const auto& it : std::exchange(mHeld, {})) {
      CloseWithoutAnswer(it);
    }
  }
}

void
FaultyReplies::CloseWithoutAnswer(const http::Responder& aResponder)
{
  aResponder.Abort();
  // The connection is closed from the loop; a responder dropped before would answer 500.
  mLoop->Post([aResponder] {});
}

void
FaultyReplies::Hold(const http::Responder& aResponder)
{
  constexpr std::size_t kMaxHeld = 10000;
  if (mHeld.size() >= kMaxHeld) {
    CloseWithoutAnswer(mHeld.front());
    mHeld.erase(mHeld.begin());
  }
  mHeld.push_back(aResponder);
}

void
FaultyReplies::Send(const http::Responder& aResponder, http::Response aResponse, bool aMayBeLost)
{
  if (mFaults.mFreeze) {
    Hold(aResponder);
    return;
  }
  if (aMayBeLost && mFaults.mLoseAnswers > 0) {
    --mFaults.mLoseAnswers;
    CloseWithoutAnswer(aResponder);
    return;
  }
  if (mFaults.mSlow.count() <= 0) {
    aResponder.Send(std::move(aResponse));
    return;
  }
  const auto id = mNextDelay++;
  mDelays[id] =
    mLoop->After(mFaults.mSlow, [this, id, aResponder, response = std::move(aResponse)]() mutable {
      aResponder.Send(std::move(response));
      mDelays.erase(id);
    });
}

} // namespace lovagerock::standin
