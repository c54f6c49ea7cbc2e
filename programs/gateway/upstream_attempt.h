#ifndef GATEWAY_UPSTREAM_ATTEMPT_H_
#define GATEWAY_UPSTREAM_ATTEMPT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_gateway/model/request_metadata.h"
#include "al_gateway/upstreams/upstream_selector.h"
#include "al_http1/http1_client_connection.h"
#include "gateway/upstream_connection_pool.h"

namespace auburnloft::gateway {

struct GatewayContext;

/** One attempt: one send of a request to one upstream, with its connection and
   the response received so far.

    Updates the statistics of the upstream when the attempt starts, when its
   first byte arrives, and in Finish().

    Thread safety: none; used on the loop's thread.
*/
class UpstreamAttempt {
 public:
  /** Maximum body that is buffered before it is forwarded. Responses of plain
     services are a few kilobytes; a VM with 160 MB bears a dozen of this size.
   */
  static constexpr std::size_t kMaxBufferedBody = std::size_t{4} << 20;

  UpstreamAttempt(GatewayContext& context,
                  UpstreamChoice choice,
                  UpstreamConnectionPool::Connection connection);

  UpstreamAttempt(const UpstreamAttempt&) = delete;
  auto operator=(const UpstreamAttempt&) -> UpstreamAttempt& = delete;

  //============================================================================
  // Commands

  /** Stores the head of the response. */
  auto SetHead(const Http1ResponseHead& head) -> void;

  /** Records the latency of the first byte; only the first call has an effect.
      @return whether this was the first call. */
  auto RecordFirstByte() -> bool;

  /** Records that another attempt, which was sent later, has answered first:
     this one would have taken about twice the time so far. With that time
     itself, a slow upstream whose attempts all lose would count as half as
     slow, and get twice as many. Does nothing after RecordFirstByte(). */
  auto RecordLoss() -> void;

  /** Records that `tokens` more have arrived in a stream, for the pace of the
     upstream. */
  auto RecordTokens(std::uint64_t tokens) -> void;

  /** Adds bytes to the buffered body.
      @return false if the body exceeds the limit of a buffered response; the
      bytes are not added then. */
  [[nodiscard]] auto AppendBody(std::string_view bytes) -> bool;

  /** Closes the connection, so that the upstream cancels the request. */
  auto Cancel() -> void { this->http_connection->Close(); }

  /** Ends the attempt and returns the connection to the pool. Call it once.
      @param id  the attempt id of the caller, for the log. */
  auto Finish(UpstreamResult result, const std::string& id) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto upstream() const -> UpstreamState& {
    return *this->chosen.upstream;
  }
  [[nodiscard]] auto choice() const -> const UpstreamChoice& {
    return this->chosen;
  }
  [[nodiscard]] auto connection() const -> Http1ClientConnection& {
    return *this->http_connection;
  }
  [[nodiscard]] auto head() const -> const Http1ResponseHead& {
    return this->response_head;
  }
  [[nodiscard]] auto response_metadata() const -> const ResponseMetadata& {
    return this->metadata;
  }
  [[nodiscard]] auto body() const -> const std::string& {
    return this->content;
  }
  [[nodiscard]] auto sent_at() const -> Instant { return this->started_at; }

  /** Returns the software version of the upstream that answers; empty if it is
     in doubt, as the upstream's record names none, or another one than when the
     request was sent: the upstream has started again, before or after that. */
  [[nodiscard]] auto version() const -> std::string_view;

  /** Logs that its response is not valid. @param id  as for Finish(). */
  auto LogRejected(std::string_view id, std::string_view why) const -> void;

  /** Returns whether the body of the response is a stream of events: other
     bodies are collected. @pre the route is one of streams. */
  [[nodiscard]] auto HasEvents() const -> bool;

  /** Returns whether RecordFirstByte() was called. */
  [[nodiscard]] auto has_begun() const -> bool { return this->has_first_byte; }

 private:
  /** Records the latency of the first byte, unless it has been recorded. */
  auto RecordLatency(Duration latency) -> bool;

  /** Records the pace of the part of the stream that is measured, and begins
     the next part. */
  auto RecordPace(Instant now) -> void;

  GatewayContext& context;
  UpstreamChoice chosen;
  UpstreamConnectionPool::Connection http_connection;
  Instant started_at;
  std::string version_when_sent;  ///< Of the upstream's software.
  std::uint64_t pending_prefill =
      0;  ///< Counted at the upstream until the first byte.
  bool has_first_byte = false;
  Instant pace_since{};  ///< Begin of the part of a stream that is measured.
  std::uint64_t pace_tokens = 0;  ///< That have arrived since then.
  ResponseMetadata metadata;
  Http1ResponseHead response_head;
  std::string content;
};

/** Returns a check whether a response belongs to the request with the attempt
   id `id`. */
[[nodiscard]] auto MakeOwnerCheck(std::string id)
    -> std::function<ResponseOwner(const Http1ResponseHead&)>;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_UPSTREAM_ATTEMPT_H_
