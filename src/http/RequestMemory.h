#pragma once

#include "base/Units.h"

#include <cstddef>

struct evbuffer;

namespace lovagerock::http {

// Estimates the memory that requests take while they are received and answered, and keeps it below
// a limit. A header field takes far more memory than on the wire, and where header fields begin and
// end isn't known before evhttp has read them, so each line counts as one, up to the number of
// lines that evhttp accepts. Belongs to its loop.
class RequestMemory
{
public:
  // What is held for one connection.
  struct Share
  {
    // Bytes and lines of the request that is being received.
    Bytes mReceived;
    std::int64_t mLines = 0;
    // What the request that is being answered takes.
    Bytes mAnswering;
  };

  // A limit of 0 is none.
  RequestMemory(Bytes aLimit, Bytes aMaxHeaders);

  // Counts bytes that were received; if false, they don't fit and aren't counted.
  bool Receive(Share& aShare, Bytes aCount, std::int64_t aLines);
  // The request was received and is about to be answered; aLeft bytes and lines of a next one were
  // received with it. If false, there is no room for answering it.
  bool StartAnswer(Share& aShare, Bytes aLeft, std::int64_t aLeftLines);
  void EndAnswer(Share& aShare);
  void Release(Share& aShare);

  Bytes Held() const { return mHeld; }
  // Whether the memory is nearly used up.
  bool IsScarce() const;

private:
  Bytes CostOf(Bytes aReceived, std::int64_t aLines) const;

  Bytes mLimit;
  Bytes mMaxHeaders;
  Bytes mHeld;
};

// Returns the number of line ends in the last aCount bytes of the buffer.
std::int64_t
CountLines(evbuffer* aBuffer, std::size_t aCount);

} // namespace lovagerock::http
