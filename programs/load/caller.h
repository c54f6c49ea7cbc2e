#ifndef PROGRAMS_LOAD_CALLER_H_
#define PROGRAMS_LOAD_CALLER_H_

#include <functional>
#include <memory>
#include <string>

#include "al_edge/http/sse_parser.h"
#include "al_edge/loop/event_loop.h"
#include "al_http1/http_client.h"
#include "load/entry_address_table.h"
#include "load/request_result.h"
#include "load/workload.h"

namespace auburnloft::load {

/** Sends one request with an idempotency key, compares the response with the
   expected text and retries with the same key after a broken connection or a
   retryable error.

    Thread safety: none; used on the loop's thread.
*/
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  using OnResult = std::function<void(const RequestResult& result)>;

  struct Request {
    const TeamLoad* team = nullptr;
    const RequestKind* kind = nullptr;
    std::string model;
    std::string key;  ///< A UUID of version 7.
    std::string
        unique_text;  ///< Part of the prompt that no other request contains.
    int max_attempts = 6;
  };

  Caller(EventLoop& loop,
         HttpClient& http,
         EntryAddressTable& entries,
         Request request,
         OnResult on_result);

  Caller(const Caller&) = delete;
  auto operator=(const Caller&) -> Caller& = delete;

  /** Sends the request, or sends it again after a retryable failure. */
  auto Start() -> void;

  /** Returns the upper bound of the request's cost, computed as the router
   * does. */
  [[nodiscard]] auto MaxTokens() const -> Tokens;

 private:
  auto Send(const std::string& to) -> void;
  auto OnData(std::string_view data) -> void;
  auto OnEvent(const SseEvent& event) -> void;
  auto OnEnd() -> void;
  auto OnConnectionError(std::string_view text) -> void;
  auto OnErrorBody(std::string_view text) -> void;
  auto OnCompleteBody() -> void;
  auto Retry(Duration wait) -> void;
  auto Finish(ResultKind kind, std::string code) -> void;
  [[nodiscard]] auto ChatBody() const -> std::string;

  EventLoop& loop;
  HttpClient& http;
  EntryAddressTable& entries;
  Request request;
  OnResult on_result;
  RequestResult result;
  std::string prompt;
  Instant started;
  std::string address;
  std::shared_ptr<HttpCallHandle> call;
  int status = 0;
  bool is_resumed = false;
  bool is_stream = false;
  std::string body;
  SseParser parser;
  std::string content;
  std::string last_event_id;
  std::string stream_error;
  bool has_done_marker = false;
};

}  // namespace auburnloft::load

#endif  // PROGRAMS_LOAD_CALLER_H_
