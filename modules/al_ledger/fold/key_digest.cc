#include "al_ledger/fold/key_digest.h"

#include <xxhash.h>

#include <cstring>

namespace auburnloft {

auto ComputeKeyDigest(std::string_view key) -> KeyDigest {
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  return {hash.high64, hash.low64};
}

auto ToBytes(const KeyDigest& digest) -> std::string {
  std::string bytes(sizeof(KeyDigest), '\0');
  std::memcpy(bytes.data(), &digest, sizeof(KeyDigest));
  return bytes;
}

auto KeyDigestFromBytes(std::string_view bytes) -> KeyDigest {
  KeyDigest digest;
  if (bytes.size() == sizeof(KeyDigest)) {
    std::memcpy(&digest, bytes.data(), sizeof(KeyDigest));
  }
  return digest;
}

}  // namespace auburnloft
