#pragma once

#include "peer/PeerTransport.h"
#include "routing/Claim.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace lovagerock::routing {

// What the holder of a claim says about its request.
enum class HolderAnswer
{
  // The request has ended and its whole answer is given.
  Done,
  InProgress,
  // The request was not run and the claim is recorded as released.
  Released,
  // The holder doesn't know the request, for instance because it was restarted.
  Unknown,
  // The holder gave no answer.
  Unreachable,
};

// The name used in logs.
constexpr const char*
HolderAnswerName(HolderAnswer aAnswer)
{
  switch (aAnswer) {
    case HolderAnswer::Done:
      return "done";
    case HolderAnswer::InProgress:
      return "in_progress";
    case HolderAnswer::Released:
      return "released";
    case HolderAnswer::Unknown:
      return "unknown";
    case HolderAnswer::Unreachable:
      return "unreachable";
  }
  return "unreachable";
}

// Asks the holder of a claim for the outcome of its request, and answers other nodes that ask.
// Belongs to its loop.
template<peer::PeerTransport Transport>
class ClaimResolver
{
public:
  using ReplyCallback = std::function<void(HolderAnswer, FinalAnswer)>;
  // Looks a claim of this node up. The reply may come later, but within kHoldTime.
  using Lookup =
    std::function<void(const std::string& aKey, const std::string& aToken, ReplyCallback)>;

  // The holder answers a question about a running request after this time at the latest.
  static constexpr Duration kHoldTime{ 2000 };

  ClaimResolver(Transport& aTransport, Lookup aLookup)
    : mTransport(aTransport)
  {
    mTransport.Handle("claim.join", [lookup = std::move(aLookup)](
                                      const Json& aBody, const peer::ReplyFunction& aReply) {
      lookup(JsonValue<std::string>(aBody, "key", ""), JsonValue<std::string>(aBody, "token", ""),
             [aReply](HolderAnswer aAnswer, const FinalAnswer& aFinal) {
               Json reply = { { "state", static_cast<int>(aAnswer) } };
               if (aAnswer == HolderAnswer::Done) {
                 reply["answer"] = aFinal;
               }
               aReply(std::move(reply));
             });
    });
  }

  // Asks the holder of the claim at the given key.
  void Ask(const std::string& aKey, const Claim& aClaim, ReplyCallback aCallback)
  {
    const Json body = { { "key", aKey }, { "token", aClaim.mToken } };
    mTransport.Call(aClaim.mPeer, "claim.join", body, kHoldTime + kMargin,
                    [callback = std::move(aCallback), alive = std::weak_ptr<int>(mAlive)](
                      std::error_code aError, const Json& aReply) {
                      if (!alive.expired()) {
                        Report(callback, aError, aReply);
                      }
                    });
  }

private:
  static constexpr Duration kMargin{ 1000 };

  static void Report(const ReplyCallback& aCallback, std::error_code aError, const Json& aReply)
  {
    const auto state = JsonValue(aReply, "state", static_cast<int>(HolderAnswer::Unreachable));
    const bool known = state >= 0 && state < static_cast<int>(HolderAnswer::Unreachable);
    auto answer = aError || !known ? HolderAnswer::Unreachable : static_cast<HolderAnswer>(state);
    FinalAnswer final;
    if (answer == HolderAnswer::Done) {
      final = JsonValue(aReply, "answer", FinalAnswer());
    }
    aCallback(answer, std::move(final));
  }

  Transport& mTransport;
  std::shared_ptr<int> mAlive = std::make_shared<int>();
};

} // namespace lovagerock::routing
