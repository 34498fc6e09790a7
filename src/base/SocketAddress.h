#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>

namespace lovagerock {

// An IPv4 address and a TCP port. Processes talk by IP number only.
class SocketAddress
{
public:
  SocketAddress() = default;
  SocketAddress(std::string aIp, std::uint16_t aPort);

  // Reads "10.0.0.1:8080"; nothing if the text isn't an IPv4 address and a port from 0 to 65535.
  static std::optional<SocketAddress> Parse(std::string_view aText);

  const std::string& Ip() const { return mIp; }
  std::uint16_t Port() const { return mPort; }
  std::string ToString() const;
  // The form that the socket calls take.
  sockaddr_in ToNative() const;

  // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
  auto operator<=>(const SocketAddress&) const = default; // NOLINT(modernize-use-nullptr)

private:
  std::string mIp;
  std::uint16_t mPort = 0;
};

} // namespace lovagerock

template<>
struct std::hash<lovagerock::SocketAddress>
{
  std::size_t operator()(const lovagerock::SocketAddress& aAddress) const noexcept
  {
    return std::hash<std::string>{}(aAddress.ToString());
  }
};
