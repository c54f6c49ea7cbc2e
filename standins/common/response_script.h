#ifndef STANDINS_COMMON_RESPONSE_SCRIPT_H_
#define STANDINS_COMMON_RESPONSE_SCRIPT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburnloft::standins {

/** The response of the stand-in engine to a prompt. It depends on the prompt
    and on max_tokens only, so the load tool can compute the expected response
    and compare it byte for byte.

    A prompt may contain `[pieces=N]` to set the length of its response.

    Thread safety: immutable.
*/
class ResponseScript {
 public:
  /** @param max_tokens  the request's limit on the number of pieces.
      @pre max_tokens > 0 */
  ResponseScript(std::string_view prompt, std::size_t max_tokens);

  /** Number of pieces; each counts as one token. */
  [[nodiscard]] auto size() const -> std::size_t { return this->pieces; }

  /** The text of one piece. @pre index < size() */
  [[nodiscard]] auto PieceAt(std::size_t index) const -> std::string;

  /** All pieces, concatenated. */
  [[nodiscard]] auto FullText() const -> std::string;

  /** Number of tokens of a prompt by the stand-in's rule: one per 4 bytes,
      rounded up. */
  [[nodiscard]] static auto PromptTokens(std::string_view prompt)
      -> std::size_t;

 private:
  std::uint64_t digest;
  std::size_t pieces;
};

}  // namespace auburnloft::standins

#endif  // STANDINS_COMMON_RESPONSE_SCRIPT_H_
