#ifndef AL_LEDGER_FOLD_KEY_DIGEST_H_
#define AL_LEDGER_FOLD_KEY_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnloft {

/** A 128-bit digest under which a billed request is remembered in place of its
 * key. */
struct KeyDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator==(const KeyDigest&) const -> bool = default;
};

/** The digest of a request key. */
[[nodiscard]] auto ComputeKeyDigest(std::string_view key) -> KeyDigest;

/** The 16 bytes of `digest` as snapshots carry them. */
[[nodiscard]] auto ToBytes(const KeyDigest& digest) -> std::string;

/** The digest whose bytes are `bytes`; the zero digest where the length is
 * not 16. */
[[nodiscard]] auto KeyDigestFromBytes(std::string_view bytes) -> KeyDigest;

/** Hash functor for unordered containers: a digest is uniform already. */
struct KeyDigestHash {
  auto operator()(const KeyDigest& digest) const noexcept -> std::size_t {
    return digest.low;
  }
};

}  // namespace auburnloft

#endif  // AL_LEDGER_FOLD_KEY_DIGEST_H_
