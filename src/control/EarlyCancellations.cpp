#include "control/EarlyCancellations.h"

#include "base/Hash.h"
#include "base/Json.h"
#include "base/LogEvent.h"
#include "control/ControlSettings.h"
#include "control/Keys.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace lovagerock::control {

namespace {

// An account's name may be longer than a key, and have any characters.
std::string
EarlyCancelKey(const JobId& aJob, const AccountId& aAccount)
{
  std::ostringstream key;
  key << kEarlyCancelPrefix << aJob.Value() << '/' << std::hex << std::setfill('0') << std::setw(16)
      << HashText(aAccount.Value());
  return key.str();
}

bool
IsExpired(std::int64_t aRecordedMs, std::int64_t aNowMs)
{
  return aNowMs - aRecordedMs > kEarlyCancellationTime.count();
}

} // namespace

kv::ConditionalWrites
EarlyCancellationWrites(const JobId& aJob, const AccountId& aAccount, std::int64_t aNowMs)
{
  kv::ConditionalWrites writes;
  writes.mWrites.push_back({ EarlyCancelKey(aJob, aAccount),
                             DumpJson({ { "account", aAccount.Value() }, { "atMs", aNowMs } }),
                             {} });
  return writes;
}

std::optional<JobId>
EarlyCancellations::OnRecord(const std::string& aKey, const std::string& aValue,
                             std::int64_t aNowMs)
{
  if (!aKey.starts_with(kEarlyCancelPrefix)) {
    return std::nullopt;
  }
  const auto json = ParseJson(aValue);
  const auto atMs = json ? JsonValue(*json, "atMs", std::int64_t{ 0 }) : 0;
  if (atMs <= 0) {
    LogEvent("early_cancellation_malformed", LogLevel::Error).With("key", aKey);
  }
  const auto recordedMs = atMs > 0 ? std::min(atMs, aNowMs) : aNowMs;
  auto& known = mRecordedMs.try_emplace(aKey, recordedMs).first->second;
  if (atMs > 0) {
    // Rewritten by a repeated cancellation.
    known = std::max(known, recordedMs);
  }
  const auto job = std::string_view(aKey).substr(kEarlyCancelPrefix.size());
  return JobId(std::string(job.substr(0, job.find('/'))));
}

bool
EarlyCancellations::Covers(const JobId& aJob, const AccountId& aAccount) const
{
  return !mRecordedMs.empty() && mRecordedMs.contains(EarlyCancelKey(aJob, aAccount));
}

std::vector<std::string>
EarlyCancellations::Expired(std::int64_t aNowMs) const
{
  std::vector<std::string> expired;
  for (const auto& [key, recordedMs] : mRecordedMs) {
    if (IsExpired(recordedMs, aNowMs)) {
      expired.push_back(key);
    }
  }
  return expired;
}

void
EarlyCancellations::RemoveExpired(const std::vector<std::string>& aKeys, std::int64_t aNowMs)
{
  for (const auto& it : aKeys) {
    const auto known = mRecordedMs.find(it);
    if (known != mRecordedMs.end() && IsExpired(known->second, aNowMs)) {
      mRecordedMs.erase(known);
    }
  }
}

} // namespace lovagerock::control
