#include "base/Hash.h"

#include <openssl/evp.h>

#include <array>
#include <xxhash.h>

namespace lovagerock {

std::uint64_t
HashText(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

std::string
Sha256Hex(std::string_view aText)
{
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int n = 0;
  EVP_Digest(aText.data(), aText.size(), digest.data(), &n, EVP_sha256(), nullptr);
  std::string text;
  for (unsigned int i = 0; i < n; ++i) {
    text += kHexDigits[digest[i] >> 4U];
    text += kHexDigits[digest[i] & 0xfU];
  }
  return text;
}

} // namespace lovagerock
