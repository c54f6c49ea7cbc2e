#include "router/request_relay.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "router/error_body.h"

namespace auburnloft {

namespace {

using nlohmann::json;

constexpr std::string_view kDone = "[DONE]";
constexpr std::string_view kUsageMark = "\"usage\":{";
constexpr std::string_view kEventStream = "text/event-stream";
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

/** Bytes that may wait for a slow caller before its upstream is not read any
 * further. */
constexpr std::size_t kPauseAbove = 262'144;

}  // namespace

RequestRelay::RequestRelay(HttpClient& http,
                           std::shared_ptr<HttpExchange> exchange,
                           ValidatedRequest validated,
                           RequestHandle handle,
                           Events events)
    : http(http),
      exchange(std::move(exchange)),
      request(std::move(validated)),
      handle(handle),
      events(std::move(events)) {
  if (this->request.incoming.resume) {
    this->stream = this->request.incoming.resume->stream;
    this->last_sequence = this->request.incoming.resume->sequence;
  }
  this->exchange->SetOnGone([this] {
    const Tokens delivered = this->piece_count == 0
                                 ? 0
                                 : this->request.prompt_estimate +
                                       static_cast<Tokens>(this->piece_count);
    this->events.on_gone({this->handle, delivered});
  });
  this->exchange->SetOnDrained([this] {
    if (this->call != nullptr) {
      this->call->SetPaused(false);
    }
  });
}

RequestRelay::~RequestRelay() {
  this->exchange->SetOnGone(nullptr);
  this->exchange->SetOnDrained(nullptr);
  if (this->call != nullptr) {
    this->call->Cancel();
  }
}

//==============================================================================
// Calls to upstreams

auto RequestRelay::Start(const Upstream& upstream, int new_attempt) -> void {
  this->attempt = new_attempt;
  this->upstream_name = upstream.id.value();
  this->upstream_address = upstream.address;
  this->stream.clear();
  this->last_sequence = 0;
  this->resumed = false;
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
  this->resumed = true;
  HttpCall next;
  next.path = "/v1/streams/" + this->stream +
              "?after=" + std::to_string(this->last_sequence);
  this->Send(std::move(next));
}

auto RequestRelay::Send(HttpCall next) -> void {
  this->status = 0;
  this->content_type.clear();
  this->run_denied = false;
  this->body.clear();
  this->parser = SseParser();
  this->gap = false;
  this->stream_ended = false;
  if (!this->resumed) {
    this->content.clear();
    this->usage.clear();
    this->piece_count = 0;
  }
  next.address = this->upstream_address;
  next.answer_headers = {"content-type", "auburnloft-run"};
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
  if (!this->exchange->IsOpen()) {
    this->Close();
  }
}

//==============================================================================
// Answers of upstreams

auto RequestRelay::OnHead(int code, const HttpHeaders& headers) -> void {
  this->status = code;
  this->content_type = HeaderValue(headers, "content-type");
  this->run_denied = HeaderValue(headers, "auburnloft-run") == "no";
}

auto RequestRelay::OnData(std::string_view data) -> void {
  if (!this->request.is_chat || this->status != kOk) {
    this->body += data;
    return;
  }
  const bool fed = this->parser.Feed(
      data, [this](const SseEvent& event) { this->OnEvent(event); });
  if (!fed || this->gap) {
    this->call->Cancel();
    this->Fail(true, false, "the upstream's stream has a gap or is malformed");
    return;
  }
  if (this->exchange->Buffered() > kPauseAbove) {
    this->call->SetPaused(true);
  }
}

auto RequestRelay::OnEvent(const SseEvent& event) -> void {
  if (event.data == kDone) {
    this->stream_ended = true;
    return;
  }
  if (event.data.find(kUsageMark) != std::string_view::npos) {
    const json chunk = json::parse(event.data, nullptr, false);
    if (chunk.is_object() && chunk["usage"].is_object()) {
      this->usage = event.data;
      this->spent = chunk["usage"].value("total_tokens", Tokens{0});
    }
    return;
  }
  const std::size_t slash = event.id.rfind('/');
  if (slash == std::string_view::npos) {
    // An upstream without event ids: pieces are counted, and the stream cannot
    // be taken up again.
    this->OnPiece(event, this->last_sequence + 1);
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
    this->gap = true;
    return;
  }
  this->OnPiece(event, sequence);
}

auto RequestRelay::OnPiece(const SseEvent& event, std::uint64_t sequence)
    -> void {
  if (this->gap) {
    return;
  }
  this->last_sequence = sequence;
  if (++this->piece_count == 1) {
    this->events.on_first_piece();
  }
  if (!this->request.wants_stream) {
    const json chunk = json::parse(event.data, nullptr, false);
    if (chunk.is_object() && chunk.contains("choices") &&
        !chunk["choices"].empty()) {
      this->content += chunk["choices"][0]["delta"].value("content", "");
    }
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
  if (this->exchange->HasBegun()) {
    return;
  }
  HttpHeaders headers{{"cache-control", "no-store"}};
  if (this->request.incoming.resume) {
    headers.push_back({"auburnloft-resumed", this->resumed ? "yes" : "no"});
  }
  this->exchange->BeginStream(kOk, kEventStream, std::move(headers));
}

auto RequestRelay::OnEnd() -> void {
  const bool is_busy =
      this->status == kTooManyRequests || this->status == kUnavailable;
  const bool ran_nothing =
      this->run_denied || (is_busy && !this->request.incoming.at_most_once);
  if (ran_nothing || this->status >= kServerError) {
    this->Fail(
        true, ran_nothing,
        "the upstream answered with status " + std::to_string(this->status));
    return;
  }
  if (this->resumed && this->status != kOk) {
    this->stream.clear();
    this->last_sequence = 0;
    this->Fail(true, true, "the upstream no longer has the stream");
    return;
  }
  if (!this->request.is_chat) {
    this->events.on_done({this->handle, this->attempt,
                          this->request.incoming.upper, this->status,
                          this->content_type, this->body});
    return;
  }
  if (this->status == kOk && !this->stream_ended) {
    this->Fail(true, false, "the upstream ended its stream early");
    return;
  }
  this->events.on_done({this->handle, this->attempt,
                        this->status == kOk ? this->spent : Tokens{0},
                        this->status, this->content_type, ""});
}

auto RequestRelay::OnError(bool sent, std::string_view text) -> void {
  if (this->stream_ended) {
    // Everything was there before the connection broke.
    this->events.on_done(
        {this->handle, this->attempt, this->spent, kOk, "", ""});
    return;
  }
  this->Fail(sent, false, text);
}

auto RequestRelay::Fail(bool sent, bool refused, std::string_view text)
    -> void {
  UpstreamFailed failed;
  failed.handle = this->handle;
  failed.attempt = this->attempt;
  failed.sent = sent;
  failed.refused = refused;
  failed.relayed = this->request.wants_stream && this->exchange->HasBegun();
  failed.can_resume = !refused && !this->stream.empty();
  failed.text = text;
  this->events.on_failed(failed);
}

//==============================================================================
// Answers to the caller

auto RequestRelay::Refuse(const Refusal& refusal) -> void {
  const std::string text = ErrorBodyOf(refusal);
  if (this->exchange->HasBegun()) {
    this->exchange->Write("event: error\ndata: " + text + "\n\n");
    this->exchange->End();
  } else {
    this->exchange->Respond(HttpStatusOf(refusal.code), "application/json",
                            text, ErrorHeadersOf(refusal));
  }
  this->Close();
}

auto RequestRelay::Replay(const ReplayResponse& answer) -> void {
  this->exchange->Respond(answer.http_status, answer.content_type, answer.body,
                          {{"auburnloft-replayed", "yes"}});
  this->Close();
}

auto RequestRelay::WholeAnswer() const -> std::string {
  const json usage_chunk = json::parse(this->usage, nullptr, false);
  json answer;
  answer["id"] = this->stream;
  answer["object"] = "chat.completion";
  answer["model"] = this->request.incoming.model;
  answer["choices"] = {
      {{"index", 0},
       {"message", {{"role", "assistant"}, {"content", this->content}}},
       {"finish_reason", "stop"}}};
  if (usage_chunk.is_object()) {
    answer["usage"] = usage_chunk["usage"];
  }
  return answer.dump(-1, ' ', false, json::error_handler_t::replace);
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
    this->exchange->Respond(kOk, "application/json", this->WholeAnswer());
  }
  this->Close();
}

auto RequestRelay::Close() -> void {
  if (!std::exchange(this->closed, true)) {
    this->events.on_closed();
  }
}

}  // namespace auburnloft
