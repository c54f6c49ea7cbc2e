#include "gateway/gateway_metrics.h"

namespace auburnloft::gateway {

namespace {

auto AppendCounters(std::string& text,
                    std::string_view name,
                    std::string_view label,
                    const std::map<std::string, std::uint64_t>& counters)
    -> void {
  text.append("# TYPE ").append(name).append(" counter\n");
  for (const auto& [value, count] : counters) {
    text.append(name).append("{").append(label).append("=\"").append(value);
    text.append("\"} ").append(std::to_string(count)).append("\n");
  }
}

}  // namespace

auto GatewayMetrics::ToPrometheus() const -> std::string {
  std::string text;
  AppendCounters(text, "auburnloft_requests_total", "outcome", this->requests);
  AppendCounters(text, "auburnloft_upstream_sends_total", "result",
                 this->sends);
  AppendCounters(text, "auburnloft_crash_quarantine_total", "change",
                 this->quarantine_changes);
  AppendCounters(text, "auburnloft_upstream_notices_total", "notice",
                 this->upstream_notices);
  AppendCounters(text, "auburnloft_evacuations_total", "change",
                 this->evacuations);
  if (!this->admissions.empty()) {
    AppendCounters(text, "auburnloft_admissions_total", "decision",
                   this->admissions);
  }
  AppendCounters(text, "auburnloft_hedges_total", "result", this->hedges);
  AppendCounters(text, "auburnloft_connection_limits_total", "limit",
                 this->connection_limits);
  AppendCounters(text, "auburnloft_streams_taken_up_total", "source",
                 this->streams_taken_up);
  text.append("# TYPE auburnloft_log_restores_total counter\n")
      .append("auburnloft_log_restores_total ")
      .append(std::to_string(this->log_restores))
      .append("\n");
  text.append("# TYPE auburnloft_engine_reports_dropped_total counter\n")
      .append("auburnloft_engine_reports_dropped_total ")
      .append(std::to_string(this->engine_reports_dropped))
      .append("\n");
  text += this->first_byte.ToPrometheus("auburnloft_first_byte_seconds", "");
  text +=
      this->loop_lateness.ToPrometheus("auburnloft_loop_lateness_seconds", "");
  return text;
}

}  // namespace auburnloft::gateway
