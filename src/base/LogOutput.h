#pragma once

#include <cstdint>
#include <streambuf>
#include <string>
#include <string_view>

namespace lovagerock {

// A stream buffer that writes whole lines to a file descriptor and never waits for its reader: a
// line that doesn't fit now is dropped and counted, and the count is written when there is room
// again.
class LogOutput : public std::streambuf
{
public:
  explicit LogOutput(int aFile)
    : mFile(aFile)
  {
  }

  // Lines dropped since the start.
  std::uint64_t Dropped() const { return mDropped; }

protected:
  int_type overflow(int_type aByte) override;
  std::streamsize xsputn(const char* aBytes, std::streamsize aCount) override;

private:
  void Append(std::string_view aBytes);
  void WriteLine();
  bool HasRoom() const;
  void WriteAll(std::string_view aText) const;

  int mFile;
  std::string mLine;
  std::uint64_t mDropped = 0;
  // Those that no line has told of yet.
  std::uint64_t mUntold = 0;
};

} // namespace lovagerock
