#include "peer/Http2Connection.h"

#include "base/LogEvent.h"
#include "http/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>
#include <vector>

namespace lovagerock::peer {

namespace detail {
namespace {

// Output beyond this stays in the streams, so that a PING answer never waits behind megabytes.
constexpr std::size_t kMaxBufferedOutput = 256 * 1024;
// The same on accepted connections, whose peers may never read.
constexpr std::size_t kMaxServerOutput = 32 * 1024;
// The memory of a stream without its body, here and in nghttp2.
constexpr std::size_t kStreamCost = 1024;
constexpr std::int32_t kStreamWindow = 1024 * 1024;
constexpr std::int32_t kConnectionWindow = 16 * 1024 * 1024;
constexpr std::uint32_t kMaxHeaderList = 4096;
// The names of methods are far shorter.
constexpr std::size_t kMaxPath = 256;
// Frames that wait to be sent to a peer that doesn't read, such as answers to its PINGs.
constexpr std::size_t kMaxQueuedFrames = 1024;

nghttp2_nv
Header(std::string_view aName, std::string_view aValue)
{
  // nghttp2 copies both and does not write to them.
  return { reinterpret_cast<std::uint8_t*>(const_cast<char*>(aName.data())),
           reinterpret_cast<std::uint8_t*>(const_cast<char*>(aValue.data())), aName.size(),
           aValue.size(), NGHTTP2_NV_FLAG_NONE };
}

} // namespace
} // namespace detail

// The callbacks of libevent and nghttp2, which are C functions.
struct Http2Callbacks
{
  static Http2Connection& Self(void* aUser) { return *static_cast<Http2Connection*>(aUser); }

  static void OnRead(bufferevent*, void* aUser) { Self(aUser).OnReadable(); }
  static void OnWrite(bufferevent*, void* aUser) { Self(aUser).Flush(); }
  static void OnEvent(bufferevent*, short aWhat, void* aUser) { Self(aUser).OnEvent(aWhat); }

  static ssize_t
  ReadOutput(nghttp2_session*, std::int32_t aStream, std::uint8_t* aBuffer, std::size_t aLength,
             std::uint32_t* aFlags, nghttp2_data_source*, void* aUser)
  {
    auto& streams = Self(aUser).mStreams;
    const auto it = streams.find(aStream);
    if (it == streams.end()) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    auto& stream = it->second;
    const auto n = std::min(aLength, stream.mOutput.size() - stream.mOffset);
    std::copy_n(stream.mOutput.data() + stream.mOffset, n, aBuffer);
    stream.mOffset += n;
    if (stream.mOffset == stream.mOutput.size()) {
      *aFlags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(n);
  }

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* aFrame, void* aUser)
  {
    auto& self = Self(aUser);
    if (self.mRole != Http2Connection::Role::Server) {
      return 0;
    }
    auto& stream = self.mStreams[aFrame->hd.stream_id];
    stream.mStarted = std::chrono::steady_clock::now();
    if (stream.mHeld == Bytes(0) && !self.Hold(stream, detail::kStreamCost)) {
      self.Refuse("too_much_received");
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*, const nghttp2_frame* aFrame, const std::uint8_t* aName,
                      std::size_t aNameLength, const std::uint8_t* aValue, std::size_t aLength,
                      std::uint8_t, void* aUser)
  {
    auto& streams = Self(aUser).mStreams;
    const auto it = streams.find(aFrame->hd.stream_id);
    if (it == streams.end()) {
      return 0;
    }
    const std::string_view name(reinterpret_cast<const char*>(aName), aNameLength);
    const std::string_view value(reinterpret_cast<const char*>(aValue), aLength);
    if (name == ":path") {
      if (value.size() > detail::kMaxPath) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
      }
      it->second.mMessage.mPath = value;
    } else if (name == ":status") {
      it->second.mMessage.mStatus = value;
    }
    return 0;
  }

