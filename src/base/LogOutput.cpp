#include "base/LogOutput.h"

#include <climits>

#include <cerrno>
#include <poll.h>
#include <string_view>
#include <unistd.h>

namespace lovagerock {

namespace {

// A pipe that can be written to takes at least this many bytes without waiting.
constexpr std::size_t kMaxLine = PIPE_BUF;

} // namespace

LogOutput::int_type
LogOutput::overflow(int_type aByte)
{
  if (!traits_type::eq_int_type(aByte, traits_type::eof())) {
    const char byte = traits_type::to_char_type(aByte);
    Append({ &byte, 1 });
  }
  return traits_type::not_eof(aByte);
}

std::streamsize
LogOutput::xsputn(const char* aBytes, std::streamsize aCount)
{
  Append({ aBytes, static_cast<std::size_t>(aCount) });
  return aCount;
}

void
LogOutput::Append(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const auto end = aBytes.find('\n');
    mLine += aBytes.substr(0, end == std::string_view::npos ? end : end + 1);
    if (end == std::string_view::npos) {
      return;
    }
    WriteLine();
    aBytes.remove_prefix(end + 1);
  }
}

bool
LogOutput::HasRoom() const
{
  pollfd poll{ mFile, POLLOUT, 0 };
  return ::poll(&poll, 1, 0) == 1 && (poll.revents & POLLOUT) != 0;
}

void
LogOutput::WriteAll(std::string_view aText) const
{
  while (!aText.empty()) {
    const auto n = ::write(mFile, aText.data(), aText.size());
    if (n < 0 && errno != EINTR) {
      // There is nowhere to report it to.
      return;
    }
    aText.remove_prefix(n < 0 ? 0 : static_cast<std::size_t>(n));
  }
}

void
LogOutput::WriteLine()
{
  if (mLine.size() > kMaxLine) {
    mLine.resize(kMaxLine - 1);
    mLine += '\n';
  }
  if (!HasRoom()) {
    ++mDropped;
    ++mUntold;
  } else if (mUntold > 0) {
    WriteAll("event=log_lines_dropped lines=" + std::to_string(mUntold) + "\n");
    mUntold = 0;
    WriteLine();
    return;
  } else {
    WriteAll(mLine);
  }
  mLine.clear();
}

} // namespace lovagerock
