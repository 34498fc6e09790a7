#pragma once

#include "base/EventLoop.h"

#include <functional>
#include <memory>
#include <utility>

namespace lovagerock {

// Delivers messages to the task that owns the mailbox, asynchronously on the task's loop and in
// order of sending. Messages still queued when the mailbox is destroyed are dropped.
template<typename Message>
class Mailbox
{
public:
  using Handler = std::function<void(Message)>;

  // Sends messages to one mailbox. Copyable; usable from any thread and after the mailbox's end.
  class Address
  {
  public:
    Address() = default;

    void Send(Message aMessage) const
    {
      if (!mLoop) {
        return;
      }
      mLoop->Post([handler = mHandler, message = std::move(aMessage)]() mutable {
        if (const auto it = handler.lock()) {
          (*it)(std::move(message));
        }
      });
    }

  private:
    friend class Mailbox;
    Address(EventLoop* aLoop, std::weak_ptr<Handler> aHandler)
      : mLoop(aLoop)
      , mHandler(std::move(aHandler))
    {
    }

    EventLoop* mLoop = nullptr;
    std::weak_ptr<Handler> mHandler;
  };

  Mailbox(EventLoop& aLoop, Handler aHandler)
    : mLoop(&aLoop)
    , mHandler(std::make_shared<Handler>(std::move(aHandler)))
  {
  }

  Address GetAddress() const { return Address(mLoop, mHandler); }

private:
  EventLoop* mLoop;
  std::shared_ptr<Handler> mHandler;
};

} // namespace lovagerock
