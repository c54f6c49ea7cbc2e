#include "al_core/text/base64.h"

#include <openssl/evp.h>

namespace auburnloft {

namespace {

constexpr std::size_t kBytesPerGroup = 3;
constexpr std::size_t kCharactersPerGroup = 4;

auto Bytes(std::string_view text) -> const unsigned char* {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

auto ToBase64(std::string_view bytes) -> std::string {
  const std::size_t groups =
      (bytes.size() + kBytesPerGroup - 1) / kBytesPerGroup;
  std::string text(groups * kCharactersPerGroup + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      Bytes(bytes), static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

auto FromBase64(std::string_view text) -> std::optional<std::string> {
  if (text.size() % kCharactersPerGroup != 0) {
    return std::nullopt;
  }
  std::string bytes(text.size() / kCharactersPerGroup * kBytesPerGroup, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      Bytes(text), static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  const std::size_t padding =
      text.ends_with("==") ? 2 : static_cast<std::size_t>(text.ends_with('='));
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

}  // namespace auburnloft
