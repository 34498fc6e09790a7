#include "base/SocketAddress.h"

#include <arpa/inet.h>
#include <charconv>
#include <utility>

namespace lovagerock {

SocketAddress::SocketAddress(std::string aIp, std::uint16_t aPort)
  : mIp(std::move(aIp))
  , mPort(aPort)
{
}

std::optional<SocketAddress>
SocketAddress::Parse(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string ip(aText.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  const auto digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto* last = digits.data() + digits.size();
  const auto result = std::from_chars(digits.data(), last, port);
  if (result.ec != std::errc() || result.ptr != last) {
    return std::nullopt;
  }
  return SocketAddress(ip, port);
}

std::string
SocketAddress::ToString() const
{
  return mIp + ":" + std::to_string(mPort);
}

sockaddr_in
SocketAddress::ToNative() const
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(mPort);
  inet_pton(AF_INET, mIp.c_str(), &address.sin_addr);
  return address;
}

} // namespace lovagerock
