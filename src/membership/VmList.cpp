#include "membership/VmList.h"

#include "base/JsonList.h"
#include "base/LogEvent.h"

#include <chrono>
#include <utility>

namespace lovagerock::membership {

namespace detail {
namespace {

void
ReadGroup(const Json& aGroup, std::vector<Vm>& aVms)
{
  const auto labels = JsonValue(aGroup, "labels", Json::object());
  const auto role = JsonValue(labels, "role", std::string());
  if (role != "entry" && role != "worker") {
    return;
  }
  Vm vm;
  vm.mRole = role == "entry" ? Vm::Role::Entry : Vm::Role::Worker;
  vm.mLeaving = JsonValue(labels, "state", std::string()) == "leaving";
  vm.mZone = ZoneId(JsonValue(labels, "zone", std::string()));
  vm.mRegion = RegionId(JsonValue(labels, "region", std::string()));
  vm.mName = JsonValue(labels, "node", std::string());
  for (const auto& it : JsonValue(aGroup, "targets", Json::array_t())) {
    auto address =
      it.is_string() ? SocketAddress::Parse(it.get_ref<const std::string&>()) : std::nullopt;
    if (address && address->Port() != 0) {
      vm.mAddress = std::move(*address);
      aVms.push_back(vm);
    }
  }
}

} // namespace
} // namespace detail

std::optional<std::vector<Vm>>
ParseVmList(std::string_view aText)
{
  const auto list = ParseJsonList(aText);
  if (!list) {
    return std::nullopt;
  }
  if (list->mUnreadable > 0) {
    LogEvent("vm_entries_unreadable", LogLevel::Warning).With("entries", list->mUnreadable);
  }
  std::vector<Vm> vms;
  for (const auto& it : list->mElements) {
    detail::ReadGroup(it, vms);
  }
  return vms;
}

VmList::VmList(EventLoop& aLoop, const VmListSettings& aSettings, ReadCallback aOnRead)
  : mSettings(aSettings)
  , mOnRead(std::move(aOnRead))
  , mClient(aLoop)
{
  mTimer = aLoop.Every(mSettings.mPeriod, [this] {
    if (!mSkip || !mSkip()) {
      Read();
    }
  });
  Read();
}

void
VmList::ReadNow()
{
  if (mReading) {
    mReadAgain = true;
    return;
  }
  Read();
}

void
VmList::Replace(VmSet aContent, std::string aEntityTag)
{
  mContent = std::move(aContent);
  mEntityTag = std::move(aEntityTag);
  mReplacedDuringRead = mReading;
  mOnRead(mContent.Vms());
}

void
VmList::Read()
{
  if (std::exchange(mReading, true)) {
    return;
  }
  ++mReads;
  mReplacedDuringRead = false;
  mReadStarted = std::chrono::steady_clock::now();
  http::ClientRequest request;
  request.mServer = mSettings.mServer;
  request.mTarget = mSettings.mPath;
  request.mDeadline = mSettings.mTimeout;
  if (!mEntityTag.empty()) {
    request.mHeaders.Add("If-None-Match", mEntityTag);
  }
  mClient.Send(request, [this](std::error_code aError, const http::Response& aResponse) {
    mReading = false;
    OnAnswer(aError, aResponse);
    if (std::exchange(mReadAgain, false)) {
      Read();
    }
  });
}

void
VmList::OnAnswer(std::error_code aError, const http::Response& aResponse)
{
  constexpr int kNotModified = 304;
  if (!aError && aResponse.mStatus == kNotModified) {
    OnSuccess();
    return;
  }
  auto vms = aError || aResponse.mStatus != 200 ? std::nullopt : ParseVmList(aResponse.mBody);
  if (!vms) {
    // Logged once per outage, because the list is read every second.
    if (mFailures++ == 0) {
      LogEvent("vm_list_unavailable", LogLevel::Warning)
        .With("status", aResponse.mStatus)
        .With("error", aError.message());
    }
    return;
  }
  ++mWholeReads;
  if (!mReplacedDuringRead) {
    const auto before = std::exchange(mContent, VmSet(std::move(*vms)));
    mEntityTag = aResponse.mHeaders.Get("ETag");
    if (mOnChange && before.Hash() != mContent.Hash()) {
      mOnChange(before);
    }
  }
  OnSuccess();
}

void
VmList::OnSuccess()
{
  mFailures = 0;
  // A read that began before Replace() doesn't confirm the content that replaced its own.
  if (!mReplacedDuringRead) {
    mLastRead = mReadStarted;
  }
  mOnRead(mContent.Vms());
}

} // namespace lovagerock::membership
