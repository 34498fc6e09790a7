#pragma once

#include "http/HttpMessage.h"

#include <functional>
#include <memory>
#include <string_view>

namespace lovagerock::http {

namespace detail {
struct Exchange;
} // namespace detail

// Answers one request, once. Copies share the same exchange. Belongs to the server's loop. If the
// last copy is destroyed before an answer was started, the caller gets 500. Calls after the
// connection was lost, or after the answer ended, have no effect.
class Responder
{
public:
  explicit Responder(std::shared_ptr<detail::Exchange> aExchange);

  // Sends a whole answer.
  void Send(Response aResponse) const;
  // Starts an answer whose body follows in pieces.
  void Start(int aStatus, const Headers& aHeaders) const;
  // Sends a piece of the body; calls aDrained when it has been written to the connection.
  void Write(std::string_view aData, std::function<void()> aDrained = nullptr) const;
  // Ends an answer started with Start().
  void End() const;
  // Closes the connection without an answer, or without completing the started one, so that the
  // caller notices.
  void Abort() const;
  // Calls back once, on the loop, if the caller closes its connection before an answer was started.
  // A caller that closes only its sending direction is not taken for a closed one.
  void OnHungUp(std::function<void()> aHungUp) const;
  // Whether an answer was started or sent.
  bool IsStarted() const;

private:
  std::shared_ptr<detail::Exchange> mExchange;
};

} // namespace lovagerock::http
