#ifndef GATEWAY_STREAM_CONTINUATION_H_
#define GATEWAY_STREAM_CONTINUATION_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "al_gateway/model/fleet_config.h"
#include "al_gateway/model/request_metadata.h"
#include "gateway/gateway_context.h"

namespace auburnloft::gateway {

class UpstreamAttempt;

/** At which software version a request's stream has to go on: that of the
    upstream that sent its first event, be it to this request or to an earlier
    attempt of its caller. Before the first event any version may answer.

    Thread safety: none; used on the loop's thread.
*/
class StreamContinuation {
 public:
  /** @pre `metadata` outlives it. */
  StreamContinuation(GatewayContext& context, const RequestMetadata& metadata);

  StreamContinuation(const StreamContinuation&) = delete;
  auto operator=(const StreamContinuation&) -> StreamContinuation& = delete;

  /** Finds the version of a stream that the caller takes up. Calls `on_found`
     once, at once if the request takes none up; the owner has to see to it that
     it lives until then. Call it once, before the first attempt.
      @pre `route` outlives this object.
      @param on_found  gets why the stream cannot go on; empty: it can. */
  auto Begin(const RouteRule& route,
             const std::string& service,
             std::function<void(std::string_view why_not)> on_found) -> void;

  /** Returns whether an attempt's events may be forwarded: they are of the
     version of the stream, or begin it. */
  [[nodiscard]] auto MayForward(const UpstreamAttempt& attempt) const -> bool;

  /** Records that the first event of an attempt is forwarded. */
  auto RecordFirstEvent(const UpstreamAttempt& attempt) -> void;

  /** Records the end of an attempt that has sent events. If its upstream turns
     out to be of another version than it was believed to be, the stream is in
     doubt and goes on nowhere. */
  auto RecordEnd(const UpstreamAttempt& attempt) -> void;

  /** The service at which the stream has to go on. @pre Begin() has found it.
   */
  [[nodiscard]] auto service() const -> const std::string& {
    return this->service_name;
  }

  /** The version at which the stream has to go on, empty if it is in doubt;
     none: at any. */
  [[nodiscard]] auto version() const -> std::optional<std::string_view> {
    return this->required;
  }

 private:
  /** Returns whether an upstream that takes requests has the version. */
  [[nodiscard]] auto IsServed() const -> bool;
  auto Record() -> void;

  GatewayContext& context;
  const RequestMetadata& metadata;
  const RouteRule* route = nullptr;
  std::string service_name;
  const UpstreamAttempt* source = nullptr;  ///< That sends the events.
  std::optional<std::string> required;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_STREAM_CONTINUATION_H_
