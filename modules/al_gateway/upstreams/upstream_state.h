#ifndef AL_GATEWAY_UPSTREAMS_UPSTREAM_STATE_H_
#define AL_GATEWAY_UPSTREAMS_UPSTREAM_STATE_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "al_core/time/instant.h"
#include "al_gateway/model/upstream_record.h"
#include "al_gateway/upstreams/engine_load.h"
#include "al_gateway/upstreams/engine_pace.h"
#include "al_gateway/upstreams/pace_belief.h"
#include "al_gateway/upstreams/pace_meter.h"
#include "al_gateway/upstreams/report_age.h"
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
      : newest_record(std::move(record)),
        process_key(KeyOf(this->newest_record)) {}

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

  /** Sets whether its failure domain is evacuated; it gets no new requests. */
  auto SetEvacuated(bool is_evacuated) -> void {
    this->evacuated = is_evacuated;
  }

  auto SetRegion(std::string region) -> void {
    this->region_name = std::move(region);
  }

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

  /** Records the time to the first event of a generation, for the pace.
      @param nominal  UpstreamChoice::nominal; 0: nothing is learned. */
  auto RecordFirstEvent(Duration latency, Duration nominal, Instant now)
      -> void {
    this->learned_pace.RecordFirstEvent(latency, nominal, now);
  }

  /** As RecordPace(), for the pace compared with other engines.
      @pre `per_token` is of a part of a stream that is not short. */
  auto RecordTokens(Duration per_token, Instant now) -> void {
    this->learned_pace.RecordTokens(per_token, this->Generations(now), now);
  }

  /** Sets the pace from own observations; the pace that is believed follows in
     steps. @param relative  logarithm of the ratio to the median of its
     service; none if too little was observed lately. @see RankPaces() */
  auto UpdatePace(std::optional<double> relative, Instant now) -> void;

  /** Records a pace that another router observed. */
  auto RecordSample(const EnginePace::Sample& sample, Instant now) -> void {
    this->learned_pace.RecordSample(sample, this->Generations(now), now);
  }

  /** Returns this router's observations of the pace since the last call. */
  [[nodiscard]] auto TakePaceSample() -> EnginePace::Sample {
    return this->learned_pace.TakeSample();
  }

  /** Sets the pace that a reader told, for the next UpdatePace(). */
  auto SetReportedPace(std::uint32_t percent, Instant now) -> void;

  /** Sets what those other routers have open there that report to the same
     reader. @see EstimateOthers() */
  auto SetOthersObserved(const EngineLoad& load, Instant now) -> void;
  auto SetOthersEstimate(const EngineLoad& load) -> void {
    this->others_load.estimate = load;
  }

  /** Sets this router's preference among nearly equal engines, 0 to 1; the
     lowest comes first. */
  auto SetTieBreak(double value) -> void { this->tie_break_value = value; }

  /** Counts the memory of a generation that begins, ends or is not sent. */
  auto ReserveMemory(std::uint64_t tokens) -> void { this->memory += tokens; }
  auto ReleaseMemory(std::uint64_t tokens) -> void {
    this->memory -= std::min(this->memory, tokens);
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
    return this->is_serving() && !this->is_replaced && !this->evacuated &&
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
  /** Returns the region of its failure domain; empty if it is unknown. */
  [[nodiscard]] auto region() const -> const std::string& {
    return this->region_name;
  }
  [[nodiscard]] auto is_evacuated() const -> bool { return this->evacuated; }

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

  /** Returns the observations of its pace. */
  [[nodiscard]] auto engine_pace() const -> const EnginePace& {
    return this->learned_pace;
  }

  /** Returns the pace that is believed, as of the last UpdatePace(). */
  [[nodiscard]] auto pace_belief() const -> const PaceBelief& {
    return this->belief;
  }

  /** Returns the open generations at the engine, as far as known. */
  [[nodiscard]] auto Generations(Instant now) const -> double {
    return this->open + ReportWeight(this->others_load.at, now) *
                            this->others_load.estimate.generations;
  }

  /** Returns what this router has open there; nothing if none of it is a
     generation. */
  [[nodiscard]] auto own_load() const -> EngineLoad {
    if (this->memory == 0) {
      return {};
    }
    return {static_cast<double>(this->open), static_cast<double>(this->prefill),
            static_cast<double>(this->memory)};
  }
  [[nodiscard]] auto others() const -> const OthersLoad& {
    return this->others_load;
  }

  /** Identifies its process in messages between routers. Among 600 upstreams,
     two have the same key in 4 of 100,000 cases; their loads are then added. */
  [[nodiscard]] auto key() const -> std::uint32_t { return this->process_key; }

  [[nodiscard]] auto tie_break() const -> double {
    return this->tie_break_value;
  }

  /** Returns the share of recent requests that failed, 0 to 1; it decays. */
  [[nodiscard]] auto FailureRate(Instant now) const -> double;

 private:
  /** Returns the limit of this router's open requests, which grows after a
     back-off. */
  [[nodiscard]] auto OpenLimit(Instant now) const -> int;
  [[nodiscard]] static auto KeyOf(const UpstreamRecord& record)
      -> std::uint32_t;

  UpstreamRecord newest_record;
  std::uint32_t process_key;
  bool removed = false;
  bool suspect = false;
  bool evacuated = false;
  std::string region_name;
  bool is_replaced = false;   ///< Until a restart or a new address.
  bool said_leaving = false;  ///< As above.
  Instant back_off_until{};
  std::shared_ptr<SendLimiter> limiter;  ///< Null: no limit.
  int open = 0;
  std::uint64_t prefill = 0;
  std::uint64_t memory = 0;  ///< Tokens of this router's generations.
  OthersLoad others_load;
  double tie_break_value = 0.0;
  double reported_log_pace = 0.0;
  Instant reported_at{};  ///< The pace; the epoch: never.
  PaceMeter pace;
  EnginePace learned_pace;
  PaceBelief belief;
  double own_log_pace = 0.0;  ///< Of the median, as last observed; decays.
  int pace_level = 0;         ///< Step of the belief's factor; 0: equal.
  Instant pace_updated_at{};
  double excess_seconds = 0.0;
  Instant excess_at{};
  double failure_rate = 0.0;
  Instant failure_at{};
  int failures_in_row = 0;
  Instant blocked_until{};
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_STATE_H_
