#include "router/request_relay.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "al_json/json_reading.h"
#include "router/error_body.h"

namespace auburnloft {

namespace {

using nlohmann::json;

constexpr std::string_view kDoneMarker = "[DONE]";
constexpr std::string_view kUsageKey = "\"usage\":{";
constexpr std::string_view kEventStream = "text/event-stream";
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

/** Unsent bytes for a slow caller above which the upstream connection is not
    read until they are sent. */
constexpr std::size_t kMaxBufferedBytes = 262'144;

/** Maximum size of an event for each token that a chat may produce, beyond the
   usual limit of a response. */
constexpr std::size_t kMaxBytesPerToken = 1'024;

/** Returns the text that an event adds to the answer; empty if it has none. */
auto ContentOf(const SseEvent& event) -> std::string {
  const json chunk = ParseStrictJson(event.data);
  if (!chunk.is_object()) {
    return {};
  }
  const std::vector<json>& choices = FindArray(chunk, "choices");
  if (choices.empty() || !choices.front().is_object()) {
    return {};
  }
  const auto delta = choices.front().find("delta");
  return delta != choices.front().end() && delta->is_object()
             ? FindText(*delta, "content").value_or("")
             : std::string();
}

}  // namespace

RequestRelay::RequestRelay(HttpClient& http,
                           std::shared_ptr<HttpExchange> exchange,
                           ValidatedRequest validated,
                           RequestHandle handle,
                           Callbacks callbacks)
    : http(http),
      exchange(std::move(exchange)),
      request(std::move(validated)),
      handle(handle),
      callbacks(std::move(callbacks)) {
  if (this->request.incoming.resume) {
    this->stream = this->request.incoming.resume->stream;
    this->last_sequence = this->request.incoming.resume->sequence;
  }
  this->exchange->SetOnDisconnect([this] {
    const Tokens delivered =
        this->content_event_count == 0
            ? 0
            : this->request.prompt_estimate +
                  static_cast<Tokens>(this->content_event_count);
    this->callbacks.on_caller_gone({this->handle, delivered});
  });
  this->exchange->SetOnFlushed([this] {
    if (this->call != nullptr) {
      this->call->SetPaused(false);
    }
  });
}

RequestRelay::~RequestRelay() {
  this->exchange->SetOnDisconnect(nullptr);
  this->exchange->SetOnFlushed(nullptr);
  if (this->call != nullptr) {
    this->call->Cancel();
  }
}

//==============================================================================
// Attempts

auto RequestRelay::Start(const Upstream& upstream, int new_attempt) -> void {
  this->attempt = new_attempt;
  this->upstream_name = upstream.id.value();
  this->upstream_address = upstream.address;
  this->stream.clear();
  this->last_sequence = 0;
  this->is_resumed = false;
  HttpCall next;
  next.method = this->request.upstream_method;
  next.path = this->request.upstream_path;
  next.body = this->request.upstream_body;
  if (!this->request.content_type.empty()) {
    next.headers.push_back({"content-type", this->request.content_type});
  }
  next.headers.push_back(
      {"idempotency-key", this->request.incoming.key.value()});
  this->Send(std::move(next));
}

auto RequestRelay::Resume(const Upstream& upstream, int new_attempt) -> void {
  this->attempt = new_attempt;
  this->upstream_name = upstream.id.value();
  this->upstream_address = upstream.address;
  this->is_resumed = true;
  HttpCall next;
  next.path = "/v1/streams/" + this->stream +
              "?after=" + std::to_string(this->last_sequence);
  this->Send(std::move(next));
}

auto RequestRelay::Send(HttpCall next) -> void {
  this->status = 0;
  this->content_type.clear();
  this->execution_denied = false;
  this->body.clear();
  this->parser = SseParser();
  this->has_gap = false;
  this->stream_ended = false;
  if (!this->is_resumed) {
    this->content.clear();
    this->usage.clear();
    this->content_event_count = 0;
  }
  next.address = this->upstream_address;
  if (this->request.is_chat) {
    next.max_response_bytes +=
        kMaxBytesPerToken * static_cast<std::size_t>(std::max<Tokens>(
                                0, this->request.incoming.upper));
  }
  next.response_headers = {"content-type", "auburnloft-run"};
  next.on_head = [this](int code, const HttpHeaders& headers) {
    this->OnHead(code, headers);
  };
  next.on_data = [this](std::string_view data) { this->OnData(data); };
  next.on_end = [this] { this->OnEnd(); };
  next.on_error = [this](bool sent, std::string_view text) {
    this->OnError(sent, text);
  };
  this->call = this->http.Send(std::move(next));
}

auto RequestRelay::Cancel() -> void {
  if (this->call != nullptr) {
    this->call->Cancel();
  }
  if (!this->stream.empty() && !this->stream_ended) {
    HttpCall cancel;
    cancel.address = this->upstream_address;
    cancel.method = "DELETE";
    cancel.path = "/v1/streams/" + this->stream;
    this->http.Send(std::move(cancel));
  }
  if (!this->exchange->is_open()) {
    this->Close();
  }
}

//==============================================================================
// Responses of upstreams

auto RequestRelay::OnHead(int code, const HttpHeaders& headers) -> void {
  this->status = code;
  this->content_type = HeaderValue(headers, "content-type");
  this->execution_denied = HeaderValue(headers, "auburnloft-run") == "no";
}

auto RequestRelay::OnData(std::string_view data) -> void {
  if (!this->request.is_chat || this->status != kOk) {
    this->body += data;
    return;
  }
  const bool parsed = this->parser.Feed(
      data, [this](const SseEvent& event) { this->OnEvent(event); });
  if (!parsed || this->has_gap) {
    this->call->Cancel();
    this->ReportFailure(true, false,
                        "the upstream's stream has a gap or is malformed");
    return;
  }
  if (this->exchange->unsent_bytes() > kMaxBufferedBytes) {
    this->call->SetPaused(true);
  }
}

auto RequestRelay::OnEvent(const SseEvent& event) -> void {
  if (event.data == kDoneMarker) {
    this->stream_ended = true;
    return;
  }
  if (event.data.find(kUsageKey) != std::string_view::npos) {
    const json chunk = ParseStrictJson(event.data);
    if (chunk.is_object() && chunk.contains("usage") &&
        chunk["usage"].is_object()) {
      this->usage = event.data;
      this->used_tokens =
          FindWhole(chunk["usage"], "total_tokens", 0, kMaxWholeNumber)
              .value_or(0);
    }
    return;
  }
  const std::size_t slash = event.id.rfind('/');
  if (slash == std::string_view::npos) {
    // This upstream sends no event IDs: the events are only counted, and the
    // stream cannot be resumed.
    this->OnContentEvent(event, this->last_sequence + 1);
    return;
  }
  std::uint64_t sequence = 0;
  std::from_chars(event.id.data() + slash + 1,
                  event.id.data() + event.id.size(), sequence);
  this->stream = event.id.substr(0, slash);
  if (sequence <= this->last_sequence) {
    return;
  }
  if (sequence != this->last_sequence + 1) {
    this->has_gap = true;
    return;
  }
  this->OnContentEvent(event, sequence);
}

auto RequestRelay::OnContentEvent(const SseEvent& event, std::uint64_t sequence)
    -> void {
  if (this->has_gap) {
    return;
  }
  this->last_sequence = sequence;
  if (++this->content_event_count == 1) {
    this->callbacks.on_first_event();
  }
  if (!this->request.wants_stream) {
    this->content += ContentOf(event);
    return;
  }
  this->BeginStream();
  std::string out;
  if (!this->stream.empty()) {
    out += "id: " + this->upstream_name + "/" + this->stream + "/" +
           std::to_string(sequence) + "\n";
  }
  out += "data: ";
  out += event.data;
  out += "\n\n";
  this->exchange->Write(out);
}

auto RequestRelay::BeginStream() -> void {
  if (this->exchange->has_begun()) {
    return;
  }
  HttpHeaders headers{{"cache-control", "no-store"}};
  if (this->request.incoming.resume) {
    headers.push_back({"auburnloft-resumed", this->is_resumed ? "yes" : "no"});
  }
  this->exchange->BeginStream(kOk, kEventStream, std::move(headers));
}

auto RequestRelay::OnEnd() -> void {
  const bool is_busy =
      this->status == kTooManyRequests || this->status == kUnavailable;
  const bool not_executed = this->execution_denied ||
                            (is_busy && !this->request.incoming.at_most_once);
  if (not_executed || this->status >= kServerError) {
    this->ReportFailure(
        true, not_executed,
        "the upstream answered with status " + std::to_string(this->status));
    return;
  }
  if (this->is_resumed && this->status != kOk) {
    this->stream.clear();
    this->last_sequence = 0;
    this->ReportFailure(true, true, "the upstream no longer has the stream");
    return;
  }
  if (!this->request.is_chat) {
    this->callbacks.on_done({this->handle, this->attempt,
                             this->request.incoming.upper, this->status,
                             this->content_type, this->body});
    return;
  }
  if (this->status == kOk && !this->stream_ended) {
    this->ReportFailure(true, false, "the upstream ended its stream early");
    return;
  }
  this->callbacks.on_done({this->handle, this->attempt,
                           this->status == kOk ? this->used_tokens : Tokens{0},
                           this->status, this->content_type, ""});
}

auto RequestRelay::OnError(bool sent, std::string_view text) -> void {
  if (this->stream_ended) {
    // The response was complete before the connection failed.
    this->callbacks.on_done(
        {this->handle, this->attempt, this->used_tokens, kOk, "", ""});
    return;
  }
  this->ReportFailure(sent, false, text);
}

auto RequestRelay::ReportFailure(bool sent, bool refused, std::string_view text)
    -> void {
  UpstreamFailed failed;
  failed.handle = this->handle;
  failed.attempt = this->attempt;
  failed.sent = sent;
  failed.refused = refused;
  failed.relayed = this->request.wants_stream && this->exchange->has_begun();
  failed.can_resume = !refused && !this->stream.empty();
  failed.text = text;
  this->callbacks.on_failed(failed);
}

//==============================================================================
// Responses to the caller

auto RequestRelay::Refuse(const Refusal& refusal) -> void {
  const std::string text = ErrorBodyOf(refusal);
  if (this->exchange->has_begun()) {
    this->exchange->Write("event: error\ndata: " + text + "\n\n");
    this->exchange->End();
  } else {
    this->exchange->Respond(HttpStatusOf(refusal.code), "application/json",
                            text, ErrorHeadersOf(refusal));
  }
  this->Close();
}

auto RequestRelay::Replay(const ReplayResponse& response) -> void {
  this->exchange->Respond(response.http_status, response.content_type,
                          response.body, {{"auburnloft-replayed", "yes"}});
  this->Close();
}

auto RequestRelay::BuildChatCompletion() const -> std::string {
  const json usage_chunk = ParseStrictJson(this->usage);
  json response;
  response["id"] = this->stream;
  response["object"] = "chat.completion";
  response["model"] = this->request.incoming.model;
  response["choices"] = {
      {{"index", 0},
       {"message", {{"role", "assistant"}, {"content", this->content}}},
       {"finish_reason", "stop"}}};
  if (usage_chunk.is_object()) {
    response["usage"] = usage_chunk["usage"];
  }
  return response.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto RequestRelay::Release() -> void {
  if (!this->request.is_chat || this->status != kOk) {
    this->exchange->Respond(this->status, this->content_type, this->body);
  } else if (this->request.wants_stream) {
    this->BeginStream();
    if (this->request.wants_usage && !this->usage.empty()) {
      this->exchange->Write("data: " + this->usage + "\n\n");
    }
    this->exchange->Write("data: [DONE]\n\n");
    this->exchange->End();
  } else {
    this->exchange->Respond(kOk, "application/json",
                            this->BuildChatCompletion());
  }
  this->Close();
}

auto RequestRelay::Close() -> void {
  if (!std::exchange(this->is_closed, true)) {
    this->callbacks.on_closed();
  }
}

}  // namespace auburnloft
