#ifndef AL_CORE_TEXT_DIGEST_H_
#define AL_CORE_TEXT_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnloft {

/** A fast 64-bit hash (XXH3) with the same result on every machine. Not
   cryptographic. */
[[nodiscard]] auto StableHash(std::string_view text) -> std::uint64_t;

/** The hash of a pair of texts, for example of an item and a node in rendezvous
   hashing. */
[[nodiscard]] auto StableHash(std::string_view first, std::string_view second)
    -> std::uint64_t;

/** The SHA-256 digest of `text` in lower-case hexadecimal. */
[[nodiscard]] auto Sha256Hex(std::string_view text) -> std::string;

/** `byte_count` cryptographically secure random bytes in lower-case
   hexadecimal. Throws std::runtime_error if the random generator fails. */
[[nodiscard]] auto SecureRandomHex(int byte_count) -> std::string;

}  // namespace auburnloft

#endif  // AL_CORE_TEXT_DIGEST_H_
