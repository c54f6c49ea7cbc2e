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

auto CallerAnswer::SetCallbacks(std::function<void()> on_gone,
                                std::function<void()> on_drained) -> void {
  this->session->SetExchangeCallbacks(
      {std::move(on_gone), std::move(on_drained)});
}

auto CallerAnswer::Release() -> void {
  if (this->session->serving()) {
    this->session->SetExchangeCallbacks({});
  }
}

auto CallerAnswer::PassEvents(const Http1ResponseHead& upstream_head,
                              std::string_view events) -> void {
  if (!std::exchange(this->started, true)) {
    Http1ResponseHead head = upstream_head;
    head.fields.RemoveConnectionFields();
    this->session->StartAnswer(head);
  }
  this->session->Send(events);
}

auto CallerAnswer::FinishStream(std::string_view rest) -> void {
  this->session->Send(rest);
  this->session->FinishAnswer();
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
  head.fields.RemoveConnectionFields();
  this->session->Answer(head, body);
}

auto CallerAnswer::Own(const LocalResponse& answer) -> void {
  this->session->Answer(
      platform::MakeOwnAnswer(answer.status, this->id, answer.retry_after), {});
}

//==============================================================================
// Queries

auto CallerAnswer::is_behind() const -> bool {
  return this->session->unsent() > kMostUnsent;
}

}  // namespace auburnloft::gateway
