#ifndef GATEWAY_GATEWAY_METRICS_H_
#define GATEWAY_GATEWAY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_edge/metrics/latency_histogram.h"

namespace auburnloft::gateway {

/** Counters and latencies of one process.

    Thread safety: none; used on one thread.
*/
class GatewayMetrics {
 public:
  GatewayMetrics() = default;

  GatewayMetrics(const GatewayMetrics&) = delete;
  auto operator=(const GatewayMetrics&) -> GatewayMetrics& = delete;

  /** Counts a request that ended with `outcome`, such as `served`. */
  auto CountRequest(std::string_view outcome) -> void {
    ++this->requests[std::string(outcome)];
  }

  /** Counts an attempt at an upstream that ended with `result`. */
  auto CountAttempt(std::string_view result) -> void {
    ++this->sends[std::string(result)];
  }

  /** Counts what an upstream newly said about itself, such as `leaving`. */
  auto CountUpstreamNotice(std::string_view notice) -> void {
    ++this->upstream_notices[std::string(notice)];
  }

  /** Counts a decision of the admission, such as `refuse`. */
  auto CountAdmission(std::string_view decision) -> void {
    ++this->admissions[std::string(decision)];
  }

  /** Counts a change of a quarantine. */
  auto CountQuarantineChange(std::string_view change) -> void {
    ++this->quarantine_changes[std::string(change)];
  }

  /** Counts an evacuation of a failure domain that has `begun` or `ended`. */
  auto CountEvacuation(std::string_view change) -> void {
    ++this->evacuations[std::string(change)];
  }

  /** Counts reports about engines that were out of range. */
  auto CountEngineReportsDropped(std::size_t reports) -> void {
    this->engine_reports_dropped += reports;
  }

  /** Counts a decision on a second attempt, as NameOf(HedgeDecision), or its
     end: `won`, `lost` or `failed`. */
  auto CountHedge(std::string_view result) -> void {
    ++this->hedges[std::string(result)];
  }

  /** Counts a connection that met a limit, as named by Http1LimitEvent. */
  auto CountConnectionLimit(std::string_view limit) -> void {
    ++this->connection_limits[std::string(limit)];
  }

  /** Counts a stream that a caller takes up, by how its version was found; see
     StreamOrigins::Answer. */
  auto CountStreamTakenUp(std::string_view source) -> void {
    ++this->streams_taken_up[std::string(source)];
  }

  /** Counts a restore of the log from an older copy. */
  auto CountLogRestore() -> void { ++this->log_restores; }

  /** Records the time from a request to the first byte of its response. */
  auto RecordTimeToFirstByte(Duration duration) -> void {
    this->first_byte.Record(duration);
  }

  /** Records by how much the loop's timers were late at most, of a tick. */
  auto RecordLoopLateness(Duration duration) -> void {
    this->loop_lateness.Record(duration);
  }

  /** All metrics in the Prometheus text format 0.0.4. */
  [[nodiscard]] auto ToPrometheus() const -> std::string;

 private:
  std::map<std::string, std::uint64_t> requests;
  std::map<std::string, std::uint64_t> sends;
  std::map<std::string, std::uint64_t> quarantine_changes;
  std::map<std::string, std::uint64_t> upstream_notices;
  std::map<std::string, std::uint64_t> evacuations;
  std::map<std::string, std::uint64_t> admissions;
  std::map<std::string, std::uint64_t> hedges;
  std::map<std::string, std::uint64_t> connection_limits;
  std::map<std::string, std::uint64_t> streams_taken_up;
  std::uint64_t log_restores = 0;
  std::uint64_t engine_reports_dropped = 0;
  LatencyHistogram first_byte;
  LatencyHistogram loop_lateness;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_GATEWAY_METRICS_H_
