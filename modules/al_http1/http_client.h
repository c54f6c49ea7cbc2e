#ifndef AL_HTTP1_HTTP_CLIENT_H_
#define AL_HTTP1_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "al_edge/http/http_types.h"
#include "al_http1/http1_client_connection.h"
#include "al_net/socket_poller.h"

namespace auburnloft {

class EventLoop;
class HttpClient;

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

  /** The call failed, or the response was malformed or truncated. `sent` is
     true if the server may have received the request. */
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

  auto OnHead(const Http1ResponseHead& head) -> void;
  auto OnBody(std::string_view data) -> void;
  auto OnDone(Http1Outcome outcome) -> void;
  auto Fail(bool sent, std::string_view text) -> void;

  /** Closes the connection. @return the call, whose callbacks are now its
     receiver's. */
  auto End() -> HttpCall;

  HttpClient* client = nullptr;  ///< Null once the call has ended.
  HttpCall call;
  std::shared_ptr<Http1ClientConnection> connection;
  std::size_t received_bytes = 0;  ///< Of the response body.
};

/** An HTTP/1.1 client. Each call opens its own connection, so that no call
   waits for another, and has no time-out but that of connecting.
    @see Http1Client, for calls over one persistent connection

    Thread safety: none; use on the loop's thread.
*/
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop) : poller(loop) {}
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  /** Starts a call. Its callbacks are called from the event loop, never before
     Send() returns. */
  auto Send(HttpCall call) -> std::shared_ptr<HttpCallHandle>;

 private:
  friend class HttpCallHandle;

  SocketPoller poller;
  std::unordered_set<HttpCallHandle*> running_calls;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP_CLIENT_H_
