#pragma once

#include "base/SocketAddress.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lovagerock::integration {

// Clients that send one request after the other without pause, each the next one when the answer to
// its last one has arrived. They heed no Retry-After. A connection that is closed is opened again.
class RequestCrowd
{
public:
  // Returns the whole text of a request. Requests count from 0, over all clients.
  using MakeRequest = std::function<std::string(std::uint64_t aNumber)>;

  RequestCrowd(const SocketAddress& aServer, int aClients, MakeRequest aMakeRequest);
  ~RequestCrowd();
  RequestCrowd(const RequestCrowd&) = delete;
  RequestCrowd& operator=(const RequestCrowd&) = delete;

  // Sends requests until as many were sent, for aLongest at most, or until aStop holds, which is
  // looked at now and then. The connections stay open.
  void
  Run(std::uint64_t aRequests, std::chrono::seconds aLongest, const std::function<bool()>& aStop);
  // The number of answers by status.
  const std::map<int, std::uint64_t>& Answers() const { return mAnswers; }
  // For failure messages.
  std::string Describe() const;

private:
  struct Client
  {
    int mSocket = -1;
    // The request that is being sent, and the part of it that was sent.
    std::string mRequest;
    std::size_t mSent = 0;
    // What has arrived of the answer.
    std::string mAnswer;
  };

  void Open(Client& aClient) const;
  // Begins the next request, on a new connection if there is none.
  void BeginNext(Client& aClient);
  void Send(Client& aClient) const;
  // Reads what has arrived. Returns whether the answer is whole or the connection has ended.
  bool Receive(Client& aClient);
  // Takes the answer if it is whole.
  bool TakeAnswer(Client& aClient);

  SocketAddress mServer;
  MakeRequest mMakeRequest;
  std::uint64_t mNext = 0;
  std::vector<Client> mClients;
  std::map<int, std::uint64_t> mAnswers;
};

// The text of a submission or another request to a queue, for RequestCrowd. The host is that of the
// server.
std::string
RequestText(const std::string& aMethod, const std::string& aTarget, const std::string& aBody = {},
            const std::string& aFields = {});

// The job id with the number.
std::string
NumberedJob(std::uint64_t aNumber);

} // namespace lovagerock::integration
