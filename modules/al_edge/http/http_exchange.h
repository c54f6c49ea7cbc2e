#ifndef AL_EDGE_HTTP_HTTP_EXCHANGE_H_
#define AL_EDGE_HTTP_HTTP_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "al_edge/http/http_types.h"

struct lws;

namespace auburnloft {

/** One request to an HttpServer and its answer.

    Answer with Respond(), or with BeginStream(), any number of Write() and
   End(). After the connection is gone all of these do nothing.

    Thread safety: none; used on the loop's thread.

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

  /** Answers with a whole body. @pre nothing was answered before. */
  auto Respond(int status,
               std::string_view content_type,
               std::string_view body,
               HttpHeaders extra = {}) -> void;

  /** Begins an answer of unknown length. @pre nothing was answered before. */
  auto BeginStream(int status,
                   std::string_view content_type,
                   HttpHeaders extra = {}) -> void;

  /** Adds to the answer. @pre BeginStream() was called, End() was not. */
  auto Write(std::string_view data) -> void;

  /** Ends the answer that BeginStream() began. */
  auto End() -> void;

  /** Closes the connection at once: the caller sees a broken answer. */
  auto Abort() -> void;

  /** Calls `callback` when the connection goes before the answer has ended. */
  auto SetOnDisconnect(Callback callback) -> void {
    this->on_disconnect = std::move(callback);
  }

  /** Calls `callback` whenever all that was written has been sent. */
  auto SetOnFlushed(Callback callback) -> void {
    this->on_flushed = std::move(callback);
  }

  //============================================================================
  // Queries

  [[nodiscard]] auto request() const -> const HttpRequest& {
    return this->received;
  }
  [[nodiscard]] auto is_open() const -> bool { return this->wsi != nullptr; }
  [[nodiscard]] auto has_begun() const -> bool { return this->begun; }

  /** Bytes that were written and not yet sent. */
  [[nodiscard]] auto unsent_bytes() const -> std::size_t {
    return this->out.size() - this->out_sent;
  }

 private:
  friend class HttpServer;

  auto Begin(int status, std::string_view content_type, HttpHeaders extra)
      -> void;
  auto WantWrite() -> void;

  /** Sends what it can. @return nonzero where the connection must close. */
  auto OnWritable() -> int;
  auto SendHead() -> int;
  auto OnClosed() -> void;

  lws* wsi;
  HttpRequest received;
  bool begun = false;
  bool head_sent = false;
  bool chunked = false;
  bool ended = false;
  bool aborted = false;
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
