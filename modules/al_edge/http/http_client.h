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

/** A call to an HTTP server, and what to do with its answer. */
struct HttpCall {
  std::string address;  ///< `ip:port`.
  std::string method = "GET";
  std::string path = "/";
  HttpHeaders headers;
  std::string body;

  /** Headers of the answer that `on_head` gets, in lower case. */
  std::vector<std::string> response_headers;

  std::function<void(int status, const HttpHeaders& headers)> on_head;
  std::function<void(std::string_view data)> on_data;

  /** The answer is whole. */
  std::function<void()> on_end;

  /** The call failed or the answer broke off. `sent`: the server may have got
   * the request. */
  std::function<void(bool sent, std::string_view text)> on_error;
};

/** A running call. */
class HttpCallHandle {
 public:
  /** Ends the call; none of its functions is called any more. */
  auto Cancel() -> void;

  /** Stops, or goes on, reading the answer. */
  auto SetPaused(bool paused) -> void;

 private:
  friend class HttpClient;
  HttpCall call;
  lws* wsi = nullptr;
  std::string host;
  bool sent = false;
  bool finished = false;
  bool paused = false;
  bool starting = true;
};

/** An HTTP/1.1 client; each call has a connection of its own, so that none
   waits behind another.

    Thread safety: none; used on the loop's thread.
*/
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop) : loop(loop) {}
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  /** Starts a call. Its functions are called from the loop, never before Send()
   * returns. */
  auto Send(HttpCall call) -> std::shared_ptr<HttpCallHandle>;

  /** The lws protocol of clients, for EventLoop. */
  [[nodiscard]] static auto Protocol() -> lws_protocols;

 private:
  static auto OnEvent(lws* wsi, int reason, void* in, std::size_t size) -> int;
  static auto OnHandshake(HttpCallHandle& handle,
                          lws* wsi,
                          void* in,
                          std::size_t size) -> int;
  static auto OnWritable(HttpCallHandle& handle, lws* wsi) -> int;
  static auto OnHead(HttpCallHandle& handle, lws* wsi) -> void;
  static auto Fail(HttpCallHandle& handle, std::string_view text) -> void;
  static auto Finish(HttpCallHandle& handle) -> void;

  EventLoop& loop;
};

}  // namespace auburnloft

#endif  // AL_EDGE_HTTP_HTTP_CLIENT_H_
