#include "al_core/text/digest.h"

#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <span>
#include <stdexcept>
#include <vector>

namespace auburnloft {

namespace {

auto ToHex(std::span<const unsigned char> bytes) -> std::string {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    hex += kDigits[byte >> 4U];
    hex += kDigits[byte & 15U];
  }
  return hex;
}

}  // namespace

auto StableHash(std::string_view text) -> std::uint64_t {
  return XXH3_64bits(text.data(), text.size());
}

auto StableHash(std::string_view first, std::string_view second)
    -> std::uint64_t {
  return XXH3_64bits_withSeed(second.data(), second.size(), StableHash(first));
}

auto Sha256Hex(std::string_view text) -> std::string {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return ToHex(std::span(digest).first(size));
}

auto SecureRandomHex(int byte_count) -> std::string {
  std::vector<unsigned char> bytes(static_cast<std::size_t>(byte_count));
  if (RAND_bytes(bytes.data(), byte_count) != 1) {
    throw std::runtime_error("the cryptographic random generator failed");
  }
  return ToHex(bytes);
}

}  // namespace auburnloft