  static int OnData(nghttp2_session*, std::uint8_t, std::int32_t aStream,
                    const std::uint8_t* aBytes, std::size_t aLength, void* aUser)
  {
    auto& self = Self(aUser);
    const auto it = self.mStreams.find(aStream);
    if (it == self.mStreams.end()) {
      return 0;
    }
    auto& body = it->second.mMessage.mBody;
    if (body.size() + aLength > static_cast<std::size_t>(self.mSettings.mMaxBody.Value())) {
      // Ends the session: a peer that respects the limit never gets here.
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    if (!self.Hold(it->second, aLength)) {
      self.Refuse("too_much_received");
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    body.append(reinterpret_cast<const char*>(aBytes), aLength);
    return 0;
  }

  static int OnFrameReceived(nghttp2_session*, const nghttp2_frame* aFrame, void* aUser)
  {
    auto& self = Self(aUser);
    if (aFrame->hd.type == NGHTTP2_PING && (aFrame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
      self.mMissedPings = 0;
    }
    const bool carriesMessage =
      aFrame->hd.type == NGHTTP2_DATA || aFrame->hd.type == NGHTTP2_HEADERS;
    if (carriesMessage && (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      self.OnFrame(aFrame->hd.stream_id);
    }
    return 0;
  }

  static int OnFrameSent(nghttp2_session*, const nghttp2_frame* aFrame, void* aUser)
  {
    auto& streams = Self(aUser).mStreams;
    const auto it = streams.find(aFrame->hd.stream_id);
    if (it != streams.end()) {
      it->second.mSent = true;
    }
    return 0;
  }

  static int
  OnStreamClosed(nghttp2_session*, std::int32_t aStream, std::uint32_t aError, void* aUser)
  {
    Self(aUser).OnStreamClosed(aStream, aError == NGHTTP2_REFUSED_STREAM);
    return 0;
  }
};

Http2Connection::Http2Connection(EventLoop& aLoop, Role aRole, bufferevent* aBuffer,
                                 const PeerSettings& aSettings, PeerCounters& aCounters,
                                 Http2Events aEvents)
  : mLoop(aLoop)
  , mRole(aRole)
  , mBuffer(aBuffer)
  , mSettings(aSettings)
  , mCounters(aCounters)
  , mEvents(std::move(aEvents))
{
  CreateSession();
}

Http2Connection::~Http2Connection()
{
  for (auto& [id, stream] : mStreams) {
    Release(stream);
  }
  nghttp2_session_del(mSession);
  bufferevent_free(mBuffer);
}

void
Http2Connection::CreateSession()
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                          Http2Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, Http2Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Http2Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Http2Callbacks::OnFrameReceived);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, Http2Callbacks::OnFrameSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Http2Callbacks::OnStreamClosed);
  nghttp2_option* options = nullptr;
  nghttp2_option_new(&options);
  nghttp2_option_set_peer_max_concurrent_streams(options,
                                                 static_cast<std::uint32_t>(mSettings.mMaxStreams));
  // Streams that have ended are only of use for priorities, and take memory.
  nghttp2_option_set_no_closed_streams(options, 1);
  if (mRole == Role::Client) {
    nghttp2_session_client_new2(&mSession, callbacks, this, options);
  } else {
    nghttp2_session_server_new2(&mSession, callbacks, this, options);
  }
  nghttp2_option_del(options);
  nghttp2_session_callbacks_del(callbacks);
  const std::array<nghttp2_settings_entry, 3> settings{ {
    { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, static_cast<std::uint32_t>(mSettings.mMaxStreams) },
    { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, detail::kStreamWindow },
    { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, detail::kMaxHeaderList },
  } };
  nghttp2_submit_settings(mSession, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(mSession, NGHTTP2_FLAG_NONE, 0, detail::kConnectionWindow);
}

void
Http2Connection::Start(bool aConnected)
{
  bufferevent_setcb(mBuffer, Http2Callbacks::OnRead, Http2Callbacks::OnWrite,
                    Http2Callbacks::OnEvent, this);
  bufferevent_enable(mBuffer, EV_READ | EV_WRITE);
  if (aConnected) {
    OnEvent(BEV_EVENT_CONNECTED);
    return;
  }
  // Covers connecting; replaced by the PING timer.
  mPingTimer = mLoop.After(mSettings.mConnectTimeout, [this] { Close("connect_timeout"); });
}

std::int32_t
Http2Connection::SendCall(const std::string& aPath, std::string aBody)
{
  const std::array<nghttp2_nv, 4> headers{ detail::Header(":method", "POST"),
                                           detail::Header(":scheme", "http"),
                                           detail::Header(":authority", "peer"),
                                           detail::Header(":path", aPath) };
  nghttp2_data_provider provider{};
  provider.read_callback = Http2Callbacks::ReadOutput;
  const auto stream =
    nghttp2_submit_request(mSession, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (stream > 0) {
    mStreams[stream].mOutput = std::move(aBody);
    ++mCounters.mMessagesSent;
    ScheduleFlush();
  }
  return stream;
}

void
Http2Connection::SendAnswer(std::int32_t aStream, int aStatus, std::string aBody)
{
  const auto it = mStreams.find(aStream);
  if (mClosed || it == mStreams.end()) {
    return;
  }
  if (!Hold(it->second, aBody.size())) {
    Refuse("too_much_unsent");
    return;
  }
  it->second.mOutput = std::move(aBody);
  const auto status = std::to_string(aStatus);
  const auto header = detail::Header(":status", status);
  nghttp2_data_provider provider{};
  provider.read_callback = Http2Callbacks::ReadOutput;
  if (nghttp2_submit_response(mSession, aStream, &header, 1, &provider) == 0) {
    ++mCounters.mMessagesSent;
  }
  ScheduleFlush();
}

void
Http2Connection::Reset(std::int32_t aStream)
{
  const auto it = mStreams.find(aStream);
  if (mClosed || it == mStreams.end()) {
    return;
  }
  Release(it->second);
  mStreams.erase(it);
  nghttp2_submit_rst_stream(mSession, NGHTTP2_FLAG_NONE, aStream, NGHTTP2_CANCEL);
  ScheduleFlush();
}

bool
Http2Connection::IsSent(std::int32_t aStream) const
{
  const auto it = mStreams.find(aStream);
  return it != mStreams.end() && it->second.mSent;
}

void
Http2Connection::Close(const char* aReason)
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  LogEvent("peer_connection_closed", LogLevel::Debug).With("reason", aReason);
  mCounters.mConnectionsClosed += mConnected ? 1 : 0;
  mConnected = false;
  mPingTimer.Cancel();
  bufferevent_disable(mBuffer, EV_READ | EV_WRITE);
  bufferevent_setcb(mBuffer, nullptr, nullptr, nullptr, nullptr);
  Notify(mEvents.mOnClosed);
}

void
Http2Connection::Refuse(const char* aReason)
{
  if (!mClosed) {
    mCounters.Refuse(aReason);
  }
  Close(aReason);
}

bool
Http2Connection::Hold(Stream& aStream, std::size_t aBytes)
{
  const Bytes bytes(static_cast<std::int64_t>(aBytes));
  if (mRole == Role::Client) {
    return true;
  }
  if (mSettings.mMaxHeld > Bytes(0) && mCounters.mHeld + bytes > mSettings.mMaxHeld) {
    return false;
  }
  mCounters.mHeld += bytes;
  aStream.mHeld += bytes;
  return true;
}

void
Http2Connection::Release(Stream& aStream)
{
  mCounters.mHeld -= aStream.mHeld;
  aStream.mHeld = Bytes(0);
}

bool
Http2Connection::HasLateCall() const
{
  if (mRole == Role::Client || mSettings.mMaxCallTime == Duration(0)) {
    return false;
  }
  const auto latest = std::chrono::steady_clock::now() - mSettings.mMaxCallTime;
  return std::any_of(mStreams.begin(), mStreams.end(),
                     [latest](const auto& aEntry) { return aEntry.second.mStarted < latest; });
}

void
Http2Connection::ScheduleFlush()
{
  // Deferred, because nghttp2 forbids sending inside its own callbacks.
  if (!std::exchange(mFlushScheduled, true)) {
    Notify([this] {
      mFlushScheduled = false;
      Flush();
    });
  }
}

void
Http2Connection::Flush()
{
  auto* output = bufferevent_get_output(mBuffer);
  const auto most = mRole == Role::Server ? detail::kMaxServerOutput : detail::kMaxBufferedOutput;
  while (mConnected && evbuffer_get_length(output) < most) {
    const std::uint8_t* bytes = nullptr;
    const auto n = nghttp2_session_mem_send(mSession, &bytes);
    if (n < 0) {
      Close("session_error");
      return;
    }
    if (n == 0) {
      break;
    }
    bufferevent_write(mBuffer, bytes, static_cast<std::size_t>(n));
    mCounters.mBytesSent += static_cast<std::uint64_t>(n);
  }
  if (mConnected && nghttp2_session_want_read(mSession) == 0 &&
      nghttp2_session_want_write(mSession) == 0 && evbuffer_get_length(output) == 0) {
    Close("session_ended");
  }
}

void
Http2Connection::OnReadable()
{
  auto* input = bufferevent_get_input(mBuffer);
  std::vector<std::uint8_t> bytes(evbuffer_get_length(input));
  evbuffer_remove(input, bytes.data(), bytes.size());
  mCounters.mBytesReceived += bytes.size();
  if (nghttp2_session_mem_recv(mSession, bytes.data(), bytes.size()) < 0) {
    Close("protocol_violation");
    return;
  }
  Flush();
  if (mRole == Role::Server &&
      nghttp2_session_get_outbound_queue_size(mSession) > detail::kMaxQueuedFrames) {
    Refuse("too_much_unsent");
  }
}

void
Http2Connection::OnEvent(short aWhat)
{
  if ((aWhat & BEV_EVENT_CONNECTED) == 0) {
    Close((aWhat & BEV_EVENT_EOF) != 0 ? "end_of_stream" : "socket_error");
    return;
  }
  mConnected = true;
  ++mCounters.mConnectionsOpened;
  http::SetSocketOptions(bufferevent_getfd(mBuffer));
  mPingTimer = mLoop.Every(mSettings.mPingInterval, [this] { Ping(); });
  Notify(mEvents.mOnConnected);
  ScheduleFlush();
}

void
Http2Connection::OnFrame(std::int32_t aStream)
{
  const auto it = mStreams.find(aStream);
  if (it == mStreams.end()) {
    return;
  }
  ++mCounters.mMessagesReceived;
  it->second.mReceived = true;
  auto message = std::move(it->second.mMessage);
  it->second.mMessage = {};
  Release(it->second);
  if (mRole == Role::Client) {
    mStreams.erase(it);
  } else {
    // The stream itself stays until it is closed.
    Hold(it->second, detail::kStreamCost);
  }
  Notify([this, aStream, message = std::move(message)] { mEvents.mOnMessage(aStream, message); });
}

void
Http2Connection::OnStreamClosed(std::int32_t aStream, bool aRefused)
{
  auto node = mStreams.extract(aStream);
  if (!node.empty()) {
    Release(node.mapped());
  }
  if (!node.empty() && !node.mapped().mReceived) {
    Notify([this, aStream, aRefused] { mEvents.mOnStreamLost(aStream, aRefused); });
  }
}

void
Http2Connection::Ping()
{
  if (mMissedPings >= mSettings.mMaxMissedPings) {
    Close("ping_timeout");
    return;
  }
  if (HasLateCall()) {
    Refuse("late_call");
    return;
  }
  ++mMissedPings;
  nghttp2_submit_ping(mSession, NGHTTP2_FLAG_NONE, nullptr);
  Flush();
}

void
Http2Connection::Notify(std::function<void()> aTask)
{
  mLoop.Post([weak = weak_from_this(), task = std::move(aTask)] {
    if (const auto self = weak.lock()) {
      task();
    }
  });
}

} // namespace lovagerock::peer
