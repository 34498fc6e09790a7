#pragma once

#include "base/Json.h"
#include "cli/CommandLine.h"
#include "http/HttpServer.h"
#include "support/LocalAddress.h"

#include <criterion/criterion.h>

#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lovagerock::cli {

// A node's admin API on its own thread. Routes are set before Start().
class FakeAdmin
{
public:
  FakeAdmin()
    : mServer(mLoop)
  {
    cr_assert_not(mServer.Listen(testing::LocalAddress()));
  }
  ~FakeAdmin()
  {
    mLoop.Stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }
  FakeAdmin(const FakeAdmin&) = delete;
  FakeAdmin& operator=(const FakeAdmin&) = delete;

  // Answers a route; aHandler gets the number of earlier calls of the route.
  using Handler = std::function<void(int aEarlier, const http::Responder& aResponder)>;
  void On(http::Method aMethod, const std::string& aPattern, Handler aHandler)
  {
    const auto key = std::string(http::MethodName(aMethod)) + " " + aPattern;
    mServer.Handle(
      aMethod, aPattern,
      [this, key, aHandler](const http::Request& aRequest, const http::Responder& aResponder) {
        aHandler(Record(key, aRequest), aResponder);
      });
  }
  void On(http::Method aMethod, const std::string& aPattern, int aStatus, const Json& aBody)
  {
    On(aMethod, aPattern, [aStatus, aBody](int, const http::Responder& aResponder) {
      aResponder.Send(http::JsonResponse(aStatus, DumpJson(aBody)));
    });
  }
  // Never answers a route.
  void Hold(http::Method aMethod, const std::string& aPattern)
  {
    On(aMethod, aPattern,
       [this](int, const http::Responder& aResponder) { mHeld.push_back(aResponder); });
  }
  void Start()
  {
    mThread = std::thread([this] { mLoop.Run(); });
  }

  std::string Address() const { return mServer.Address().ToString(); }
  // The requests to a route, such as "GET /v1/nodes".
  std::vector<http::Request> Calls(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    return mCalls[aKey];
  }

private:
  int Record(const std::string& aKey, const http::Request& aRequest)
  {
    const std::lock_guard lock(mMutex);
    mCalls[aKey].push_back(aRequest);
    return static_cast<int>(mCalls[aKey].size()) - 1;
  }

  EventLoop mLoop;
  http::HttpServer mServer;
  // Used on the loop's thread, and destroyed after it ended.
  std::vector<http::Responder> mHeld;
  std::mutex mMutex;
  std::map<std::string, std::vector<http::Request>> mCalls;
  std::thread mThread;
};

// The result of a command.
struct CommandResult
{
  int mCode = -1;
  std::string mOut;
  std::string mErr;
};

inline CommandResult
RunCommand(const std::vector<std::string>& aArguments, const std::string& aInput = "")
{
  std::vector<const char*> arguments{ "lovagerock" };
  for (const auto& it : aArguments) {
    arguments.push_back(it.c_str());
  }
  std::istringstream in(aInput);
  std::ostringstream out;
  std::ostringstream err;
  const int code =
    RunCommandLine(static_cast<int>(arguments.size()), arguments.data(), { in, out, err });
  return { code, out.str(), err.str() };
}

// Fails unless the text holds the part.
inline void
ExpectHolds(const std::string& aText, const std::string& aPart)
{
  cr_expect(aText.find(aPart) != std::string::npos, "'%s' is not in:\n%s", aPart.c_str(),
            aText.c_str());
}

inline void
ExpectCode(const CommandResult& aResult, int aCode)
{
  cr_expect(aResult.mCode == aCode, "exit status %d, not %d\n%s%s", aResult.mCode, aCode,
            aResult.mOut.c_str(), aResult.mErr.c_str());
}

// An address on which nothing listens.
inline std::string
ClosedAddress()
{
  EventLoop loop;
  http::HttpServer server(loop);
  cr_assert_not(server.Listen(testing::LocalAddress()));
  return server.Address().ToString();
}

inline const std::string kExample = LOVAGEROCK_EXAMPLES "/saryarka.yaml";

} // namespace lovagerock::cli
