#include "al_gateway/upstreams/upstream_state.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace auburnloft::gateway {

namespace {

/** Weight of the newest observation in a running mean. */
constexpr double kNewestWeight = 0.2;

/** Time constant of the exponential decay of observations, so that an upstream
   that was slow or failing is tried again. */
constexpr double kDecaySeconds = 5.0;

/** Exponential back-off of new requests to an unreachable upstream. The maximum
   is low, because the record of a crashed upstream expires after a few
   seconds. */
constexpr Duration kMinBackOff = std::chrono::milliseconds(300);
constexpr Duration kMaxBackOff = std::chrono::seconds(3);

/** After more failed responses in a row than this, an upstream is treated as an
   outlier and gets the same back-off. */
constexpr int kFailuresBeforeBackOff = 4;

/** After a back-off, the limit of open requests grows by one in each step, and
   ends after the last. */
constexpr Duration kReturnStep = std::chrono::milliseconds(100);
constexpr int kReturnSteps = 20;

auto Decayed(double value, Instant since, Instant now) -> double {
  return value * std::exp(-ToSeconds(now - since) / kDecaySeconds);
}

}  // namespace

auto UpstreamState::Update(UpstreamRecord record) -> void {
  if (record.started_at_ms != this->newest_record.started_at_ms ||
      record.address != this->newest_record.address) {
    this->pace = PaceMeter();
    this->excess_seconds = 0.0;
    this->failure_rate = 0.0;
    this->failures_in_row = 0;
    this->blocked_until = Instant();
    this->is_replaced = false;
    this->said_leaving = false;
    this->back_off_until = Instant();
    this->limiter = nullptr;
  }
  this->newest_record = std::move(record);
  this->removed = false;
  this->suspect = false;
}

auto UpstreamState::RecordSent(std::uint64_t prefill_tokens, Instant now)
    -> void {
  if (this->is_limited()) {
    this->limiter->RecordSent(now);
  }
  ++this->open;
  this->prefill += prefill_tokens;
}

auto UpstreamState::RecordFirstByte(std::uint64_t prefill_tokens,
                                    Duration latency,
                                    Duration expected,
                                    Instant now) -> void {
  this->prefill -= std::min(this->prefill, prefill_tokens);
  const double excess = std::max(0.0, ToSeconds(latency - expected));
  const double before = Decayed(this->excess_seconds, this->excess_at, now);
  this->excess_seconds = before + kNewestWeight * (excess - before);
  this->excess_at = now;
}

auto UpstreamState::RecordEnd(std::uint64_t prefill_tokens,
                              UpstreamResult result,
                              Instant now) -> void {
  this->open = std::max(0, this->open - 1);
  this->prefill -= std::min(this->prefill, prefill_tokens);
  if (result == UpstreamResult::kNotExecuted ||
      result == UpstreamResult::kCancelled) {
    return;
  }
  if (result == UpstreamResult::kReplaced) {
    // Its process has exited; the record expires after several heartbeats.
    this->is_replaced = true;
    return;
  }
  const bool failed = result != UpstreamResult::kSucceeded;
  const double before = this->FailureRate(now);
  this->failure_rate = before + kNewestWeight * ((failed ? 1.0 : 0.0) - before);
  this->failure_at = now;
  this->failures_in_row = failed ? this->failures_in_row + 1 : 0;
  const int back_off_step =
      result == UpstreamResult::kUnreachable
          ? this->failures_in_row
          : this->failures_in_row - kFailuresBeforeBackOff;
  if (failed && back_off_step > 0) {
    constexpr int kMaxDoublings = 4;
    const Duration back_off =
        kMinBackOff * (1 << std::min(back_off_step - 1, kMaxDoublings));
    this->blocked_until = now + std::min(back_off, kMaxBackOff);
  }
}

auto UpstreamState::OpenLimit(Instant now) const -> int {
  const auto steps = (now - this->back_off_until) / kReturnStep;
  return steps >= kReturnSteps ? std::numeric_limits<int>::max()
                               : 1 + static_cast<int>(steps);
}

auto UpstreamState::ExcessLatency(Instant now) const -> Duration {
  constexpr double kMicrosPerSecond = 1e6;
  return Duration(static_cast<std::int64_t>(
      Decayed(this->excess_seconds, this->excess_at, now) * kMicrosPerSecond));
}

auto UpstreamState::FailureRate(Instant now) const -> double {
  return Decayed(this->failure_rate, this->failure_at, now);
}

}  // namespace auburnloft::gateway
