#include "kv/Base64.h"

#include <openssl/evp.h>

namespace lovagerock::kv {

std::string
EncodeBase64(std::string_view aBytes)
{
  // EVP_EncodeBlock also writes a terminating zero.
  std::string text((aBytes.size() + 2) / 3 * 4 + 1, '\0');
  const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                reinterpret_cast<const unsigned char*>(aBytes.data()),
                                static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(n));
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.empty()) {
    return std::string();
  }
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / 4 * 3, '\0');
  const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                reinterpret_cast<const unsigned char*>(aText.data()),
                                static_cast<int>(aText.size()));
  if (n < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock counts padding as zero bytes.
  const std::size_t padding = aText.ends_with("==") ? 2 : aText.ends_with('=') ? 1 : 0;
  bytes.resize(static_cast<std::size_t>(n) - padding);
  return bytes;
}

} // namespace lovagerock::kv
