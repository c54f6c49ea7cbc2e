#ifndef AL_EDGE_HTTP_HTTP_CLIENT_H_
#define AL_EDGE_HTTP_HTTP_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "al_edge/http/http_types.h"
#include "al_edge/loop/event_loop.h"

struct lws;
struct lws_protocols;

namespace auburnloft {

/** A request to an HTTP server, with the callbacks for its response. */
struct HttpCall {
  std::string address;  ///< `ip:port`.
  std::string method = "GET";
  std::string path = "/";
  HttpHeaders headers;
  std::string body;

  /** Maximum size of the response body; a longer one fails the call. */
  std::size_t max_response_bytes = std::size_t{4} << 20;

  /** Names, in lower case, of the response headers to pass to `on_head`. */
  std::vector<std::string> response_headers;

  /** The status line and header of the response have arrived. */
  std::function<void(int status, const HttpHeaders& headers)> on_head;
  /** A part of the response body has arrived. */
  std::function<void(std::string_view data)> on_data;

  /** The response is complete. Excludes `on_error`. */
  std::function<void()> on_end;

  /** The call failed or the response was truncated. `sent` is true if the
     server may have received the request. */
  std::function<void(bool sent, std::string_view text)> on_error;
};

/** Controls a call in progress. */
class HttpCallHandle {
 public:
  /** Cancels the call. None of its callbacks is called any more. */
  auto Cancel() -> void;

  /** Pauses or resumes reading the response. */
  auto SetPaused(bool paused) -> void;

 private:
  friend class HttpClient;
  HttpCall call;
  lws* wsi = nullptr;
  std::string host;
  std::size_t received_bytes = 0;  ///< Of the response body.
  bool sent = false;
  bool finished = false;
  bool paused = false;
  bool starting = true;  ///< Inside HttpClient::Send().
};

/** An HTTP/1.1 client. Each call opens its own connection, so that no call
   waits for another.

    Thread safety: none; use on the loop's thread.
*/
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop) : loop(loop) {}
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  /** Starts a call. Its callbacks are called from the event loop, never before
     Send() returns. */
  auto Send(HttpCall call) -> std::shared_ptr<HttpCallHandle>;

  /** The libwebsockets protocol of clients, for EventLoop. */
  [[nodiscard]] static auto Protocol() -> lws_protocols;

 private:
  static auto OnEvent(lws* wsi, int reason, void* in, std::size_t size) -> int;
  static auto OnHandshake(HttpCallHandle& handle,
                          lws* wsi,
                          void* in,
                          std::size_t size) -> int;
  static auto OnWritable(HttpCallHandle& handle, lws* wsi) -> int;
  static auto OnHead(HttpCallHandle& handle, lws* wsi) -> void;
  static auto OnData(HttpCallHandle& handle, std::string_view data) -> int;
  static auto Fail(HttpCallHandle& handle, std::string_view text) -> void;
  static auto Finish(HttpCallHandle& handle) -> void;

  EventLoop& loop;
};

}  // namespace auburnloft

#endif  // AL_EDGE_HTTP_HTTP_CLIENT_H_
