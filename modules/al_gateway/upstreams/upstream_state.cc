#include "al_gateway/upstreams/upstream_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnloft::gateway {

namespace {

/** Weight of the newest observation in a running mean. */
constexpr double kNewestWeight = 0.2;

/** In which time an observation loses all but 1/e of its weight, so that an
   upstream that was slow or failing is tried again. */
constexpr double kFadeSeconds = 5.0;

/** First pause after an upstream could not be reached, doubled with each
   further failure up to the most: a crashed upstream's entry goes after a few
   seconds. */
constexpr Duration kFirstBlock = std::chrono::milliseconds(300);
constexpr Duration kMostBlock = std::chrono::seconds(3);

/** Failed answers in a row after which an upstream pauses as well. */
constexpr int kFailuresUntilBlock = 4;

auto Faded(double value, Instant since, Instant now) -> double {
  return value * std::exp(-ToSeconds(now - since) / kFadeSeconds);
}

}  // namespace

auto UpstreamState::Update(UpstreamRecord record) -> void {
  if (record.started_at_ms != this->said.started_at_ms ||
      record.address != this->said.address) {
    this->excess_seconds = 0.0;
    this->failure_share = 0.0;
    this->failures_in_row = 0;
    this->blocked_until = Instant();
    this->is_replaced = false;
  }
  this->said = std::move(record);
  this->removed = false;
  this->suspect = false;
}

auto UpstreamState::RecordSent(std::uint64_t prefill_tokens) -> void {
  ++this->open;
  this->prefill += prefill_tokens;
}

auto UpstreamState::RecordFirstByte(std::uint64_t prefill_tokens,
                                    Duration latency,
                                    Duration expected,
                                    Instant now) -> void {
  this->prefill -= std::min(this->prefill, prefill_tokens);
  const double excess = std::max(0.0, ToSeconds(latency - expected));
  const double before = Faded(this->excess_seconds, this->excess_at, now);
  this->excess_seconds = before + kNewestWeight * (excess - before);
  this->excess_at = now;
}

auto UpstreamState::RecordEnd(std::uint64_t prefill_tokens,
                              UpstreamResult result,
                              Instant now) -> void {
  this->open = std::max(0, this->open - 1);
  this->prefill -= std::min(this->prefill, prefill_tokens);
  if (result == UpstreamResult::kNotExecuted) {
    return;
  }
  if (result == UpstreamResult::kReplaced) {
    // Its process is gone; the entry lapses after some heartbeats.
    this->is_replaced = true;
    return;
  }
  const bool failed = result != UpstreamResult::kSucceeded;
  const double before = this->FailureRate(now);
  this->failure_share =
      before + kNewestWeight * ((failed ? 1.0 : 0.0) - before);
  this->failure_at = now;
  this->failures_in_row = failed ? this->failures_in_row + 1 : 0;
  const int counted = result == UpstreamResult::kUnreachable
                          ? this->failures_in_row
                          : this->failures_in_row - kFailuresUntilBlock;
  if (failed && counted > 0) {
    constexpr int kMostDoublings = 4;
    const Duration pause =
        kFirstBlock * (1 << std::min(counted - 1, kMostDoublings));
    this->blocked_until = now + std::min(pause, kMostBlock);
  }
}

auto UpstreamState::ExcessLatency(Instant now) const -> Duration {
  constexpr double kMicrosPerSecond = 1e6;
  return Duration(static_cast<std::int64_t>(
      Faded(this->excess_seconds, this->excess_at, now) * kMicrosPerSecond));
}

auto UpstreamState::FailureRate(Instant now) const -> double {
  return Faded(this->failure_share, this->failure_at, now);
}

}  // namespace auburnloft::gateway
