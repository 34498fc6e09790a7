#include "integration/VersionWatch.h"

#include "integration/TestFailure.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace lovagerock::integration {

void
VersionHistory::Note(int aNode, int aVersion)
{
  if (aVersion < 0) {
    return;
  }
  auto& highest = mHighest.try_emplace(aNode, aVersion).first->second;
  if (aVersion < highest) {
    mFall = "node " + std::to_string(aNode) + " fell from version " + std::to_string(highest) +
            " to " + std::to_string(aVersion);
  }
  highest = std::max(highest, aVersion);
}

void
VersionHistory::RequireNeverFell() const
{
  Require(!mHighest.empty(), "no versions seen");
  Require(mFall.empty(), mFall);
}

VersionWatch::VersionWatch(const LocalSystem& aSystem)
{
  std::vector<SocketAddress> nodes;
  nodes.reserve(static_cast<std::size_t>(aSystem.NodeCount()));
  for (int i = 0; i < aSystem.NodeCount(); ++i) {
    nodes.push_back(aSystem.AdminAddress(i));
  }
  mThread = std::jthread([this, nodes](const std::stop_token& aStop) {
    constexpr std::chrono::milliseconds kPeriod{ 50 };
    HttpCaller caller;
    while (!aStop.stop_requested()) {
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        const auto result = caller.Get(nodes[i], "/v1/config");
        mHistory.Note(static_cast<int>(i),
                      result.Is(200) ? JsonValue(result.Body(), "version", -1) : -1);
      }
      std::this_thread::sleep_for(kPeriod);
    }
  });
}

const VersionHistory&
VersionWatch::Stop()
{
  mThread.request_stop();
  mThread.join();
  return mHistory;
}

} // namespace lovagerock::integration
