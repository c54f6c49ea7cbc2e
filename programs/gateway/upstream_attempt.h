#ifndef GATEWAY_UPSTREAM_ATTEMPT_H_
#define GATEWAY_UPSTREAM_ATTEMPT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_gateway/model/request_metadata.h"
#include "al_gateway/upstreams/upstream_selector.h"
#include "al_http1/http1_client_connection.h"
#include "gateway/upstream_connections.h"

namespace auburnloft::gateway {

struct GatewayContext;

/** The exchange of one request with one upstream: its connection, its times,
   and what has come of the answer.

    Keeps the books of the upstream: what was sent, when the first byte came,
   and by Finish() how it ended.

    Thread safety: none; used on the loop's thread.
*/
class UpstreamAttempt {
 public:
  UpstreamAttempt(GatewayContext& context,
                  UpstreamChoice choice,
                  UpstreamConnections::Connection connection);

  UpstreamAttempt(const UpstreamAttempt&) = delete;
  auto operator=(const UpstreamAttempt&) -> UpstreamAttempt& = delete;

  //============================================================================
  // Commands

  /** Takes the head of the answer. */
  auto SetHead(const Http1ResponseHead& answer_head) -> void;

  /** The first byte that counts has come. */
  auto RecordFirstByte() -> void;

  auto AppendBody(std::string_view bytes) -> void { this->content += bytes; }

  /** Closes the connection, so that the upstream drops the request. */
  auto Cancel() -> void { this->line->Close(); }

  /** Ends the attempt: the connection goes back to the pool. Called once.
      @param id  of the request, for the log. */
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
    return *this->line;
  }
  [[nodiscard]] auto head() const -> const Http1ResponseHead& {
    return this->answer_head;
  }
  [[nodiscard]] auto answer() const -> const ResponseMetadata& {
    return this->facts;
  }
  [[nodiscard]] auto body() const -> const std::string& {
    return this->content;
  }
  [[nodiscard]] auto sent_at() const -> Instant { return this->began_at; }

 private:
  GatewayContext& context;
  UpstreamChoice chosen;
  UpstreamConnections::Connection line;
  Instant began_at;
  std::uint64_t pending_prefill =
      0;  ///< Noted at the upstream until a byte came.
  bool has_first_byte = false;
  ResponseMetadata facts;
  Http1ResponseHead answer_head;
  std::string content;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_UPSTREAM_ATTEMPT_H_
