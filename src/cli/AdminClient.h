#pragma once

#include "base/EventLoop.h"
#include "base/Json.h"
#include "base/SocketAddress.h"
#include "base/Units.h"
#include "http/HttpClient.h"

#include <string>
#include <system_error>
#include <vector>

namespace lovagerock::cli {

// How far a call to a node got.
enum class CallOutcome
{
  // The node answered.
  Answered,
  // No byte of the request was sent.
  NotSent,
  // The request was sent and no complete answer came.
  Lost
};

// The result of a call to a node.
struct CallResult
{
  CallOutcome mOutcome = CallOutcome::NotSent;
  SocketAddress mNode;
  std::error_code mError;
  int mStatus = 0;
  // The answer's JSON object; null if the answer held none.
  Json mBody;

  // Whether the node answered with this status and a JSON object.
  bool Is(int aStatus) const;
};

// Calls the operators' API and waits for the answer. Runs its own event loop.
class AdminClient
{
public:
  explicit AdminClient(std::vector<SocketAddress> aNodes);

  const std::vector<SocketAddress>& Nodes() const { return mNodes; }

  // Calls one node.
  CallResult CallNode(const SocketAddress& aNode, http::Method aMethod, const std::string& aTarget,
                      const std::string& aBody, Duration aTimeout);
  // Makes a call that is safe to repeat. Goes on to the next node if one doesn't answer, isn't
  // ready or fails; a silent node gets an equal share of the time left. Gives the first good
  // answer, else the last answer, else the last failure.
  CallResult Query(http::Method aMethod, const std::string& aTarget, const std::string& aBody,
                   Duration aTimeout);
  // Waits between two tries.
  void Pause(Duration aTime);

private:
  EventLoop mLoop;
  http::HttpClient mClient;
  std::vector<SocketAddress> mNodes;
};

} // namespace lovagerock::cli
