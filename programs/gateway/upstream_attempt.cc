#include "gateway/upstream_attempt.h"

#include <array>
#include <utility>

#include "gateway/gateway_context.h"
#include "platform/request_codec.h"

namespace auburnloft::gateway {

namespace {

/** Names of UpstreamResult in the log, in its order. */
constexpr std::array<std::string_view, 5> kResultNames = {
    "answered", "failed", "shed", "unreachable", "replaced"};

}  // namespace

UpstreamAttempt::UpstreamAttempt(GatewayContext& context,
                                 UpstreamChoice choice,
                                 UpstreamConnections::Connection connection)
    : context(context),
      chosen(std::move(choice)),
      line(std::move(connection)),
      began_at(context.loop.Now()),
      pending_prefill(this->chosen.prefill_tokens) {
  this->chosen.upstream->RecordSent(this->pending_prefill);
}

auto UpstreamAttempt::SetHead(const Http1ResponseHead& head) -> void {
  this->answer_head = head;
  this->facts = platform::ReadAnswerFacts(head);
}

auto UpstreamAttempt::RecordFirstByte() -> void {
  if (std::exchange(this->has_first_byte, true)) {
    return;
  }
  const Instant now = this->context.loop.Now();
  this->chosen.upstream->RecordFirstByte(
      std::exchange(this->pending_prefill, 0), now - this->began_at,
      this->chosen.expected, now);
}

auto UpstreamAttempt::Finish(UpstreamResult result, const std::string& id)
    -> void {
  const Instant now = this->context.loop.Now();
  const UpstreamRecord& record = this->chosen.upstream->record();
  const std::string_view name = kResultNames[static_cast<std::size_t>(result)];
  this->context.metrics.CountSend(name);
  if (result != UpstreamResult::kSucceeded) {
    this->context.log.Line(DecisionLog::Weight::kNotable, "send_failed",
                           {{"id", id},
                            {"upstream", record.id},
                            {"result", name},
                            {"status", this->answer_head.status},
                            {"after_ms", now - this->began_at}},
                           now);
  }
  this->chosen.upstream->RecordEnd(this->pending_prefill, result, now);
  this->context.connections.Return(record.id, this->line,
                                   this->facts.idle_timeout);
}

}  // namespace auburnloft::gateway
