#include "gateway/caller_response.h"

#include <utility>

#include "platform/request_codec.h"

namespace auburnloft::gateway {

namespace {

constexpr int kBadGateway = 502;

}  // namespace

CallerResponse::CallerResponse(std::shared_ptr<Http1ServerSession> session,
                               std::string attempt_id)
    : session(std::move(session)), id(std::move(attempt_id)) {}

//==============================================================================
// Commands

auto CallerResponse::SetCallbacks(std::function<void()> on_disconnect,
                                  std::function<void()> on_flushed) -> void {
  this->session->SetExchangeCallbacks(
      {std::move(on_disconnect), std::move(on_flushed)});
}

auto CallerResponse::Release() -> void {
  if (this->session->is_serving()) {
    this->session->SetExchangeCallbacks({});
  }
}

auto CallerResponse::CloseAfterResponse() -> void {
  this->session->CloseAfterResponse();
}

auto CallerResponse::ForwardEvents(const Http1ResponseHead& upstream_head,
                                   std::string_view events) -> void {
  if (!std::exchange(this->has_sent_head, true)) {
    Http1ResponseHead head = upstream_head;
    head.fields.RemoveHopByHopFields();
    this->session->StartResponse(head);
  }
  this->session->Send(events);
}

auto CallerResponse::FinishStream(std::string_view rest) -> void {
  this->session->Send(rest);
  this->session->FinishResponse();
}

auto CallerResponse::Abort() -> void {
  if (this->has_sent_head) {
    this->session->Abort();
  } else {
    this->SendLocalResponse({kBadGateway, {}, Duration(0)});
  }
}

auto CallerResponse::ForwardResponse(const Http1ResponseHead& upstream_head,
                                     std::string_view body) -> void {
  Http1ResponseHead head = upstream_head;
  head.fields.RemoveHopByHopFields();
  this->session->Respond(head, body);
}

auto CallerResponse::SendLocalResponse(const LocalResponse& response) -> void {
  this->session->Respond(platform::MakeLocalResponseHead(
                             response.status, this->id, response.retry_after),
                         {});
}

//==============================================================================
// Queries

auto CallerResponse::is_backlogged() const -> bool {
  return this->session->is_backlogged();
}

}  // namespace auburnloft::gateway
