#pragma once

#include "base/EventLoop.h"
#include "base/SocketAddress.h"
#include "base/Units.h"
#include "http/HttpClient.h"
#include "membership/Vm.h"
#include "membership/VmSet.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::membership {

// Parses a list in the Prometheus HTTP service discovery format. Skips malformed entries and those
// that are neither entry nodes nor workers. Returns nothing if the text is not a JSON array.
std::optional<std::vector<Vm>>
ParseVmList(std::string_view aText);

// The server, path, period and timeout of the requests for the VM list.
struct VmListSettings
{
  SocketAddress mServer;
  std::string mPath = "/v1/targets";
  Duration mPeriod{ 1000 };
  Duration mTimeout{ 2000 };
};

// Reads the platform's VM list periodically and keeps the last one that was read successfully. The
// list lags behind the actual VMs, so the membership uses it only to find nodes, not to decide
// which are alive. Must only be used on its event loop.
class VmList
{
public:
  // Called after each successful read, even if the list is unchanged, and after Replace().
  using ReadCallback = std::function<void(const std::vector<Vm>&)>;
  // Called with the previous content, before the ReadCallback, if a read has changed the content.
  using ChangeCallback = std::function<void(const VmSet& aBefore)>;

  VmList(EventLoop& aLoop, const VmListSettings& aSettings, ReadCallback aOnRead);

  void OnChange(ChangeCallback aCallback) { mOnChange = std::move(aCallback); }
  // Skips each periodic read for which the function returns true.
  void SkipIf(std::function<bool()> aSkip) { mSkip = std::move(aSkip); }
  // Reads at once, or directly after the read in progress.
  void ReadNow();
  // Replaces the content by one that another node has read. The result of a read in progress may be
  // older and is discarded.
  void Replace(VmSet aContent, std::string aEntityTag);

  // The entries of the last list; empty before the first one.
  const std::vector<Vm>& Vms() const { return mContent.Vms(); }
  const VmSet& Content() const { return mContent; }
  const std::string& EntityTag() const { return mEntityTag; }
  // When the last successful read began; nothing before the first one.
  const std::optional<TimePoint>& LastRead() const { return mLastRead; }
  // Number of consecutive failed reads.
  int Failures() const { return mFailures; }
  // Number of reads started so far.
  std::size_t Reads() const { return mReads; }
  // Number of reads so far that transferred the whole list, rather than 304 Not Modified.
  std::size_t WholeReads() const { return mWholeReads; }

private:
  void Read();
  void OnAnswer(std::error_code aError, const http::Response& aResponse);
  void OnSuccess();

  VmListSettings mSettings;
  ReadCallback mOnRead;
  ChangeCallback mOnChange;
  std::function<bool()> mSkip;
  http::HttpClient mClient;
  VmSet mContent;
  // The ETag of mContent, if the service gives one. The service then doesn't send an unchanged list
  // again; such transfers would be most of a node's idle traffic.
  std::string mEntityTag;
  int mFailures = 0;
  std::size_t mReads = 0;
  std::size_t mWholeReads = 0;
  bool mReading = false;
  // Another read is due after the one in progress.
  bool mReadAgain = false;
  // Replace() was called during the read in progress.
  bool mReplacedDuringRead = false;
  // When the read in progress, or else the last one, began.
  TimePoint mReadStarted;
  std::optional<TimePoint> mLastRead;
  Timer mTimer;
};

} // namespace lovagerock::membership
