#ifndef STANDINS_COMMON_RESPONSE_SCRIPT_H_
#define STANDINS_COMMON_RESPONSE_SCRIPT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburnloft::standins {

/** The answer that the stand-in engine gives to a prompt: the same in every
   process, so that the load tool can check an answer byte for byte.

    A prompt may hold `[pieces=N]` to say how long its answer is.

    Thread safety: immutable.
*/
class ResponseScript {
 public:
  /** @param most  the request's max_tokens. */
  ResponseScript(std::string_view prompt, std::size_t max_tokens);

  /** The number of pieces; each counts as one token. */
  [[nodiscard]] auto size() const -> std::size_t { return this->pieces; }

  /** The text of one piece.  @pre index < size(). */
  [[nodiscard]] auto PieceAt(std::size_t index) const -> std::string;

  /** All pieces joined. */
  [[nodiscard]] auto FullText() const -> std::string;

  /** The tokens of a prompt as the stand-in counts them. */
  [[nodiscard]] static auto PromptTokens(std::string_view prompt)
      -> std::size_t;

 private:
  std::uint64_t digest;
  std::size_t pieces;
};

}  // namespace auburnloft::standins

#endif  // STANDINS_COMMON_RESPONSE_SCRIPT_H_
