#include "load/caller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "al_json/json_reading.h"
#include "common/response_script.h"

namespace auburnloft::load {

namespace {

using nlohmann::json;
using standins::ResponseScript;

constexpr int kOk = 200;
constexpr Duration kRetryWait = std::chrono::milliseconds(150);

/** Tokens of the chat template. The cost bound of a chat in docs/API.md is the
 * bytes of the prompt, plus the template, plus the output. */
constexpr Tokens kTemplateTokens = 24;

/** Returns whether the caller retries with the same key after this error code.
 */
auto IsRetryable(std::string_view code) -> bool {
  return code == "draining" || code == "not_ready" || code == "in_progress";
}

/** Returns the text of the first choice of a response or of an event.
    @param part  `message` or `delta`. */
auto ContentOf(const json& object, const char* part) -> std::string {
  const std::vector<json>& choices = FindArray(object, "choices");
  if (choices.empty() || !choices.front().is_object()) {
    return {};
  }
  const auto found = choices.front().find(part);
  return found != choices.front().end() && found->is_object()
             ? FindText(*found, "content").value_or("")
             : std::string();
}

auto TotalTokens(const json& object) -> Tokens {
  const auto usage = object.find("usage");
  return usage != object.end() && usage->is_object()
             ? FindWhole(*usage, "total_tokens", 0, kMaxWholeNumber).value_or(0)
             : 0;
}

}  // namespace

Caller::Caller(EventLoop& loop,
               HttpClient& http,
               EntryAddressTable& entries,
               Request request,
               OnResult on_result)
    : loop(loop),
      http(http),
      entries(entries),
      request(std::move(request)),
      on_result(std::move(on_result)) {
  const RequestKind& kind = *this->request.kind;
  this->result.team = this->request.team->team;
  this->result.kind_name = kind.name;
  this->result.key = this->request.key;
  this->result.is_service = !kind.service.empty();
  this->prompt = std::string(kind.shared_characters, 's') +
                 "[pieces=" + std::to_string(kind.pieces) + "] " +
                 this->request.unique_text;
  if (this->prompt.size() < kind.prompt_characters) {
    this->prompt.append(kind.prompt_characters - this->prompt.size(), '.');
  }
  this->result.max_tokens = this->MaxTokens();
}

auto Caller::MaxTokens() const -> Tokens {
  if (this->result.is_service) {
    return 1;
  }
  return static_cast<Tokens>(this->prompt.size()) + 1 + kTemplateTokens +
         static_cast<Tokens>(this->request.kind->pieces);
}

auto Caller::ChatBody() const -> std::string {
  return json{{"model", this->request.model},
              {"messages", {{{"role", "user"}, {"content", this->prompt}}}},
              {"max_tokens", this->request.kind->pieces},
              {"stream", this->request.kind->stream},
              {"stream_options", {{"include_usage", true}}}}
      .dump();
}

auto Caller::Start() -> void {
  if (this->result.attempts == 0) {
    this->started = this->loop.Now();
  }
  this->entries.PickAddress(
      this->request.team->team, this->request.team->key, this->address,
      [self = this->shared_from_this()](const std::string& address) {
        if (address.empty()) {
          self->OnConnectionError("no address is known");
          return;
        }
        self->Send(address);
      });
}

auto Caller::Send(const std::string& to) -> void {
  const RequestKind& kind = *this->request.kind;
  ++this->result.attempts;
  this->address = to;
  this->status = 0;
  this->is_resumed = false;
  this->body.clear();
  this->parser = SseParser();
  this->stream_error.clear();
  this->has_done_marker = false;
  HttpCall next;
  next.address = to;
  next.headers = {{"authorization", "Bearer " + this->request.team->key},
                  {"idempotency-key", this->request.key},
                  {"content-type", "application/json"}};
  if (this->result.is_service) {
    next.method = kind.method;
    next.path = "/v1/services/" + kind.service + kind.path;
    next.body = kind.method == "GET" ? "" : "{}";
  } else {
    next.method = "POST";
    next.path = "/v1/chat/completions";
    next.body = this->ChatBody();
    if (!kind.request_class.empty()) {
      next.headers.push_back({"auburnloft-class", kind.request_class});
    }
    if (!this->last_event_id.empty()) {
      next.headers.push_back({"last-event-id", this->last_event_id});
    }
  }
  next.response_headers = {"content-type", "auburnloft-resumed"};
  const auto self = this->shared_from_this();
  next.on_head = [self](int code, const HttpHeaders& headers) {
    self->status = code;
    self->is_resumed = HeaderValue(headers, "auburnloft-resumed") == "yes";
    self->is_stream =
        HeaderValue(headers, "content-type").starts_with("text/event-stream");
    if (!self->is_resumed) {
      self->content.clear();
      self->result.pieces = 0;
    }
  };
  next.on_data = [self](std::string_view data) { self->OnData(data); };
  next.on_end = [self] { self->OnEnd(); };
  next.on_error = [self](bool, std::string_view text) {
    self->OnConnectionError(text);
  };
  this->call = this->http.Send(std::move(next));
}

auto Caller::OnData(std::string_view data) -> void {
  if (!this->is_stream) {
    this->body += data;
    return;
  }
  const bool is_valid = this->parser.Feed(
      data, [this](const SseEvent& event) { this->OnEvent(event); });
  if (!is_valid) {
    this->stream_error = "malformed";
  }
  const std::size_t rate = this->request.kind->read_bytes_per_second;
  if (rate > 0) {
    this->call->SetPaused(true);
    const auto wait = Duration(std::chrono::seconds(1)) *
                      static_cast<std::int64_t>(data.size()) /
                      static_cast<std::int64_t>(rate);
    this->loop.ScheduleAfter(wait, [self = this->shared_from_this()] {
      self->call->SetPaused(false);
    });
  }
}

auto Caller::OnEvent(const SseEvent& event) -> void {
  if (event.data == "[DONE]") {
    this->has_done_marker = true;
    return;
  }
  const json chunk = ParseStrictJson(event.data);
  if (!chunk.is_object()) {
    this->stream_error = "malformed";
    return;
  }
  if (chunk.contains("error")) {
    this->stream_error =
        chunk["error"].is_object()
            ? FindText(chunk["error"], "code").value_or("unknown")
            : "unknown";
    return;
  }
  if (chunk.contains("usage") && chunk["usage"].is_object()) {
    this->result.used_tokens = TotalTokens(chunk);
    return;
  }
  if (this->result.first_piece == Duration{0}) {
    this->result.first_piece = this->loop.Now() - this->started;
  }
  ++this->result.pieces;
  this->content += ContentOf(chunk, "delta");
  this->last_event_id = event.id;
}

auto Caller::OnEnd() -> void {
  if (this->is_stream) {
    if (!this->stream_error.empty()) {
      ++this->result.broken_connections;
      this->Finish(ResultKind::kFailed, this->stream_error);
    } else if (!this->has_done_marker) {
      this->OnConnectionError("the stream ended early");
    } else {
      const ResponseScript script(this->prompt + "\n",
                                  this->request.kind->pieces);
      this->Finish(this->content == script.FullText()
                       ? ResultKind::kComplete
                       : ResultKind::kWrongContent,
                   "");
    }
    return;
  }
  if (this->status == kOk) {
    this->OnCompleteBody();
  } else {
    this->OnErrorBody(this->body);
  }
}

auto Caller::OnCompleteBody() -> void {
  this->result.first_piece = this->loop.Now() - this->started;
  const json response = ParseStrictJson(this->body);
  if (this->result.is_service) {
    const bool matches =
        response.is_object() && FindText(response, "done") == this->request.key;
    this->result.used_tokens = this->result.max_tokens;
    this->Finish(matches ? ResultKind::kComplete : ResultKind::kWrongContent,
                 "");
    return;
  }
  const ResponseScript script(this->prompt + "\n", this->request.kind->pieces);
  const bool matches = response.is_object() &&
                       ContentOf(response, "message") == script.FullText();
  if (matches) {
    this->result.used_tokens = TotalTokens(response);
  }
  this->Finish(matches ? ResultKind::kComplete : ResultKind::kWrongContent, "");
}

auto Caller::OnErrorBody(std::string_view text) -> void {
  const json response = ParseStrictJson(text);
  if (!response.is_object() || !response.contains("error") ||
      !response["error"].is_object()) {
    this->Finish(ResultKind::kFailed, "status " + std::to_string(this->status));
    return;
  }
  const json& error = response["error"];
  const std::string code = FindText(error, "code").value_or("");
  if (IsRetryable(code) && this->result.attempts < this->request.max_attempts) {
    if (code == "draining") {
      this->entries.Expire(this->request.team->team);
    }
    constexpr std::int64_t kDefaultRetryMs = 200;
    constexpr std::int64_t kMaxRetryMs = 60'000;
    this->Retry(std::chrono::milliseconds(
        FindWhole(error, "retry_after_ms", 0, kMaxRetryMs)
            .value_or(kDefaultRetryMs)));
    return;
  }
  const std::string executed = FindText(error, "run").value_or("unknown");
  this->Finish(executed == "no"        ? ResultKind::kRefused
               : executed == "unknown" ? ResultKind::kUnknown
                                       : ResultKind::kFailed,
               code);
}

auto Caller::OnConnectionError(std::string_view text) -> void {
  if (this->result.pieces > 0) {
    ++this->result.broken_connections;
  }
  if (this->result.attempts >= this->request.max_attempts) {
    this->Finish(ResultKind::kFailed, std::string(text));
    return;
  }
  this->entries.Expire(this->request.team->team);
  this->Retry(kRetryWait * (this->result.attempts + 1));
}

auto Caller::Retry(Duration wait) -> void {
  this->loop.ScheduleAfter(
      wait, [self = this->shared_from_this()] { self->Start(); });
}

auto Caller::Finish(ResultKind kind, std::string code) -> void {
  this->result.kind = kind;
  this->result.code = std::move(code);
  this->result.total = this->loop.Now() - this->started;
  this->on_result(this->result);
}

}  // namespace auburnloft::load
