#ifndef AL_LEDGER_FOLD_KEY_DIGEST_H_
#define AL_LEDGER_FOLD_KEY_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnloft {

/** A 128-bit digest of a request key. The ledger stores it for each billed
    request in place of the key. */
struct KeyDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator==(const KeyDigest&) const -> bool = default;
};

/** Computes the digest of a request key. */
[[nodiscard]] auto ComputeKeyDigest(std::string_view key) -> KeyDigest;

/** The 16 bytes of `digest`, as stored in snapshots. */
[[nodiscard]] auto ToBytes(const KeyDigest& digest) -> std::string;

/** The digest with the given bytes, or the zero digest if `bytes` does not have
    16 bytes. */
[[nodiscard]] auto KeyDigestFromBytes(std::string_view bytes) -> KeyDigest;

/** Hash functor for unordered containers. A digest is already uniformly
    distributed, so its low half serves as the hash. */
struct KeyDigestHash {
  auto operator()(const KeyDigest& digest) const noexcept -> std::size_t {
    return digest.low;
  }
};

}  // namespace auburnloft

#endif  // AL_LEDGER_FOLD_KEY_DIGEST_H_
