#pragma once

#include "base/EventLoop.h"
#include "base/SocketAddress.h"
#include "standin/faultproxy/DelayedPipe.h"
#include "standin/faultproxy/Faults.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

struct bufferevent;

namespace lovagerock::standin {

// A caller's connection and the matching one to the target. Belongs to its loop.
class ProxiedConnection
{
public:
  // Takes over the caller's socket. aFaults are read on each transfer and must outlive this
  // object. aOnClosed is called once when the connection has ended by itself; it may not destroy
  // this object.
  ProxiedConnection(EventLoop& aLoop, int aSocket, const SocketAddress& aTarget, Faults& aFaults,
                    std::function<void()> aOnClosed);
  ~ProxiedConnection();
  ProxiedConnection(const ProxiedConnection&) = delete;
  ProxiedConnection& operator=(const ProxiedConnection&) = delete;

  // Carries no more bytes from now on, for good. The end of one side isn't passed on either; the
  // connection ends when both sides have closed.
  void SetSilent();
  // Makes the destructor reset both sides, in place of an orderly close.
  void ResetOnClose();
  bool IsSilent() const { return mSilent; }
  std::int64_t RequestBytes() const { return mRequestBytes; }
  std::int64_t AnswerBytes() const { return mAnswerBytes; }

private:
  struct Free
  {
    void operator()(bufferevent* aEvent) const;
  };
  using BufferEvent = std::unique_ptr<bufferevent, Free>;

  static void OnRead(bufferevent* aEvent, void* aSelf);
  static void OnWritten(bufferevent* aEvent, void* aSelf);
  static void OnEvent(bufferevent* aEvent, short aWhat, void* aSelf);

  void Transfer(bufferevent* aSource);
  void TransferRequest();
  void TransferAnswer();
  void OnSourceEnded(bufferevent* aSource, bool aFailed);
  void CloseSilentSide(bufferevent* aSide);
  void CloseIfDone();
  void Close();

  Faults& mFaults;
  std::function<void()> mOnClosed;
  BufferEvent mCaller;
  BufferEvent mTarget;
  DelayedPipe mRequests;
  DelayedPipe mAnswers;
  std::int64_t mRequestBytes = 0;
  std::int64_t mAnswerBytes = 0;
  // Bytes of a request were passed since the last byte of an answer.
  bool mRequestOpen = false;
  bool mDropAnswer = false;
  bool mCut = false;
  bool mSilent = false;
  // The sides of a silent connection that have closed.
  bool mCallerEnded = false;
  bool mTargetEnded = false;
  bool mClosed = false;
  Timer mConnectFailed;
};

} // namespace lovagerock::standin
