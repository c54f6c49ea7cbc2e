#ifndef AL_GATEWAY_UPSTREAMS_UPSTREAM_STATE_H_
#define AL_GATEWAY_UPSTREAMS_UPSTREAM_STATE_H_

#include <cstdint>

#include "al_core/time/instant.h"
#include "al_gateway/model/upstream_record.h"

namespace auburnloft::gateway {

/** How a request ended at an upstream, as far as its health is concerned. */
enum class UpstreamResult {
  kSucceeded,    ///< With an answer that is not a failure.
  kFailed,       ///< With a failure, a broken answer, or none.
  kNotExecuted,  ///< It did not run the request.
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
  auto MarkRemoved() -> void { this->removed = true; }

  /** Its entry lapsed while the log was away; it may still be alive. */
  auto SetSuspect(bool is_suspect) -> void { this->suspect = is_suspect; }

  /** A request goes to it. @param prefill_tokens  read before its first event.
   */
  auto RecordSent(std::uint64_t prefill_tokens) -> void;

  /** Its first byte came after `latency`, of which `expected` was foreseen. */
  auto RecordFirstByte(std::uint64_t prefill_tokens,
                       Duration latency,
                       Duration expected,
                       Instant now) -> void;

  /** The request is over. @param prefill_tokens  0 after RecordFirstByte(). */
  auto RecordEnd(std::uint64_t prefill_tokens,
                 UpstreamResult result,
                 Instant now) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto record() const -> const UpstreamRecord& {
    return this->said;
  }
  [[nodiscard]] auto is_usable(Instant now) const -> bool {
    return !this->said.leaving && !this->removed && !this->is_replaced &&
           now >= this->blocked_until;
  }
  [[nodiscard]] auto is_removed() const -> bool { return this->removed; }
  [[nodiscard]] auto is_suspect() const -> bool { return this->suspect; }

  /** This router's requests that are under way there. */
  [[nodiscard]] auto open_requests() const -> int { return this->open; }
  [[nodiscard]] auto pending_prefill() const -> std::uint64_t {
    return this->prefill;
  }

  /** How much later than foreseen its answers begin; fades with time. */
  [[nodiscard]] auto ExcessLatency(Instant now) const -> Duration;

  /** The part of recent requests that failed; fades with time. */
  [[nodiscard]] auto FailureRate(Instant now) const -> double;

 private:
  UpstreamRecord said;
  bool removed = false;
  bool suspect = false;
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
