#pragma once

#include "base/BootClock.h"
#include "base/EventLoop.h"
#include "base/Ids.h"
#include "base/LogEvent.h"
#include "control/ControlSettings.h"
#include "control/PrefixWatch.h"
#include "control/StoreFreshness.h"
#include "kv/PrefixStore.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace lovagerock::control {

// Follows the zones in which operators have asked that nothing more is started. The store has a key
// for each, the prefix followed by the zone; its value doesn't matter.
template<kv::PrefixStore Store>
class ZoneEvacuations
{
public:
  using Changed = std::function<void(const std::set<ZoneId>&)>;

  // Calls aChanged after the first listing, and whenever the zones change.
  ZoneEvacuations(EventLoop& aLoop, Store& aStore, const EvacuationSettings& aSettings,
                  Changed aChanged)
    : mPrefix(aSettings.mPrefix)
    , mChanged(std::move(aChanged))
    , mWatch(aLoop, aStore, mPrefix, MakeCallbacks(), Duration(0), WatchWait(aSettings.mLimit))
  {
  }

  const std::set<ZoneId>& Zones() const { return mZones; }

  // Whether a start order that is sent now keeps to every request that was acknowledged more than
  // aLimit ago when the order arrives. False before the first listing.
  bool IsCurrent(Duration aLimit) const
  {
    return mFreshness.Age(BootTime()) + std::min(kOrderMargin, aLimit / 4) <= aLimit;
  }

  // Returns the time since the view was last confirmed.
  Duration Age() const { return mFreshness.Age(BootTime()); }

private:
  // The time from the check to the start of the run on the worker, on a busy link. With a short
  // limit it is a quarter of that, or nothing could ever be started.
  static constexpr Duration kOrderMargin{ 500 };

  // Several calls fit into the limit, so that one lost answer doesn't end the starts.
  static Duration WatchWait(Duration aLimit) { return std::min(aLimit / 5, kWatchWait); }

  WatchCallbacks MakeCallbacks()
  {
    WatchCallbacks callbacks;
    callbacks.mOnList = [this](const auto& aItems) { OnList(aItems); };
    callbacks.mOnEvent = [this](const auto& aEvent) { OnEvent(aEvent); };
    callbacks.mOnConfirmed = [this](Duration aConfirmed) {
      mFreshness.OnAnswer(aConfirmed, BootTime());
    };
    return callbacks;
  }

  ZoneId Zone(const std::string& aKey) const { return ZoneId(aKey.substr(mPrefix.size())); }

  void OnList(const std::map<std::string, kv::Item>& aItems)
  {
    std::set<ZoneId> zones;
    for (const auto& [key, item] : aItems) {
      zones.insert(Zone(key));
    }
    SetZones(std::move(zones));
  }

  void OnEvent(const kv::ItemEvent& aEvent)
  {
    auto zones = mZones;
    if (aEvent.mValue) {
      zones.insert(Zone(aEvent.mKey));
    } else {
      zones.erase(Zone(aEvent.mKey));
    }
    SetZones(std::move(zones));
  }

  void SetZones(std::set<ZoneId> aZones)
  {
    for (const auto& it : aZones) {
      if (!mZones.contains(it)) {
        LogEvent("zone_evacuation_requested").With("zone", it);
      }
    }
    for (const auto& it : mZones) {
      if (!aZones.contains(it)) {
        LogEvent("zone_evacuation_withdrawn").With("zone", it);
      }
    }
    mZones = std::move(aZones);
    mChanged(mZones);
  }

  std::string mPrefix;
  Changed mChanged;
  std::set<ZoneId> mZones;
  StoreFreshness mFreshness;
  PrefixWatch<Store> mWatch;
};

} // namespace lovagerock::control
