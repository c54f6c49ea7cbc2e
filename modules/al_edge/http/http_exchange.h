#ifndef AL_EDGE_HTTP_HTTP_EXCHANGE_H_
#define AL_EDGE_HTTP_HTTP_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "al_edge/http/http_types.h"

struct lws;

namespace auburnloft {

/** One request to an HttpServer and its response.

    The handler calls Respond(), or BeginStream(), Write() any number of times,
   and End(). All of these do nothing after the connection has closed.

    Thread safety: none; use on the loop's thread.

    @see HttpServer
*/
class HttpExchange {
 public:
  using Callback = std::function<void()>;

  explicit HttpExchange(lws* wsi) : wsi(wsi) {}

  HttpExchange(const HttpExchange&) = delete;
  auto operator=(const HttpExchange&) -> HttpExchange& = delete;

  //============================================================================
  // Commands

  /** Sends a complete response. @pre !has_begun(). */
  auto Respond(int status,
               std::string_view content_type,
               std::string_view body,
               HttpHeaders extra = {}) -> void;

  /** Starts a response of unknown length. @pre !has_begun(). */
  auto BeginStream(int status,
                   std::string_view content_type,
                   HttpHeaders extra = {}) -> void;

  /** Appends to the response body.
      @pre BeginStream() was called, End() was not. */
  auto Write(std::string_view data) -> void;

  /** Ends the response that BeginStream() started. */
  auto End() -> void;

  /** Closes the connection at once, so that the caller detects a truncated
     response. */
  auto Abort() -> void;

  /** Calls `callback` if the connection closes before the response is complete.
   */
  auto SetOnDisconnect(Callback callback) -> void {
    this->on_disconnect = std::move(callback);
  }

  /** Calls `callback` whenever all bytes written so far have been sent and
     End() was not called. */
  auto SetOnFlushed(Callback callback) -> void {
    this->on_flushed = std::move(callback);
  }

  //============================================================================
  // Queries

  [[nodiscard]] auto request() const -> const HttpRequest& {
    return this->received;
  }
  /** True until the response is complete or the connection has closed. */
  [[nodiscard]] auto is_open() const -> bool { return this->wsi != nullptr; }
  /** True once Respond() or BeginStream() was called. */
  [[nodiscard]] auto has_begun() const -> bool { return this->begun; }

  /** Bytes written but not yet sent. */
  [[nodiscard]] auto unsent_bytes() const -> std::size_t {
    return this->out.size() - this->out_sent;
  }

 private:
  friend class HttpServer;

  auto Begin(int status, std::string_view content_type, HttpHeaders extra)
      -> void;
  auto RequestWritable() -> void;

  /** Closes the connection after the response. */
  auto SetClosing() -> void { this->closing = true; }

  /** Sends the rest of the response at once. @return as OnWritable().
     @pre End() or Respond() was called. */
  auto SendRest() -> int;

  /** Sends the next part of the response. @return nonzero if the connection
     must close. */
  auto OnWritable() -> int;
  auto SendHead() -> int;
  auto OnClosed() -> void;

  lws* wsi;
  HttpRequest received;
  bool handled = false;  ///< The server's handler was called.
  bool begun = false;
  bool head_sent = false;
  bool chunked = false;
  bool ended = false;
  bool aborted = false;
  bool closing = false;
  int status = 0;
  HttpHeaders head;
  std::size_t content_length = 0;
  std::string out;
  std::size_t out_sent = 0;
  Callback on_disconnect;
  Callback on_flushed;
};

}  // namespace auburnloft

#endif  // AL_EDGE_HTTP_HTTP_EXCHANGE_H_
