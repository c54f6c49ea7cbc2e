#ifndef PROGRAMS_ROUTER_REQUEST_RELAY_H_
#define PROGRAMS_ROUTER_REQUEST_RELAY_H_

#include <functional>
#include <memory>
#include <string>

#include "al_actions/action.h"
#include "al_config/model/configuration.h"
#include "al_edge/http/http_client.h"
#include "al_edge/http/http_exchange.h"
#include "al_edge/http/sse_parser.h"
#include "al_router/requests/upstream_events.h"
#include "al_router/validation/request_validator.h"

namespace auburnloft {

/** Carries one request between its caller and the upstreams that the decisions
   name.

    Relays pieces as they come, drops late and repeated ones by their sequence,
   and holds back the end of the answer until Release(). A caller that reads
   slowly stops the reading of its upstream, not that of others.

    Thread safety: none; used on the loop's thread.

    @see RouterDaemon, RequestManager
*/
class RequestRelay {
 public:
  /** What the relay reports; all are called from the loop. */
  struct Events {
    std::function<void(const UpstreamCompleted&)> on_done;
    std::function<void(const UpstreamFailed&)> on_failed;
    std::function<void(const CallerDisconnected&)> on_gone;
    std::function<void()> on_first_piece;
    std::function<void()>
        on_closed;  ///< Nothing more will happen; the relay may go.
  };

  RequestRelay(HttpClient& http,
               std::shared_ptr<HttpExchange> exchange,
               ValidatedRequest validated,
               RequestHandle handle,
               Events events);
  ~RequestRelay();

  RequestRelay(const RequestRelay&) = delete;
  auto operator=(const RequestRelay&) -> RequestRelay& = delete;

  //============================================================================
  // Commands: the actions of the decisions

  auto Start(const Upstream& upstream, int new_attempt) -> void;
  auto Resume(const Upstream& upstream, int new_attempt) -> void;
  auto Cancel() -> void;
  auto Refuse(const Refusal& refusal) -> void;
  auto Replay(const ReplayResponse& answer) -> void;
  auto Release() -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto pieces() const -> std::uint64_t {
    return this->piece_count;
  }
  [[nodiscard]] auto validated() const -> const ValidatedRequest& {
    return this->request;
  }

 private:
  auto Send(HttpCall next) -> void;
  auto OnHead(int code, const HttpHeaders& headers) -> void;
  auto OnData(std::string_view data) -> void;
  auto OnEvent(const SseEvent& event) -> void;
  auto OnPiece(const SseEvent& event, std::uint64_t sequence) -> void;
  auto OnEnd() -> void;
  auto OnError(bool sent, std::string_view text) -> void;
  auto Fail(bool sent, bool refused, std::string_view text) -> void;
  auto BeginStream() -> void;
  [[nodiscard]] auto WholeAnswer() const -> std::string;
  auto Close() -> void;

  HttpClient& http;
  std::shared_ptr<HttpExchange> exchange;
  ValidatedRequest request;
  RequestHandle handle;
  Events events;

  int attempt = 0;
  std::string upstream_name;
  std::string upstream_address;
  std::shared_ptr<HttpCallHandle> call;
  int status = 0;
  std::string content_type;
  bool run_denied = false;  ///< The upstream says that it ran nothing.
  std::string body;         ///< Of answers that are not streams.
  SseParser parser;
  std::string stream;  ///< The upstream's name of the stream.
  std::uint64_t last_sequence = 0;
  bool resumed = false;
  bool gap = false;  ///< Pieces are missing; the stream must be taken up again.
  bool stream_ended = false;
  std::uint64_t piece_count = 0;
  std::string content;  ///< Joined pieces, for callers who want the whole.
  std::string usage;    ///< The usage chunk as the upstream sent it.
  Tokens spent = 0;
  bool closed = false;
};

}  // namespace auburnloft

#endif  // PROGRAMS_ROUTER_REQUEST_RELAY_H_
