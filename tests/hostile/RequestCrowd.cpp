#include "hostile/RequestCrowd.h"

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>
#include <utility>

namespace lovagerock::integration {

namespace {

constexpr int kPollMs = 20;

} // namespace

RequestCrowd::RequestCrowd(const SocketAddress& aServer, int aClients, MakeRequest aMakeRequest)
  : mServer(aServer)
  , mMakeRequest(std::move(aMakeRequest))
  , mClients(static_cast<std::size_t>(aClients))
{
}

RequestCrowd::~RequestCrowd()
{
  for (const auto& it : mClients) {
    if (it.mSocket >= 0) {
      close(it.mSocket);
    }
  }
}

void
RequestCrowd::Open(Client& aClient) const
{
  aClient.mSocket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto address = mServer.ToNative();
  std::ignore = connect(aClient.mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address);
}

void
RequestCrowd::BeginNext(Client& aClient)
{
  aClient.mRequest = mMakeRequest(mNext++);
  aClient.mSent = 0;
  aClient.mAnswer.clear();
  if (aClient.mSocket < 0) {
    Open(aClient);
  }
}

void
RequestCrowd::Send(Client& aClient) const
{
  const auto left = aClient.mRequest.size() - aClient.mSent;
  const auto n = send(aClient.mSocket, aClient.mRequest.data() + aClient.mSent, left, MSG_NOSIGNAL);
  // An error is found when the answer is read.
  aClient.mSent += n > 0 ? static_cast<std::size_t>(n) : 0;
}

bool
RequestCrowd::TakeAnswer(Client& aClient)
{
  constexpr const char* kLength = "Content-Length: ";
  const auto& text = aClient.mAnswer;
  const auto end = text.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  const auto length = text.find(kLength);
  const std::size_t body =
    length < end ? std::strtoul(text.c_str() + length + std::string(kLength).size(), nullptr, 10)
                 : 0;
  if (text.size() < end + 4 + body) {
    return false;
  }
  constexpr std::size_t kStatusAt = 9;
  ++mAnswers[static_cast<int>(std::strtol(text.c_str() + kStatusAt, nullptr, 10))];
  return true;
}

bool
RequestCrowd::Receive(Client& aClient)
{
  std::array<char, 4096> buf{};
  const auto n = recv(aClient.mSocket, buf.data(), buf.size(), 0);
  if (n > 0) {
    aClient.mAnswer.append(buf.data(), static_cast<std::size_t>(n));
    return TakeAnswer(aClient);
  }
  if (n < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
    return false;
  }
  close(std::exchange(aClient.mSocket, -1));
  return true;
}

void
RequestCrowd::Run(std::uint64_t aRequests, std::chrono::seconds aLongest,
                  const std::function<bool()>& aStop)
{
  using Clock = std::chrono::steady_clock;
  const auto end = Clock::now() + aLongest;
  const auto last = mNext + aRequests;
  for (auto& it : mClients) {
    BeginNext(it);
  }
  std::vector<pollfd> polled(mClients.size());
  int round = 0;
  while (mNext < last && Clock::now() < end) {
    for (std::size_t i = 0; i < mClients.size(); ++i) {
      const bool isSending = mClients[i].mSent < mClients[i].mRequest.size();
      polled[i] = { mClients[i].mSocket, static_cast<short>(isSending ? POLLIN | POLLOUT : POLLIN),
                    0 };
    }
    poll(polled.data(), polled.size(), kPollMs);
    for (std::size_t i = 0; i < mClients.size(); ++i) {
      if ((polled[i].revents & POLLOUT) != 0) {
        Send(mClients[i]);
      }
      if ((polled[i].revents & ~POLLOUT) != 0 && Receive(mClients[i])) {
        BeginNext(mClients[i]);
      }
    }
    constexpr int kStopPeriod = 64;
    if (++round % kStopPeriod == 0 && aStop()) {
      return;
    }
  }
}

std::string
RequestCrowd::Describe() const
{
  std::string text = std::to_string(mNext) + " requests";
  for (const auto& [status, n] : mAnswers) {
    text += ", " + std::to_string(n) + " answered " + std::to_string(status);
  }
  return text;
}

std::string
RequestText(const std::string& aMethod, const std::string& aTarget, const std::string& aBody,
            const std::string& aFields)
{
  return aMethod + " " + aTarget + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
NumberedJob(std::uint64_t aNumber)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(aNumber));
  return text.data();
}

} // namespace lovagerock::integration
