#include "hostile/FloodTexts.h"

#include <cstdint>
#include <string_view>

namespace lovagerock::integration {

namespace {

std::string
Repeat(const std::string& aText, std::size_t aBytes)
{
  std::string all;
  while (all.size() < aBytes) {
    all += aText;
  }
  return all;
}

std::string
Get(const std::string& aTarget)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
}

std::string
PostHead(const std::string& aFields)
{
  return "POST /batch/00000000000000bb HTTP/1.1\r\nHost: 127.0.0.1\r\n" + aFields + "\r\n";
}

std::string
Chunk(std::size_t aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string size;
  for (auto rest = aBytes; rest > 0; rest /= 16) {
    size.insert(size.begin(), kDigits[rest % 16]);
  }
  return size + "\r\n" + std::string(aBytes, 'x') + "\r\n";
}

std::string
Frame(std::uint8_t aType, std::uint8_t aFlags, std::uint32_t aStream, const std::string& aPayload)
{
  const auto byte = [](std::size_t aValue, int aShift) {
    return static_cast<char>((aValue >> aShift) & 0xffU);
  };
  return std::string{
    byte(aPayload.size(), 16), byte(aPayload.size(), 8),  byte(aPayload.size(), 0),
    static_cast<char>(aType),  static_cast<char>(aFlags), byte(aStream, 24),
    byte(aStream, 16),         byte(aStream, 8),          byte(aStream, 0)
  } + aPayload;
}

} // namespace

std::vector<FloodPayload>
Pipelined(const std::vector<std::string>& aTargets)
{
  std::vector<FloodPayload> texts;
  texts.reserve(aTargets.size());
  for (const auto& it : aTargets) {
    texts.push_back({ "", Repeat(Get(it), 64 * 1024) });
  }
  return texts;
}

std::vector<FloodPayload>
ChunkedBodies()
{
  const auto head = PostHead("Transfer-Encoding: chunked\r\n");
  return { { head, Chunk(16 * 1024) },
           { head, Repeat(Chunk(1), 64 * 1024) },
           { head, Repeat("0", 64 * 1024) },
           { head, Repeat("\r\n", 64 * 1024) },
           { head + "0\r\n", Repeat(":\r\n", 64 * 1024) },
           { head + Repeat(Chunk(1024), 8000 * 1024), "" } };
}

std::vector<FloodPayload>
AnnouncedBodies()
{
  constexpr std::size_t kLargest = 8 * 1024 * 1024;
  const std::string piece(64 * 1024, 'x');
  return { { PostHead("Content-Length: 1000000000\r\n"), piece },
           { PostHead("Content-Length: 9000000000000000000\r\n"), piece },
           { PostHead("Content-Length: " + std::to_string(kLargest) + "\r\n") +
               std::string(kLargest - 1, 'x'),
             "" } };
}

std::vector<FloodPayload>
IdleAndSlow()
{
  return { { "", "" },
           { "GET /ba", "" },
           { "GET /batch/ HTTP/1.1\r\nHost: a\r\nX: ", "" },
           { "GET /", Repeat("a", 1024) },
           { "GET /batch/ HTTP/1.1\r\n", Repeat(":\r\n", 16 * 1024) } };
}

std::vector<FloodPayload>
PeerFloods()
{
  constexpr std::uint8_t kData = 0;
  constexpr std::uint8_t kHeaders = 1;
  constexpr std::uint8_t kSettings = 4;
  constexpr std::uint8_t kPing = 6;
  constexpr std::uint8_t kEndStream = 1;
  constexpr std::uint8_t kEndHeaders = 4;
  const auto hello = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + Frame(kSettings, 0, 0, "");
  // ":method POST", ":scheme http", ":authority peer", ":path /job_state".
  const std::string headers = "\x83\x86\x41\x04peer\x44\x0a/job_state";
  std::string bodies;
  std::string calls;
  for (std::uint32_t stream = 1; stream < 120; stream += 2) {
    bodies += Frame(kHeaders, kEndHeaders, stream, headers);
    for (int i = 0; i < 32; ++i) {
      bodies += Frame(kData, 0, stream, std::string(16 * 1024, 'x'));
    }
  }
  for (std::uint32_t stream = 1; stream < 200000; stream += 2) {
    calls += Frame(kHeaders, kEndHeaders, stream, headers);
    calls += Frame(kData, kEndStream, stream, "\xa0");
  }
  return { { "", Repeat("garbage\r\n", 64 * 1024) },
           { hello, Repeat(Frame(kPing, 0, 0, "12345678"), 64 * 1024) },
           { hello + bodies, "" },
           { hello + calls, "" },
           { "", "" } };
}

} // namespace lovagerock::integration
