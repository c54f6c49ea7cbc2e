#ifndef AL_EDGE_HTTP_HTTP_SERVER_H_
#define AL_EDGE_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "al_edge/http/http_exchange.h"
#include "al_edge/loop/event_loop.h"

struct lws;
struct lws_vhost;

namespace auburnloft {

/** An HTTP/1.1 server on one address.

    A body over the limit is refused with 413 before it is read; a request with
   a body of unknown length with 411.

    Thread safety: none; used on the loop's thread.

    @see HttpExchange
*/
class HttpServer {
 public:
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  struct Options {
    std::string address;                     ///< `ip:port`.
    std::vector<std::string> header_names;   ///< To collect, in lower case.
    std::size_t max_body_bytes = 1'048'576;  ///< Bytes.
  };

  HttpServer(EventLoop& loop, Options options, Handler handler);

  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;

  /** Starts to listen. @return false where the address is taken or invalid. */
  [[nodiscard]] auto Listen() -> bool;

  /** Answers with a JSON error that the server itself finds; replaces the plain
   * default. */
  using ErrorFormatter =
      std::function<std::string(int status, std::string_view text)>;
  auto SetErrorFormatter(ErrorFormatter body) -> void {
    this->error_formatter = std::move(body);
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

  EventLoop& loop;
  Options options;
  Handler handler;
  ErrorFormatter error_formatter;
  lws_vhost* vhost = nullptr;
  std::map<HttpExchange*, std::shared_ptr<HttpExchange>> open;
};

}  // namespace auburnloft

#endif  // AL_EDGE_HTTP_HTTP_SERVER_H_
