#include "http/RequestMemory.h"

#include <event2/buffer.h>

#include <algorithm>
#include <array>

namespace lovagerock::http {

namespace {

// evhttp keeps a header field in three allocations: the entry, its name and its value.
constexpr std::int64_t kLineCost = 112;
// A request that is being answered exists as text and as what was read from it.
constexpr std::int64_t kAnswerFactor = 2;

} // namespace

RequestMemory::RequestMemory(Bytes aLimit, Bytes aMaxHeaders)
  : mLimit(aLimit)
  , mMaxHeaders(aMaxHeaders)
{
}

Bytes
RequestMemory::CostOf(Bytes aReceived, std::int64_t aLines) const
{
  // A header line has at least one byte, so evhttp accepts no more lines than bytes of headers.
  return aReceived + Bytes(std::min(aLines, mMaxHeaders.Value()) * kLineCost);
}

bool
RequestMemory::Receive(Share& aShare, Bytes aCount, std::int64_t aLines)
{
  const auto before = CostOf(aShare.mReceived, aShare.mLines);
  const auto after = CostOf(aShare.mReceived + aCount, aShare.mLines + aLines);
  if (mLimit > Bytes(0) && mHeld + after - before > mLimit) {
    return false;
  }
  mHeld += after - before;
  aShare.mReceived += aCount;
  aShare.mLines += aLines;
  return true;
}

bool
RequestMemory::StartAnswer(Share& aShare, Bytes aLeft, std::int64_t aLeftLines)
{
  const auto received = CostOf(aShare.mReceived, aShare.mLines);
  const auto left = CostOf(aLeft, aLeftLines);
  const auto answering = Bytes(std::max(received - left, Bytes(0)).Value() * kAnswerFactor);
  mHeld += left + answering - received;
  aShare.mReceived = aLeft;
  aShare.mLines = aLeftLines;
  aShare.mAnswering = answering;
  return mLimit == Bytes(0) || mHeld <= mLimit;
}

void
RequestMemory::EndAnswer(Share& aShare)
{
  mHeld -= aShare.mAnswering;
  aShare.mAnswering = Bytes(0);
}

void
RequestMemory::Release(Share& aShare)
{
  EndAnswer(aShare);
  mHeld -= CostOf(aShare.mReceived, aShare.mLines);
  aShare.mReceived = Bytes(0);
  aShare.mLines = 0;
}

bool
RequestMemory::IsScarce() const
{
  // Before the limit is reached, so that ordinary requests still fit.
  constexpr std::int64_t kQuarters = 4;
  return mLimit > Bytes(0) && mHeld.Value() > mLimit.Value() / kQuarters * (kQuarters - 1);
}

std::int64_t
CountLines(evbuffer* aBuffer, std::size_t aCount)
{
  // libevent reads into at most four extents at a time.
  constexpr int kMaxExtents = 64;
  evbuffer_ptr from;
  const auto length = evbuffer_get_length(aBuffer);
  if (aCount == 0 || evbuffer_ptr_set(aBuffer, &from, length - aCount, EVBUFFER_PTR_SET) != 0) {
    return 0;
  }
  std::array<evbuffer_iovec, kMaxExtents> extents;
  const int n =
    evbuffer_peek(aBuffer, static_cast<ev_ssize_t>(aCount), &from, extents.data(), kMaxExtents);
  std::int64_t lines = 0;
  for (int i = 0; i < std::min(n, kMaxExtents); ++i) {
    const auto* begin = static_cast<const char*>(extents[static_cast<std::size_t>(i)].iov_base);
    lines += std::count(begin, begin + extents[static_cast<std::size_t>(i)].iov_len, '\n');
  }
  return lines;
}

} // namespace lovagerock::http
