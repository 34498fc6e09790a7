#pragma once

#include "base/Units.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

namespace lovagerock::http {

// Shares a number of bytes among connections that receive requests. A part as large as the largest
// request is kept apart: when the rest is used up, connections wait in order, and the first of them
// may use the kept part until its request is complete. So one connection can always go on, and
// connections that hold bytes and wait for more can't block each other. Belongs to its loop.
class ReceiveBudget
{
public:
  // Identifies a connection; not 0.
  using Holder = std::uint64_t;
  using Granted = std::function<void(Holder)>;

  // aTotal must be at least aLargest. aGranted is called for a connection that has waited; it must
  // not call back into this object.
  ReceiveBudget(Bytes aTotal, Bytes aLargest, Granted aGranted);

  // Asks for more bytes. If false, the connection waits until aGranted is called for it.
  bool Take(Holder aHolder, Bytes aAmount);
  // Returns all bytes of the connection and ends its waiting; serves those that wait.
  void Release(Holder aHolder);

  // Bytes that are held, with those of the kept part.
  Bytes Held() const { return mShared + mLeadHeld; }
  std::size_t Waiting() const { return mWaiting.size(); }

private:
  struct Waiter
  {
    Holder mHolder = 0;
    Bytes mAmount;
  };

  bool TakeShared(Holder aHolder, Bytes aAmount);
  void Serve();

  Bytes mSharedLimit;
  Granted mGranted;
  // Bytes outside the kept part, in all and by connection.
  Bytes mShared;
  std::unordered_map<Holder, Bytes> mHolders;
  // The connection that uses the kept part; 0 for none.
  Holder mLead = 0;
  Bytes mLeadHeld;
  std::deque<Waiter> mWaiting;
};

} // namespace lovagerock::http
