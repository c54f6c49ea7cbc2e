#include "al_gateway/upstreams/upstream_state.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <utility>

#include "al_core/text/digest.h"

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

/** Paces that differ by less than 15% count as equal (docs/design); a step of
   the believed pace is as wide as that band: a factor of 1.32. */
const double kPaceStep = 2.0 * std::log(1.15);

/** A pace leaves its step beyond this part of it, and counts as equal within
   half of one. Above a half, so that it does not alternate at a boundary: each
   change moves homes of prompts. */
constexpr double kLeaveStep = 0.7;

/** Bounds of the believed pace: 0.43 to 4 times the median. Beyond these, an
   engine is broken rather than slow, and its failures and lateness count. */
constexpr int kMinPaceLevel = -3;
constexpr int kMaxPaceLevel = 5;

/** Exponent of the pace in the weight of a home. Above 1, as a slow engine
   takes longer for a prompt and has less time left until the objective. In the
   bench (8 routers) 0.969 of long prompts are in time with 1.4, 0.959 with 1.
 */
constexpr double kHomeExponent = 1.4;

/** Returns the step of a pace, given the step that it had before. */
auto PaceLevelOf(double log_pace, int before) -> int {
  const double steps = log_pace / kPaceStep;
  const int nearest = static_cast<int>(std::lround(steps));
  if (nearest != 0 && std::abs(steps - before) <= kLeaveStep) {
    return before;
  }
  return std::clamp(nearest, kMinPaceLevel, kMaxPaceLevel);
}

/** Time constant of the mean of what others have open. A report is up to 0.8 s
   old, longer than most prompts wait: only what lasts can be used. */
constexpr double kLoadMeanSeconds = 1.5;

auto Decayed(double value, Instant since, Instant now) -> double {
  return value * std::exp(-ToSeconds(now - since) / kDecaySeconds);
}

}  // namespace

auto UpstreamState::Update(UpstreamRecord record) -> void {
  if (record.started_at_ms != this->newest_record.started_at_ms ||
      record.address != this->newest_record.address) {
    this->pace = PaceMeter();
    this->learned_pace = EnginePace();
    this->belief = PaceBelief();
    this->own_log_pace = 0.0;
    this->pace_level = 0;
    this->reported_at = Instant();
    this->others_load = OthersLoad();
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
  this->process_key = KeyOf(this->newest_record);
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

auto UpstreamState::UpdatePace(std::optional<double> relative, Instant now)
    -> void {
  if (relative) {
    this->own_log_pace = *relative;
    this->belief.source = PaceBelief::Source::kOwn;
    this->belief.learned_at = this->learned_pace.newest_at();
  } else {
    this->own_log_pace =
        Decayed(this->own_log_pace, this->pace_updated_at, now);
  }
  this->pace_updated_at = now;
  const double weight = ReportWeight(this->reported_at, now);
  if (weight > 0.0) {
    this->belief.source = PaceBelief::Source::kReader;
    this->belief.learned_at = this->reported_at;
  } else if (this->belief.source == PaceBelief::Source::kReader) {
    this->belief.learned_at = this->learned_pace.newest_at();
    this->belief.source = this->belief.learned_at == Instant()
                              ? PaceBelief::Source::kNone
                              : PaceBelief::Source::kOwn;
  }
  this->pace_level = PaceLevelOf(
      weight * this->reported_log_pace + (1.0 - weight) * this->own_log_pace,
      this->pace_level);
  this->belief.factor = std::exp(this->pace_level * kPaceStep);
  this->belief.home_cost =
      std::exp(kHomeExponent * this->pace_level * kPaceStep);
}

auto UpstreamState::SetReportedPace(std::uint32_t percent, Instant now)
    -> void {
  constexpr double kPercent = 100.0;
  this->reported_log_pace = std::log(percent / kPercent);
  this->reported_at = now;
}

auto UpstreamState::SetOthersObserved(const EngineLoad& load, Instant now)
    -> void {
  OthersLoad& others = this->others_load;
  const double newest =
      ReportWeight(others.at, now) <= 0.0
          ? 1.0
          : 1.0 - std::exp(-ToSeconds(now - others.at) / kLoadMeanSeconds);
  const auto mix = [newest](double before, double value) {
    return before + newest * (value - before);
  };
  others.observed = load;
  others.smoothed = {mix(others.smoothed.generations, load.generations),
                     mix(others.smoothed.prefill_tokens, load.prefill_tokens),
                     mix(others.smoothed.memory_tokens, load.memory_tokens)};
  others.at = now;
}

auto UpstreamState::KeyOf(const UpstreamRecord& record) -> std::uint32_t {
  return static_cast<std::uint32_t>(
      StableHash(record.id, std::to_string(record.started_at_ms)));
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
