#pragma once

#include "base/EventLoop.h"
#include "base/Ids.h"
#include "base/SocketAddress.h"
#include "base/Units.h"
#include "http/HttpClient.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagerock::membership {

// One VM of the platform's list.
struct Vm
{
  enum class Role
  {
    Entry,
    Worker
  };

  // The peer address of an entry node, the HTTP address of a worker.
  SocketAddress mAddress;
  Role mRole = Role::Entry;
  bool mLeaving = false;
  ZoneId mZone;
  RegionId mRegion;
  // The id of the node or worker; empty if the list does not give it.
  std::string mName;

  bool operator==(const Vm&) const = default;
};

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
  // Called after every successful read, also when the list is unchanged.
  using ReadCallback = std::function<void(const std::vector<Vm>&)>;

  VmList(EventLoop& aLoop, const VmListSettings& aSettings, ReadCallback aOnRead);

  // The last list that was read; empty before the first.
  const std::vector<Vm>& Vms() const { return mVms; }
  // Number of reads in a row that failed.
  int Failures() const { return mFailures; }

private:
  void Read();
  void OnAnswer(std::error_code aError, const http::Response& aResponse);

  VmListSettings mSettings;
  ReadCallback mOnRead;
  http::HttpClient mClient;
  std::vector<Vm> mVms;
  // The version of mVms, if the service gives one. An unchanged list is then not sent again, which
  // is most of a node's idle traffic.
  std::string mEntityTag;
  int mFailures = 0;
  bool mReading = false;
  Timer mTimer;
};

} // namespace lovagerock::membership
