#ifndef AL_GATEWAY_UPSTREAMS_UPSTREAM_STATE_H_
#define AL_GATEWAY_UPSTREAMS_UPSTREAM_STATE_H_

#include <cstdint>

#include "al_core/time/instant.h"
#include "al_gateway/model/upstream_record.h"

namespace auburnloft::gateway {

/** How a request ended at an upstream, as far as its health is concerned. */
enum class UpstreamResult {
  kAnswered,     ///< With an answer that is not a failure.
  kFailed,       ///< With a failure, a broken answer, or none.
  kShed,         ///< It did not run the request.
  kUnreachable,  ///< No connection could be made.
  kReplaced,     ///< Another upstream has its address.
};

/** One upstream, with what this router has seen of it.

    Thread safety: none; used on one thread.
*/
class UpstreamState {
 public:
  explicit UpstreamState(UpstreamRecord record) : said(std::move(record)) {}

  UpstreamState(const UpstreamState&) = delete;
  auto operator=(const UpstreamState&) -> UpstreamState& = delete;

  //============================================================================
  // Commands

  /** Takes a newer record over. A new start forgets what was seen before. */
  auto Update(UpstreamRecord record) -> void;

  /** The log no longer lists it; it gets no new work. */
  auto MarkGone() -> void { this->is_gone = true; }

  /** Its entry lapsed while the log was away; it may still be alive. */
  auto MarkDoubtful(bool doubtful) -> void { this->is_doubtful = doubtful; }

  /** A request goes to it. @param prefill_tokens  read before its first event.
   */
  auto RecordSent(std::uint64_t prefill_tokens) -> void;

  /** Its first byte came after `latency`, of which `expected` was foreseen. */
  auto NoteFirstByte(std::uint64_t prefill_tokens,
                     Duration latency,
                     Duration expected,
                     Instant now) -> void;

  /** The request is over. @param prefill_tokens  0 after NoteFirstByte(). */
  auto NoteEnded(std::uint64_t prefill_tokens,
                 UpstreamResult result,
                 Instant now) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto record() const -> const UpstreamRecord& {
    return this->said;
  }
  [[nodiscard]] auto usable(Instant now) const -> bool {
    return !this->said.leaving && !this->is_gone && !this->is_replaced &&
           now >= this->blocked_until;
  }
  [[nodiscard]] auto gone() const -> bool { return this->is_gone; }
  [[nodiscard]] auto doubtful() const -> bool { return this->is_doubtful; }

  /** This router's requests that are under way there. */
  [[nodiscard]] auto open_requests() const -> int { return this->open; }
  [[nodiscard]] auto pending_prefill() const -> std::uint64_t {
    return this->prefill;
  }

  /** How much later than foreseen its answers begin; fades with time. */
  [[nodiscard]] auto ExcessLatency(Instant now) const -> Duration;

  /** The part of recent requests that failed; fades with time. */
  [[nodiscard]] auto FailureShare(Instant now) const -> double;

 private:
  UpstreamRecord said;
  bool is_gone = false;
  bool is_doubtful = false;
  bool is_replaced = false;  ///< Until its entry tells of a new start.
  int open = 0;
  std::uint64_t prefill = 0;
  double excess_seconds = 0.0;
  Instant excess_at{};
  double failure_share = 0.0;
  Instant failure_at{};
  int failures_in_row = 0;
  Instant blocked_until{};
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_STATE_H_
