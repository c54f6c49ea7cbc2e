#include "al_gateway/quarantine/crash_suspects.h"

#include <algorithm>
#include <array>

#include "al_core/text/digest.h"
#include "al_core/text/printable.h"

namespace auburnloft::gateway {

namespace {

/** Bounds of a prompt that is tracked. */
constexpr std::size_t kMaxParts = 8;
constexpr std::size_t kMaxPartBytes = 64;

constexpr std::string_view kWholeRequestPrefix = "request:";

/** Hexadecimal digits of the SHA-256 digest that are kept: 128 bits, which no
   two requests share by chance or by design. */
constexpr std::size_t kDigestLength = 32;

}  // namespace

auto SharedPartsOf(std::span<const PromptPart> parts)
    -> std::vector<std::string> {
  const std::size_t shared = parts.empty() ? 0 : parts.size() - 1;
  std::vector<std::string> tracked;
  for (const PromptPart& part : parts.first(std::min(shared, kMaxParts))) {
    if (part.id.size() <= kMaxPartBytes && IsPrintable(part.id) &&
        !IsWholeRequest(part.id)) {
      tracked.push_back(part.id);
    }
  }
  return tracked;
}

auto WholeRequestOf(const RequestIdentity& identity) -> std::string {
  // Each field is preceded by its length, so that no two identities are
  // concatenated to the same text.
  std::string text;
  for (const std::string_view field :
       std::array{identity.team, identity.host, identity.method,
                  identity.target, identity.body}) {
    text += std::to_string(field.size());
    text += ':';
    text += field;
  }
  return std::string(kWholeRequestPrefix) +
         Sha256Hex(text).substr(0, kDigestLength);
}

auto IsWholeRequest(std::string_view suspect) -> bool {
  return suspect.starts_with(kWholeRequestPrefix);
}

}  // namespace auburnloft::gateway
