#include "http/ReceiveBudget.h"

#include <algorithm>
#include <utility>

namespace lovagerock::http {

ReceiveBudget::ReceiveBudget(Bytes aTotal, Bytes aLargest, Granted aGranted)
  : mSharedLimit(aTotal - aLargest)
  , mGranted(std::move(aGranted))
{
}

bool
ReceiveBudget::Take(Holder aHolder, Bytes aAmount)
{
  if (aHolder == mLead) {
    mLeadHeld += aAmount;
    return true;
  }
  if (mWaiting.empty() && TakeShared(aHolder, aAmount)) {
    return true;
  }
  if (mLead == 0) {
    mLead = aHolder;
    mLeadHeld = aAmount;
    return true;
  }
  mWaiting.push_back({ aHolder, aAmount });
  return false;
}

void
ReceiveBudget::Release(Holder aHolder)
{
  const auto held = mHolders.find(aHolder);
  if (held != mHolders.end()) {
    mShared -= held->second;
    mHolders.erase(held);
  }
  if (aHolder == mLead) {
    mLead = 0;
    mLeadHeld = Bytes(0);
  }
  const auto removed =
    std::remove_if(mWaiting.begin(), mWaiting.end(),
                   [aHolder](const Waiter& aWaiter) { return aWaiter.mHolder == aHolder; });
  mWaiting.erase(removed, mWaiting.end());
  Serve();
}

bool
ReceiveBudget::TakeShared(Holder aHolder, Bytes aAmount)
{
  if (mShared + aAmount > mSharedLimit) {
    return false;
  }
  mShared += aAmount;
  mHolders[aHolder] += aAmount;
  return true;
}

void
ReceiveBudget::Serve()
{
  while (!mWaiting.empty()) {
    const auto first = mWaiting.front();
    if (!TakeShared(first.mHolder, first.mAmount)) {
      if (mLead != 0) {
        return;
      }
      mLead = first.mHolder;
      mLeadHeld = first.mAmount;
    }
    mWaiting.pop_front();
    mGranted(first.mHolder);
  }
}

} // namespace lovagerock::http
