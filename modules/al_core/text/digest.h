#ifndef AL_CORE_TEXT_DIGEST_H_
#define AL_CORE_TEXT_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnloft {

/** A fast 64-bit hash (XXH3) for placement; the same on every machine. Not for
 * secrets. */
[[nodiscard]] auto StableHash(std::string_view text) -> std::uint64_t;

/** StableHash() of two texts, as in rendezvous hashing of an item over nodes.
 */
[[nodiscard]] auto StableHash(std::string_view first, std::string_view second)
    -> std::uint64_t;

/** The SHA-256 digest of `text` in lower-case hexadecimal. */
[[nodiscard]] auto Sha256Hex(std::string_view text) -> std::string;

/** `byte_count` bytes from the operating system's secure source, in
 * hexadecimal. */
[[nodiscard]] auto SecureRandomHex(int byte_count) -> std::string;

}  // namespace auburnloft

#endif  // AL_CORE_TEXT_DIGEST_H_
