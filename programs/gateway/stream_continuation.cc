#include "gateway/stream_continuation.h"

#include <algorithm>
#include <utility>

#include "gateway/stream_origins.h"
#include "gateway/upstream_attempt.h"

namespace auburnloft::gateway {

namespace {

auto IsServiceOf(const RouteRule& route, std::string_view service) -> bool {
  return std::ranges::any_of(route.services, [service](const auto& share) {
    return share.service == service;
  });
}

}  // namespace

StreamContinuation::StreamContinuation(GatewayContext& context,
                                       const RequestMetadata& metadata)
    : context(context), metadata(metadata) {}

auto StreamContinuation::Begin(
    const RouteRule& route,
    const std::string& service,
    std::function<void(std::string_view why_not)> on_found) -> void {
  this->route = &route;
  this->service_name = service;
  if (route.kind != RouteKind::kStream || !this->metadata.takes_up_stream()) {
    on_found({});
    return;
  }
  this->context.stream_origins->Find(
      this->metadata.resumed_attempt_id, service, this->metadata.attempt_id,
      [this,
       on_found = std::move(on_found)](const StreamOrigins::Answer& answer) {
        this->required = answer.version;
        if (!answer.service.empty()) {
          this->service_name = answer.service;
        }
        // Where a route has several services, a version says too little.
        const bool is_known =
            !answer.version.empty() &&
            (!answer.service.empty() || this->route->services.size() == 1);
        if (!is_known) {
          on_found("the stream's version is unknown");
        } else if (!IsServiceOf(*this->route, this->service_name) ||
                   !this->IsServed()) {
          on_found("no upstream of the stream's version");
        } else {
          on_found({});
        }
      });
}

auto StreamContinuation::MayForward(const UpstreamAttempt& attempt) const
    -> bool {
  const std::string_view version = attempt.version();
  return !this->required || (!version.empty() && version == *this->required);
}

auto StreamContinuation::RecordFirstEvent(const UpstreamAttempt& attempt)
    -> void {
  if (!this->required) {
    this->required = std::string(attempt.version());
  }
  this->source = &attempt;
  this->Record();
}

auto StreamContinuation::RecordEnd(const UpstreamAttempt& attempt) -> void {
  if (&attempt != this->source) {
    return;
  }
  this->source = nullptr;
  if (!this->required->empty() && attempt.version().empty()) {
    this->required = std::string();
    this->Record();
  }
}

auto StreamContinuation::Record() -> void {
  if (!this->route->resumable) {
    return;
  }
  this->context.stream_origins->Record(
      {this->metadata.takes_up_stream() ? this->metadata.resumed_attempt_id
                                        : this->metadata.attempt_id,
       this->service_name, *this->required},
      this->route->services.size() > 1);
}

auto StreamContinuation::IsServed() const -> bool {
  const auto upstreams =
      this->context.upstreams.UpstreamsOfService(this->service_name);
  return std::ranges::any_of(upstreams, [this](const auto& upstream) {
    return upstream->is_serving() &&
           upstream->record().version == *this->required;
  });
}

}  // namespace auburnloft::gateway
