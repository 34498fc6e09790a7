#pragma once

#include "base/Json.h"
#include "base/SocketAddress.h"
#include "base/Units.h"

#include <functional>
#include <string>
#include <system_error>

namespace lovagerock::peer {

using CallCallback = std::function<void(std::error_code, Json)>;
// Answers a call once; later calls have no effect.
using ReplyFunction = std::function<void(Json)>;
using CallHandler = std::function<void(Json aBody, ReplyFunction aReply)>;

// Calls between entry nodes. A call has a method name and a JSON body, carried as CBOR. Callbacks
// run on the caller's loop and never inside the call.
template<typename T>
concept PeerTransport = requires(T aTransport, const SocketAddress& aPeer,
                                 const std::string& aMethod, const Json& aBody, Duration aTimeout,
                                 CallHandler aHandler)
{
  // Calls a method on the node that listens at the peer address.
  aTransport.Call(aPeer, aMethod, aBody, aTimeout, CallCallback());
  // Registers the handler of a method on this node.
  aTransport.Handle(aMethod, aHandler);
};

} // namespace lovagerock::peer
