#pragma once

#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "kv/PrefixStore.h"

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagerock::control {

// A submission or a cancellation. Both may be written several times and by several nodes: a
// submission is written only while its key is absent, and all cancellations of a job are the same.
struct RequestWrite
{
  JobId mJob;
  // The caller's account; empty for a public queue. A cancellation is written only if the account
  // may see the job.
  AccountId mAccount;
  // The record of a submitted job; unset for a cancellation.
  std::optional<std::string> mRecord;
};

// Returns the store's operation for the write.
kv::ConditionalWrites
StoreOperation(const RequestWrite& aWrite);

// Whether the item is a valid job record that the account may see.
bool
IsVisible(const std::optional<kv::Item>& aItem, const AccountId& aAccount);

// What became of a write that another node was asked to make.
enum class RelayOutcome
{
  // The store has acknowledged it.
  Stored,
  // The store has acknowledged that the job's record was there before.
  Present,
  // The job of a cancellation doesn't exist for the account, and the cancellation is recorded in
  // case that a submission is still under way; see EarlyCancellations.
  Gone,
  // The asked node has not written it, and won't.
  Refused,
  // It may have been written, or may still be.
  Unknown,
};

inline constexpr std::size_t kRelayOutcomes = 5;

const std::array<RelayOutcome, kRelayOutcomes>&
AllRelayOutcomes();

std::string_view
RelayOutcomeName(RelayOutcome aOutcome);

// The inverse of RelayOutcomeName(); Unknown for any other text.
RelayOutcome
ParseRelayOutcome(std::string_view aName);

struct RelayAnswer
{
  RelayOutcome mOutcome = RelayOutcome::Unknown;
  std::string mReason;
  // Whether the asked node has too much to do, or the store exceeds its rate, so that the request
  // must not be relayed again.
  bool mIsBusy = false;
  // Whether the store rejects all nodes that could be asked, as far as is known.
  bool mHasNoStore = false;
};

using RelayCallback = std::function<void(const RelayAnswer&)>;

// The addresses of other nodes that this node knows of without the store: those that lead or have
// led, the most recent first. Any of them can write, because a request's write doesn't depend on
// the leadership.
class KnownNodes
{
public:
  explicit KnownNodes(SocketAddress aOwn)
    : mOwn(std::move(aOwn))
  {
  }

  // Records the leader by this node's own view. An unchanged view doesn't replace what other nodes
  // have told since.
  void OnView(const std::optional<SocketAddress>& aLeader);
  // Records the leader that another node has named.
  void OnNamed(const SocketAddress& aLeader);
  // Records that a node hasn't answered.
  void OnSilent(const SocketAddress& aNode);
  // Returns the node to ask when the given ones were asked before: one of the others, or the first
  // one if there is no other; unset if none is known.
  std::optional<SocketAddress> Choose(const std::vector<SocketAddress>& aAsked = {}) const;

private:
  SocketAddress mOwn;
  std::optional<SocketAddress> mViewed;
  std::vector<SocketAddress> mNodes;
};

} // namespace lovagerock::control
