#pragma once

#include "peer/PeerTransport.h"
#include "routing/Claim.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace lovagerock::routing {

// The result of a query to the holder of a claim for the outcome of the claim's request.
enum class HolderStatus
{
  // The request has ended; its whole response is included.
  Done,
  InProgress,
  // The request was not run and the claim is recorded as released.
  Released,
  // The holder has no record of the request, for instance because it was restarted.
  Unknown,
  // The holder did not reply.
  Unreachable,
};

// Returns the name used in logs.
constexpr const char*
HolderStatusName(HolderStatus aHolderStatus)
{
  switch (aHolderStatus) {
    case HolderStatus::Done:
      return "done";
    case HolderStatus::InProgress:
      return "in_progress";
    case HolderStatus::Released:
      return "released";
    case HolderStatus::Unknown:
      return "unknown";
    case HolderStatus::Unreachable:
      return "unreachable";
  }
  return "unreachable";
}

// Queries the holder of a claim for the outcome of its request, and replies to such queries from
// other nodes. Not thread-safe: use it only on its event loop.
template<peer::PeerTransport Transport>
class ClaimResolver
{
public:
  using ReplyCallback = std::function<void(HolderStatus, FinalResponse)>;
  // Looks up a claim that this node holds. Must call back within kMaxReplyDelay.
  using Lookup =
    std::function<void(const std::string& aKey, const std::string& aToken, ReplyCallback)>;

  // Time after which the holder replies InProgress if the request is still running.
  static constexpr Duration kMaxReplyDelay{ 2000 };

  ClaimResolver(Transport& aTransport, Lookup aLookup)
    : mTransport(aTransport)
  {
    mTransport.Handle("claim.join", [lookup = std::move(aLookup)](
                                      const Json& aBody, const peer::ReplyFunction& aReply) {
      lookup(JsonValue<std::string>(aBody, "key", ""), JsonValue<std::string>(aBody, "token", ""),
             [aReply](HolderStatus aHolderStatus, const FinalResponse& aFinal) {
               Json reply = { { "state", static_cast<int>(aHolderStatus) } };
               if (aHolderStatus == HolderStatus::Done) {
                 reply["answer"] = aFinal;
               }
               aReply(std::move(reply));
             });
    });
  }

  // Queries the holder of the claim at the given key.
  void Query(const std::string& aKey, const Claim& aClaim, ReplyCallback aCallback)
  {
    const Json body = { { "key", aKey }, { "token", aClaim.mToken } };
    mTransport.Call(aClaim.mPeer, "claim.join", body, kMaxReplyDelay + kReplyMargin,
                    [callback = std::move(aCallback), alive = std::weak_ptr<int>(mAlive)](
                      std::error_code aError, const Json& aReply) {
                      if (!alive.expired()) {
                        DeliverReply(callback, aError, aReply);
                      }
                    });
  }

private:
  // Time for the call itself, on top of kMaxReplyDelay.
  static constexpr Duration kReplyMargin{ 1000 };

  static void
  DeliverReply(const ReplyCallback& aCallback, std::error_code aError, const Json& aReply)
  {
    const auto state = JsonValue(aReply, "state", static_cast<int>(HolderStatus::Unreachable));
    const bool known = state >= 0 && state < static_cast<int>(HolderStatus::Unreachable);
    auto status = aError || !known ? HolderStatus::Unreachable : static_cast<HolderStatus>(state);
    FinalResponse final;
    if (status == HolderStatus::Done) {
      final = JsonValue(aReply, "answer", FinalResponse());
    }
    aCallback(status, std::move(final));
  }

  Transport& mTransport;
  std::shared_ptr<int> mAlive = std::make_shared<int>();
};

} // namespace lovagerock::routing
