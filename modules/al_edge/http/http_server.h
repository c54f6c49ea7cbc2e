#ifndef AL_EDGE_HTTP_HTTP_SERVER_H_
#define AL_EDGE_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "al_edge/http/http_exchange.h"
#include "al_edge/loop/event_loop.h"

struct lws;
struct lws_vhost;

namespace auburnloft {

/** An HTTP/1.1 server on one address.

    Rejects a body above the size limit with 413 before reading it, and a POST,
   PUT or PATCH request without Content-Length with 411. Closes the connection
   after a request whose end is not certain, and if a further request follows
   one with a body before the response to that is sent; it is not read then.

    Thread safety: none; use on the loop's thread.

    @see HttpExchange
*/
class HttpServer {
 public:
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  struct Options {
    std::string address;                     ///< `ip:port`.
    std::vector<std::string> header_names;   ///< To read, in lower case.
    std::size_t max_body_bytes = 1'048'576;  ///< Of a request.
  };

  HttpServer(EventLoop& loop, Options options, Handler handler);

  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;

  /** Starts to listen. @return false if the address is invalid or in use. */
  [[nodiscard]] auto Listen() -> bool;

  /** Formats the JSON body of an error response that the server itself creates.
     Without a formatter these responses are plain text. */
  using ErrorFormatter =
      std::function<std::string(int status, std::string_view text)>;
  auto SetErrorFormatter(ErrorFormatter formatter) -> void {
    this->error_formatter = std::move(formatter);
  }

 private:
  static auto OnEvent(lws* wsi, int reason, void* in, std::size_t size) -> int;
  auto OnHead(lws* wsi, std::string_view path) -> int;
  auto OnBody(lws* wsi, std::string_view data) -> int;
  auto OnBodyEnd(lws* wsi) -> int;
  auto OnWritable(lws* wsi) -> int;
  auto OnClosed(lws* wsi) -> void;
  auto Fail(HttpExchange& exchange, int status, std::string_view text) -> int;
  auto ReadHeaders(lws* wsi, HttpRequest& request) const -> void;
  /** Returns the size of the body, or nothing if the request was rejected,
     because its end is not certain (RFC 9112, section 6.3). */
  auto ReadLength(lws* wsi, HttpExchange& exchange)
      -> std::optional<std::size_t>;

  EventLoop& loop;
  Options options;
  Handler handler;
  ErrorFormatter error_formatter;
  lws_vhost* vhost = nullptr;
  std::map<HttpExchange*, std::shared_ptr<HttpExchange>> open;
};

}  // namespace auburnloft

#endif  // AL_EDGE_HTTP_HTTP_SERVER_H_
