#pragma once

#include "base/EventLoop.h"
#include "peer/PeerSettings.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;
struct nghttp2_session;

namespace lovagerock::peer {

// One message that arrived whole: a call at the server, an answer at the client.
struct Http2Message
{
  // The path of a call.
  std::string mPath;
  // The status of an answer.
  std::string mStatus;
  std::string mBody;
};

// What a connection tells its owner. All are called from the loop and never inside a call to the
// connection.
struct Http2Events
{
  std::function<void()> mOnConnected;
  std::function<void(std::int32_t aStream, Http2Message aMessage)> mOnMessage;
  // A stream ended without a whole message; refused means that the far end did not run it.
  std::function<void(std::int32_t aStream, bool aRefused)> mOnStreamLost;
  // The connection is closed; nothing follows.
  std::function<void()> mOnClosed;
};

// An HTTP/2 connection without TLS by prior knowledge, in either role: a bufferevent with an
// nghttp2 session and PING keepalive. Used through shared_ptr; the owner calls Start() once.
class Http2Connection : public std::enable_shared_from_this<Http2Connection>
{
public:
  enum class Role
  {
    Client,
    Server
  };

  // Takes over the bufferevent, which is connected or about to be.
  Http2Connection(EventLoop& aLoop, Role aRole, bufferevent* aBuffer, const PeerSettings& aSettings,
                  PeerCounters& aCounters, Http2Events aEvents);
  ~Http2Connection();
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  void Start(bool aConnected);
  // Opens a stream with a call; the stream's number or a negative value if there is none left.
  std::int32_t SendCall(const std::string& aPath, std::string aBody);
  // Answers a call; without effect if its stream is gone.
  void SendAnswer(std::int32_t aStream, int aStatus, std::string aBody);
  // Gives up a stream, so that the far end learns that nobody waits for it.
  void Reset(std::int32_t aStream);
  // Whether any part of the stream was handed to the connection's output.
  bool IsSent(std::int32_t aStream) const;
  bool IsConnected() const { return mConnected; }
  // Closes the connection; mOnClosed follows.
  void Close(const char* aReason);
  // Closes a connection that has reached a limit, and counts it.
  void Refuse(const char* aReason);

private:
  friend struct Http2Callbacks;

  struct Stream
  {
    Http2Message mMessage;
    std::string mOutput;
    std::size_t mOffset = 0;
    bool mSent = false;
    bool mReceived = false;
    // What counts against the limit of held bytes.
    Bytes mHeld;
    TimePoint mStarted;
  };

  void CreateSession();
  void ScheduleFlush();
  void Flush();
  void OnReadable();
  void OnEvent(short aWhat);
  void OnFrame(std::int32_t aStream);
  void OnStreamClosed(std::int32_t aStream, bool aRefused);
  void Ping();
  // Counts bytes of an accepted connection's stream; if false, they are over the limit.
  bool Hold(Stream& aStream, std::size_t aBytes);
  void Release(Stream& aStream);
  bool HasLateCall() const;
  void Notify(std::function<void()> aTask);

  EventLoop& mLoop;
  Role mRole;
  bufferevent* mBuffer;
  PeerSettings mSettings;
  PeerCounters& mCounters;
  Http2Events mEvents;
  nghttp2_session* mSession = nullptr;
  std::map<std::int32_t, Stream> mStreams;
  Timer mPingTimer;
  int mMissedPings = 0;
  bool mConnected = false;
  bool mClosed = false;
  bool mFlushScheduled = false;
};

} // namespace lovagerock::peer
