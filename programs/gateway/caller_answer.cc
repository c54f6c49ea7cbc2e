#include "gateway/caller_answer.h"

#include <utility>

#include "platform/request_codec.h"

namespace auburnloft::gateway {

namespace {

constexpr int kBadGateway = 502;

/** Unsent bytes to a caller at which reading from the upstream pauses. */
constexpr std::size_t kMostUnsent = std::size_t{128} * 1024;

}  // namespace

CallerAnswer::CallerAnswer(std::shared_ptr<Http1ServerSession> session,
                           std::string attempt_id)
    : session(std::move(session)), id(std::move(attempt_id)) {}

//==============================================================================
// Commands

auto CallerAnswer::SetCallbacks(std::function<void()> on_disconnect,
                                std::function<void()> on_flushed) -> void {
  this->session->SetExchangeCallbacks(
      {std::move(on_disconnect), std::move(on_flushed)});
}

auto CallerAnswer::Release() -> void {
  if (this->session->is_serving()) {
    this->session->SetExchangeCallbacks({});
  }
}

auto CallerAnswer::PassEvents(const Http1ResponseHead& upstream_head,
                              std::string_view events) -> void {
  if (!std::exchange(this->started, true)) {
    Http1ResponseHead head = upstream_head;
    head.fields.RemoveHopByHopFields();
    this->session->StartResponse(head);
  }
  this->session->Send(events);
}

auto CallerAnswer::FinishStream(std::string_view rest) -> void {
  this->session->Send(rest);
  this->session->FinishResponse();
}

auto CallerAnswer::Break() -> void {
  if (this->started) {
    this->session->Abort();
  } else {
    this->Own({kBadGateway, {}, Duration(0)});
  }
}

auto CallerAnswer::Deliver(const Http1ResponseHead& upstream_head,
                           std::string_view body) -> void {
  Http1ResponseHead head = upstream_head;
  head.fields.RemoveHopByHopFields();
  this->session->Respond(head, body);
}

auto CallerAnswer::Own(const OwnAnswer& answer) -> void {
  this->session->Respond(
      platform::MakeOwnAnswer(answer.status, this->id, answer.retry_after), {});
}

//==============================================================================
// Queries

auto CallerAnswer::is_behind() const -> bool {
  return this->session->unsent_bytes() > kMostUnsent;
}

}  // namespace auburnloft::gateway
