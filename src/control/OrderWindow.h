#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

namespace lovagerock::control {

// Limits the orders to workers that are in progress at a time: each takes a connection, and so a
// descriptor. Further ones wait in order, stops before starts, since other work waits for the
// capacity that stops free.
class OrderWindow
{
public:
  // Sends the order; returns false if it is out of date and nothing was sent.
  using Order = std::function<bool()>;

  // aMost is at least 1.
  explicit OrderWindow(std::size_t aMost)
    : mMost(aMost)
  {
  }

  void AddStop(Order aOrder) { Add(mStops, std::move(aOrder)); }
  void AddStart(Order aOrder) { Add(mStarts, std::move(aOrder)); }
  // An order that was sent has its outcome.
  void OnEnded()
  {
    --mInProgress;
    SendNext();
  }
  std::size_t InProgress() const { return mInProgress; }
  std::size_t Waiting() const { return mStops.size() + mStarts.size(); }

private:
  void Add(std::deque<Order>& aQueue, Order aOrder)
  {
    aQueue.push_back(std::move(aOrder));
    SendNext();
  }

  void SendNext()
  {
    while (mInProgress < mMost && Waiting() > 0) {
      auto& queue = mStops.empty() ? mStarts : mStops;
      const auto order = std::move(queue.front());
      queue.pop_front();
      ++mInProgress;
      if (!order()) {
        --mInProgress;
      }
    }
  }

  std::size_t mMost;
  std::size_t mInProgress = 0;
  std::deque<Order> mStops;
  std::deque<Order> mStarts;
};

} // namespace lovagerock::control
