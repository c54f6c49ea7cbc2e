#include "gateway/upstream_attempt.h"

#include <array>
#include <utility>

#include "gateway/gateway_context.h"
#include "platform/request_codec.h"

namespace auburnloft::gateway {

namespace {

/** Names of UpstreamResult in the decision log, in the order of its values. */
constexpr std::array<std::string_view, 6> kResultNames = {
    "answered", "failed", "shed", "unreachable", "replaced", "cancelled"};

/** Length of the parts of a stream whose pace is measured: several events, and
   short against a stream, so that the pace is that of now. */
constexpr Duration kPacePart = std::chrono::milliseconds(250);

constexpr int kFirstRedirect = 300;

}  // namespace

UpstreamAttempt::UpstreamAttempt(GatewayContext& context,
                                 UpstreamChoice choice,
                                 UpstreamConnectionPool::Connection connection)
    : context(context),
      chosen(std::move(choice)),
      http_connection(std::move(connection)),
      started_at(context.loop.Now()),
      version_when_sent(this->chosen.upstream->record().version),
      pending_prefill(this->chosen.prefill_tokens) {
  this->chosen.upstream->RecordSent(this->pending_prefill, this->started_at);
  this->chosen.upstream->ReserveMemory(this->chosen.memory_tokens);
}

auto UpstreamAttempt::SetHead(const Http1ResponseHead& head) -> void {
  this->response_head = head;
  this->metadata = platform::ReadResponseMetadata(head);
  if (!this->metadata.is_replaced) {
    this->context.cold_upstreams.RecordResponse(
        this->chosen.upstream->record().process(), this->context.loop.Now());
  }
}

auto UpstreamAttempt::AppendBody(std::string_view bytes) -> bool {
  if (this->content.size() + bytes.size() > kMaxBufferedBody) {
    return false;
  }
  this->content += bytes;
  return true;
}

auto UpstreamAttempt::RecordFirstByte() -> bool {
  return this->RecordLatency(this->context.loop.Now() - this->started_at);
}

auto UpstreamAttempt::RecordLoss() -> void {
  this->RecordLatency(2 * (this->context.loop.Now() - this->started_at));
}

auto UpstreamAttempt::RecordLatency(Duration latency) -> bool {
  if (std::exchange(this->has_first_byte, true)) {
    return false;
  }
  this->chosen.upstream->RecordFirstByte(
      std::exchange(this->pending_prefill, 0), latency, this->chosen.expected,
      this->context.loop.Now());
  return true;
}

auto UpstreamAttempt::RecordTokens(std::uint64_t tokens) -> void {
  const Instant now = this->context.loop.Now();
  if (this->pace_since == Instant()) {
    this->pace_since = now;  // The first event's time is no part of the pace.
    this->chosen.upstream->RecordFirstEvent(now - this->started_at,
                                            this->chosen.nominal, now);
    return;
  }
  this->pace_tokens += tokens;
  if (now - this->pace_since >= kPacePart) {
    this->RecordPace(now);
  }
}

auto UpstreamAttempt::RecordPace(Instant now) -> void {
  if (this->pace_tokens > 0) {
    const Duration per_token =
        (now - this->pace_since) / static_cast<std::int64_t>(this->pace_tokens);
    this->chosen.upstream->RecordPace(per_token, now);
    if (now - this->pace_since >= kPacePart) {
      this->chosen.upstream->RecordTokens(per_token, now);
    }
  }
  this->pace_since = now;
  this->pace_tokens = 0;
}

auto UpstreamAttempt::Finish(UpstreamResult result, const std::string& id)
    -> void {
  const Instant now = this->context.loop.Now();
  const UpstreamRecord& record = this->chosen.upstream->record();
  const std::string_view name = kResultNames[static_cast<std::size_t>(result)];
  this->context.metrics.CountAttempt(name);
  if (result != UpstreamResult::kSucceeded &&
      result != UpstreamResult::kCancelled) {
    this->context.log.WriteLine(DecisionLog::Severity::kNotable, "send_failed",
                                {{"id", id},
                                 {"upstream", record.id},
                                 {"result", name},
                                 {"status", this->response_head.status},
                                 {"after_ms", now - this->started_at}},
                                now);
  }
  if (result == UpstreamResult::kUnreachable) {
    this->context.cold_upstreams.RecordUnreachable(record, now);
  }
  this->RecordPace(now);
  this->chosen.upstream->ReleaseMemory(this->chosen.memory_tokens);
  this->chosen.upstream->RecordEnd(this->pending_prefill, result, now);
  this->context.connections.Release(
      record.id, this->http_connection,
      this->metadata.not_executed ? id : std::string(),
      this->metadata.idle_timeout);
}

auto UpstreamAttempt::version() const -> std::string_view {
  // Its state here is that of a process that may have left the list since.
  const UpstreamRecord& record = this->upstream().record();
  const UpstreamRecord* const listed =
      this->context.upstreams.FindRecord(record.id);
  const bool is_in_doubt =
      record.version != this->version_when_sent ||
      (listed != nullptr && listed->version != this->version_when_sent);
  return is_in_doubt ? std::string_view() : this->version_when_sent;
}

auto UpstreamAttempt::LogRejected(std::string_view id,
                                  std::string_view why) const -> void {
  this->context.log.WriteLine(
      DecisionLog::Severity::kNotable, "response_rejected",
      {{"id", id}, {"upstream", this->upstream().record().id}, {"why", why}},
      this->context.loop.Now());
}

auto UpstreamAttempt::HasEvents() const -> bool {
  return this->response_head.status < kFirstRedirect &&
         this->metadata.is_event_stream && !this->metadata.not_executed &&
         !this->metadata.is_encoded;
}

auto MakeOwnerCheck(std::string id)
    -> std::function<ResponseOwner(const Http1ResponseHead&)> {
  return [id = std::move(id)](const Http1ResponseHead& head) {
    const std::string answered =
        platform::ReadResponseMetadata(head).attempt_id;
    if (answered.empty()) {
      return ResponseOwner::kUnknown;
    }
    return answered == id ? ResponseOwner::kThisRequest
                          : ResponseOwner::kOtherRequest;
  };
}

}  // namespace auburnloft::gateway
