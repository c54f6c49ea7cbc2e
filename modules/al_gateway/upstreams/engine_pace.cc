#include "al_gateway/upstreams/engine_pace.h"

#include <algorithm>
#include <cmath>

namespace auburnloft::gateway {

namespace {

/** Added to measured and nominal times, and least nominal time that counts:
   2,000 tokens at 50 per millisecond. The fixed part of the time to a first
   event, some 15 ms, then changes the ratio by less than 15%. */
constexpr double kBaseSeconds = 0.04;

/** Weight of the newest sample in the means that the sums refer to: some
   seconds of a stream. */
constexpr double kNewestWeight = 0.05;

}  // namespace

auto EnginePace::RecordFirstEvent(Duration latency,
                                  Duration nominal,
                                  Instant now) -> void {
  const double seconds = ToSeconds(nominal);
  if (seconds < kBaseSeconds || latency <= Duration(0)) {
    return;
  }
  const double ratio =
      (ToSeconds(latency) + kBaseSeconds) / (seconds + kBaseSeconds);
  this->untold_first_events.sum += std::log(ratio);
  ++this->untold_first_events.count;
  this->RecordFirstEventRatio(ratio, now);
}

auto EnginePace::RecordTokens(Duration per_token, double streams, Instant now)
    -> void {
  if (per_token <= Duration(0)) {
    return;
  }
  const double log_seconds = std::log(ToSeconds(per_token));
  this->untold_tokens.sum += log_seconds;
  ++this->untold_tokens.count;
  this->RecordLogPerToken(log_seconds, streams, now);
}

auto EnginePace::RecordSample(const Sample& sample, double streams, Instant now)
    -> void {
  if (sample.first_event && *sample.first_event > 0.0) {
    this->RecordFirstEventRatio(*sample.first_event, now);
  }
  if (sample.per_token && *sample.per_token > Duration(0)) {
    this->RecordLogPerToken(std::log(ToSeconds(*sample.per_token)), streams,
                            now);
  }
}

auto EnginePace::TakeSample() -> Sample {
  constexpr double kMicrosPerSecond = 1e6;
  Sample sample;
  if (this->untold_first_events.count > 0) {
    sample.first_event = std::exp(this->untold_first_events.sum /
                                  this->untold_first_events.count);
  }
  if (this->untold_tokens.count > 0) {
    sample.per_token = Duration(std::llround(
        std::exp(this->untold_tokens.sum / this->untold_tokens.count) *
        kMicrosPerSecond));
  }
  this->untold_first_events = {};
  this->untold_tokens = {};
  return sample;
}

auto EnginePace::RecordFirstEventRatio(double ratio, Instant now) -> void {
  this->first_events.Record(std::log(ratio), now);
}

auto EnginePace::RecordLogPerToken(double log_seconds,
                                   double streams,
                                   Instant now) -> void {
  this->tokens.Record(log_seconds, now);
  if (!this->has_mean) {
    this->has_mean = true;
    this->streams_mean = streams;
    this->log_mean = log_seconds;
    return;
  }
  const double streams_off = streams - this->streams_mean;
  const double log_off = log_seconds - this->log_mean;
  this->streams_mean += kNewestWeight * streams_off;
  this->log_mean += kNewestWeight * log_off;
  this->sums.variance =
      (1.0 - kNewestWeight) * this->sums.variance + streams_off * streams_off;
  this->sums.covariance =
      (1.0 - kNewestWeight) * this->sums.covariance + streams_off * log_off;
}

}  // namespace auburnloft::gateway
