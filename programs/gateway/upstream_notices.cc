#include "gateway/upstream_notices.h"

#include <array>
#include <string>

#include "al_gateway/routing/admission.h"
#include "al_gateway/upstreams/back_off.h"
#include "gateway/gateway_context.h"
#include "gateway/upstream_attempt.h"

namespace auburnloft::gateway {

auto UpstreamNotices::Record(const UpstreamAttempt& attempt,
                             std::string_view id) -> void {
  if (attempt.response_metadata().is_replaced) {
    return;  // Another process speaks.
  }
  this->RecordLeaving(attempt, id);
  this->RecordBackOff(attempt, id);
  this->RecordLimit(attempt, id);
}

auto UpstreamNotices::RetryAfter(std::string_view service) -> Duration {
  const Instant now = this->context.loop.Now();
  const auto earliest = this->context.upstreams.EarliestReturn(service, now);
  return earliest ? BackOffRetryAfter(*earliest - now,
                                      this->context.random.UniformDouble())
                  : kUnavailableRetryAfter;
}

auto UpstreamNotices::RecordLeaving(const UpstreamAttempt& attempt,
                                    std::string_view id) -> void {
  const ResponseMetadata& head = attempt.response_metadata();
  const UpstreamState& upstream = attempt.upstream();
  const Instant now = this->context.loop.Now();
  if (!head.is_leaving ||
      !this->context.upstreams.RecordLeaving(upstream, now)) {
    return;
  }
  this->context.log.WriteLine(
      DecisionLog::Severity::kNotable, "upstream_leaving",
      {{"upstream", upstream.record().id}, {"id", id}, {"status", head.status}},
      now);
  this->context.metrics.CountUpstreamNotice("leaving");
}

auto UpstreamNotices::RecordBackOff(const UpstreamAttempt& attempt,
                                    std::string_view id) -> void {
  const ResponseMetadata& head = attempt.response_metadata();
  const UpstreamState& upstream = attempt.upstream();
  const Instant now = this->context.loop.Now();
  const auto until = BackOffEnd(head, now);
  if (!until || !this->context.upstreams.RecordBackOff(upstream, *until, now)) {
    return;
  }
  this->context.log.WriteLine(DecisionLog::Severity::kNotable,
                              "upstream_back_off",
                              {{"upstream", upstream.record().id},
                               {"id", id},
                               {"status", head.status},
                               {"ends_in_ms", *until - now}},
                              now);
  this->context.metrics.CountUpstreamNotice("back_off");
}

auto UpstreamNotices::RecordLimit(const UpstreamAttempt& attempt,
                                  std::string_view id) -> void {
  const ResponseMetadata& head = attempt.response_metadata();
  if (!head.request_limit && !head.is_sealed && !head.not_executed) {
    return;  // Not evidently a response of the upstream itself.
  }
  const UpstreamRecord& upstream = attempt.upstream().record();
  const Instant now = this->context.loop.Now();
  const auto change = this->context.limits.Record(
      upstream.process(), head.request_limit, attempt.sent_at(), now);
  if (change == UpstreamLimits::Change::kNone) {
    return;
  }
  /** In the order of Change. */
  constexpr std::array<std::string_view, 4> kNames = {"none", "named",
                                                      "changed", "ended"};
  this->context.log.WriteLine(
      DecisionLog::Severity::kNotable, "upstream_limit",
      {{"upstream", upstream.id},
       {"id", id},
       {"change", kNames[static_cast<std::size_t>(change)]},
       {"requests_s", head.request_limit ? std::to_string(*head.request_limit)
                                         : std::string("-")}},
      now);
  this->context.metrics.CountUpstreamNotice("limit");
  this->context.report_news();
}

}  // namespace auburnloft::gateway
