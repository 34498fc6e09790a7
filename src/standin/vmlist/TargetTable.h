#pragma once

#include "base/Json.h"
#include "base/SocketAddress.h"
#include "base/Units.h"

#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace lovagerock::standin {

// The VMs of a deployment with their labels, as the platform knows them. Changes become visible
// with a lag. It has no clock of its own: the time given to it must not go back.
class TargetTable
{
public:
  explicit TargetTable(Duration aLag);

  // Reads a list in the Prometheus HTTP service-discovery format; it is visible at once. False if
  // the text is malformed, and then nothing changes.
  bool Load(std::string_view aText);
  // Sets the labels of a VM; false if they aren't an object of strings.
  bool Set(const SocketAddress& aAddress, const Json& aLabels, TimePoint aNow);
  void Erase(const SocketAddress& aAddress, TimePoint aNow);
  // The list as readers see it.
  Json Visible(TimePoint aNow);

private:
  struct Change
  {
    TimePoint mDue;
    SocketAddress mAddress;
    // Nothing if the VM was removed.
    std::optional<Json> mLabels;
  };

  Duration mLag;
  std::map<SocketAddress, Json> mVisible;
  std::deque<Change> mPending;
};

} // namespace lovagerock::standin
