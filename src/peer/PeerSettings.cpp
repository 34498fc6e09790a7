#include "peer/PeerSettings.h"

#include "base/LogEvent.h"

#include <chrono>

namespace lovagerock::peer {

void
PeerCounters::Refuse(const std::string& aReason)
{
  ++mRefused[aReason];
  auto& rate = mRefusalRates[aReason];
  if (rate.Allows(std::chrono::steady_clock::now())) {
    LogEvent("peer_connection_refused", LogLevel::Warning)
      .With("reason", aReason)
      .With("connections", mAccepted)
      .With("held_bytes", mHeld)
      .With("omitted", rate.TakeOmitted());
  }
}

} // namespace lovagerock::peer
