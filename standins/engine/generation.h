#ifndef STANDINS_ENGINE_GENERATION_H_
#define STANDINS_ENGINE_GENERATION_H_

#include <cstdint>
#include <memory>
#include <string>

#include "al_core/time/instant.h"
#include "al_edge/http/http_exchange.h"
#include "common/response_script.h"

namespace auburnloft::standins {

/** One streamed response of the stand-in engine. Generation continues after the
    reader disconnects, so that another reader can resume the stream;
    EngineServer drops it after its resume window.

    Thread safety: none; used on the event loop's thread.
*/
class Generation {
 public:
  Generation(std::string name,
             ResponseScript script,
             std::size_t prompt_tokens,
             int priority);

  //============================================================================
  // Commands

  /** Starts the generation. The first piece is due at `first_piece_at`. */
  auto Start(Instant first_piece_at, Duration piece_interval) -> void;

  /** Replaces the reader, which receives the pieces after number `after`. */
  auto SetReader(std::shared_ptr<HttpExchange> exchange, std::uint64_t after)
      -> void;

  /** Generates the pieces that are due and sends them to the reader. */
  auto Advance(Instant now) -> void;

  /** Fault: aborts the reader's connection, once, after piece number `pieces`.
      0 turns the fault off. */
  auto CutAfter(std::uint64_t pieces) -> void { this->cut_after = pieces; }

  auto Cancel() -> void { this->cancelled = true; }

  //============================================================================
  // Queries

  [[nodiscard]] auto name() const -> const std::string& {
    return this->stream_name;
  }
  [[nodiscard]] auto priority() const -> int { return this->priority_level; }
  [[nodiscard]] auto IsFinished() const -> bool;

  /** Time at which the reader was found disconnected, or the epoch while there
      is a reader. */
  [[nodiscard]] auto reader_disconnected_at() const -> Instant {
    return this->disconnected_at;
  }
  [[nodiscard]] auto HasReader() const -> bool {
    return this->reader != nullptr && this->reader->is_open();
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
