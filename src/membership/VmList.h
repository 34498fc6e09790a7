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

// Reads a list in the Prometheus HTTP service discovery format. Entries that are malformed or have
// another role are left out; nothing if the whole text is malformed.
std::optional<std::vector<Vm>>
ParseVmList(std::string_view aText);

// Where the VM list is read.
struct VmListSettings
{
  SocketAddress mServer;
  std::string mPath = "/v1/targets";
  Duration mPeriod{ 1000 };
  Duration mTimeout{ 2000 };
};

// Reads the platform's VM list again and again and keeps the last good one. The list lags, so it
// only seeds the members. Belongs to its loop.
class VmList
{
public:
  // Called after every successful read, also when the list is unchanged, and after Replace().
  using ReadCallback = std::function<void(const std::vector<Vm>&)>;
  // Called before the ReadCallback if a read brought another content, with the one before.
  using ChangeCallback = std::function<void(const VmSet& aBefore)>;

  VmList(EventLoop& aLoop, const VmListSettings& aSettings, ReadCallback aOnRead);

  void OnChange(ChangeCallback aCallback) { mOnChange = std::move(aCallback); }
  // Leaves out each periodic read for which the function gives true.
  void SkipIf(std::function<bool()> aSkip) { mSkip = std::move(aSkip); }
  // Reads at once, or after the read in progress.
  void ReadNow();
  // Takes a content that another node has read. The answer of a read in progress may be older, and
  // is dropped.
  void Replace(VmSet aContent, std::string aEntityTag);

  // The last list; empty before the first.
  const std::vector<Vm>& Vms() const { return mContent.Vms(); }
  const VmSet& Content() const { return mContent; }
  const std::string& EntityTag() const { return mEntityTag; }
  // When the last successful read began; nothing before the first.
  const std::optional<TimePoint>& LastRead() const { return mLastRead; }
  // Number of reads in a row that failed.
  int Failures() const { return mFailures; }
  // Number of reads so far.
  std::size_t Reads() const { return mReads; }
  // Number of reads so far that brought the whole list.
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
  // The version of mContent, if the service gives one. An unchanged list is then not sent again,
  // which is most of a node's idle traffic.
  std::string mEntityTag;
  int mFailures = 0;
  std::size_t mReads = 0;
  std::size_t mWholeReads = 0;
  bool mReading = false;
  // Another read is due after the one in progress.
  bool mAgain = false;
  // The list was replaced during the read in progress.
  bool mReplaced = false;
  // When the read in progress, or else the last one, began.
  TimePoint mBegun;
  std::optional<TimePoint> mLastRead;
  Timer mTimer;
};

} // namespace lovagerock::membership
