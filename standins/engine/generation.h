#ifndef STANDINS_ENGINE_GENERATION_H_
#define STANDINS_ENGINE_GENERATION_H_

#include <cstdint>
#include <memory>
#include <string>

#include "al_core/time/instant.h"
#include "al_edge/http/http_exchange.h"
#include "common/response_script.h"

namespace auburnloft::standins {

/** One answer that the stand-in engine generates. It goes on for a while when
   its reader leaves, so that the stream can be taken up again.

    Thread safety: none; used on the loop's thread.
*/
class Generation {
 public:
  Generation(std::string name,
             ResponseScript script,
             std::size_t prompt_tokens,
             int priority);

  //============================================================================
  // Commands

  /** Starts to generate: the first piece comes at `first_piece_at`. */
  auto Start(Instant first_piece_at, Duration piece_interval) -> void;

  /** Sends pieces after `sequence` to a new reader. */
  auto SetReader(std::shared_ptr<HttpExchange> exchange, std::uint64_t after)
      -> void;

  /** Sends the pieces that are due. */
  auto Advance(Instant now) -> void;

  /** Breaks the reader's connection once it has got `pieces`. */
  auto CutAfter(std::uint64_t pieces) -> void { this->cut_after = pieces; }

  auto Cancel() -> void { this->cancelled = true; }

  //============================================================================
  // Queries

  [[nodiscard]] auto name() const -> const std::string& {
    return this->stream_name;
  }
  [[nodiscard]] auto priority() const -> int { return this->priority_level; }
  [[nodiscard]] auto IsFinished() const -> bool;

  /** When its reader left; the epoch while it has one. */
  [[nodiscard]] auto reader_disconnected_at() const -> Instant {
    return this->disconnected_at;
  }
  [[nodiscard]] auto HasReader() const -> bool {
    return this->reader != nullptr && this->reader->IsOpen();
  }

 private:
  auto SendUpTo(std::uint64_t count) -> void;

  std::string stream_name;
  ResponseScript script;
  std::size_t prompt_tokens;
  int priority_level;
  bool started = false;
  bool cancelled = false;
  bool ended = false;
  Instant first_piece_at;
  Duration interval{0};
  std::uint64_t generated = 0;
  std::uint64_t sent = 0;
  std::uint64_t cut_after = 0;
  Instant disconnected_at;
  std::shared_ptr<HttpExchange> reader;
};

}  // namespace auburnloft::standins

#endif  // STANDINS_ENGINE_GENERATION_H_
