#ifndef AL_GATEWAY_UPSTREAMS_UPSTREAM_STATE_H_
#define AL_GATEWAY_UPSTREAMS_UPSTREAM_STATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "al_core/time/instant.h"
#include "al_gateway/model/upstream_record.h"
#include "al_gateway/upstreams/pace_meter.h"
#include "al_gateway/upstreams/send_limiter.h"

namespace auburnloft::gateway {

/** The result of an attempt, for the upstream's health. */
enum class UpstreamResult {
  kSucceeded,    ///< Response that is not a failure.
  kFailed,       ///< Failure, broken response or none.
  kNotExecuted,  ///< The upstream did not execute the request.
  kUnreachable,  ///< No connection could be made.
  kReplaced,     ///< Another upstream uses its address now.
  kCancelled,    ///< This router ended it, as another attempt had answered.
};

/** One upstream: its newest record, and the load, latency and failures that
   this router measured.

    Thread safety: none; used on one thread.
*/
class UpstreamState {
 public:
  explicit UpstreamState(UpstreamRecord record)
      : newest_record(std::move(record)) {}

  UpstreamState(const UpstreamState&) = delete;
  auto operator=(const UpstreamState&) -> UpstreamState& = delete;

  //============================================================================
  // Commands

  /** Sets a newer record. If the upstream was restarted or has a new address,
     its measurements are cleared. */
  auto Update(UpstreamRecord record) -> void;

  /** Marks the upstream as removed; it gets no new requests. */
  auto MarkRemoved() -> void { this->removed = true; }

  /** Marks the upstream as leaving by its own word; it gets no new requests
     until a restart, whatever its record says. */
  auto MarkLeaving() -> void { this->said_leaving = true; }

  /** Sets until when the upstream wants no requests. It gets few at a time
     right after that, so that the routers it told the same do not return
     together. */
  auto SetBackOff(Instant until) -> void { this->back_off_until = until; }

  /** Limits how often requests are sent to it; null ends the limit. */
  auto SetLimiter(std::shared_ptr<SendLimiter> limiter) -> void {
    this->limiter = std::move(limiter);
  }

  /** Sets whether its record may have expired only because of an outage of the
     log service; the upstream may still run. */
  auto SetSuspect(bool is_suspect) -> void { this->suspect = is_suspect; }

  /** Records that a request is sent to it.
      @param prefill_tokens  estimated prompt tokens to process before the first
                             event. */
  auto RecordSent(std::uint64_t prefill_tokens, Instant now) -> void;

  /** Records the first byte of a response.
      @param latency   time since the request was sent.
      @param expected  estimate of `latency` when the upstream was selected. */
  auto RecordFirstByte(std::uint64_t prefill_tokens,
                       Duration latency,
                       Duration expected,
                       Instant now) -> void;

  /** Records that one of its streams needed `per_token` for each token lately.
   */
  auto RecordPace(Duration per_token, Instant now) -> void {
    this->pace.Record(per_token, now);
  }

  /** Records the end of a request.
      @param prefill_tokens  those of RecordSent(); 0 after RecordFirstByte().
   */
  auto RecordEnd(std::uint64_t prefill_tokens,
                 UpstreamResult result,
                 Instant now) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto record() const -> const UpstreamRecord& {
    return this->newest_record;
  }
  /** Returns whether it can get new requests. */
  [[nodiscard]] auto is_usable(Instant now) const -> bool {
    return this->is_serving() && !this->is_replaced &&
           now >= this->blocked_until && now >= this->back_off_until &&
           (!this->is_limited() || this->limiter->is_open(now)) &&
           this->open < this->OpenLimit(now);
  }
  /** Returns whether it is listed, and neither its record nor its own word says
     that it is leaving. */
  [[nodiscard]] auto is_serving() const -> bool {
    return !this->newest_record.leaving && !this->said_leaving &&
           !this->removed;
  }
  /** Returns whether it named a limit of requests a second. */
  [[nodiscard]] auto is_limited() const -> bool {
    return this->limiter != nullptr;
  }
  /** Returns when its back-off and its limit allow a request again. */
  [[nodiscard]] auto ReturnsAt(Instant now) const -> Instant {
    return this->is_limited()
               ? std::max(this->back_off_until, this->limiter->RetryAt(now))
               : this->back_off_until;
  }
  [[nodiscard]] auto is_removed() const -> bool { return this->removed; }
  [[nodiscard]] auto is_suspect() const -> bool { return this->suspect; }

  /** Returns the number of this router's requests that have not ended. */
  [[nodiscard]] auto open_requests() const -> int { return this->open; }
  /** Returns the prompt tokens of requests without a first byte yet. */
  [[nodiscard]] auto pending_prefill() const -> std::uint64_t {
    return this->prefill;
  }

  /** Returns the mean time by which first bytes arrive later than estimated.
     Decays over time. */
  [[nodiscard]] auto ExcessLatency(Instant now) const -> Duration;

  /** Returns the slowest recent time per token of its streams to this router;
     none if there were none. */
  [[nodiscard]] auto SlowestPerToken(Instant now) const
      -> std::optional<Duration> {
    return this->pace.SlowestPerToken(now);
  }

  /** Returns the share of recent requests that failed, 0 to 1; it decays. */
  [[nodiscard]] auto FailureRate(Instant now) const -> double;

 private:
  /** Returns the limit of this router's open requests, which grows after a
     back-off. */
  [[nodiscard]] auto OpenLimit(Instant now) const -> int;

  UpstreamRecord newest_record;
  bool removed = false;
  bool suspect = false;
  bool is_replaced = false;   ///< Until a restart or a new address.
  bool said_leaving = false;  ///< As above.
  Instant back_off_until{};
  std::shared_ptr<SendLimiter> limiter;  ///< Null: no limit.
  int open = 0;
  std::uint64_t prefill = 0;
  PaceMeter pace;
  double excess_seconds = 0.0;
  Instant excess_at{};
  double failure_rate = 0.0;
  Instant failure_at{};
  int failures_in_row = 0;
  Instant blocked_until{};
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_STATE_H_
