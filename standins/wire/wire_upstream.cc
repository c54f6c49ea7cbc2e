#include "wire/wire_upstream.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "platform/wire_names.h"

namespace auburnloft::standins {

namespace {

/** Value of Retry-After of a busy upstream, in seconds. */
constexpr std::string_view kBusySeconds = "2";

/** Value of the limit that a limited upstream names, in requests a second. */
constexpr std::string_view kLimitPerSecond = "1.5";

/** The prompt part that crashes an upstream with the fault kDeadlyPart. */
constexpr std::string_view kDeadlyPartPrefix = "dead:";

}  // namespace

/** An event stream in progress. */
struct WireUpstream::Stream {
  Session session;
  std::uint64_t next = 1;
  std::uint64_t last = 1;
  bool has_deadly_part = false;
  std::unique_ptr<LoopTimer> timer;
};

WireUpstream::WireUpstream(SocketPoller& poller, Settings settings)
    : poller(poller),
      settings(std::move(settings)),
      server(poller,
             this->limits,
             [this](const Session& session, const Http1Request& request) {
               this->OnRequest(session, request);
             }) {}

WireUpstream::~WireUpstream() = default;

auto WireUpstream::Listen() -> bool {
  return this->server.Listen(this->settings.address);
}

auto WireUpstream::Entry(std::string_view service,
                         std::string_view domain,
                         bool leaving) const -> std::string {
  nlohmann::json entry;
  entry["Service"] = service;
  entry["Address"] = this->settings.announced_address.empty()
                         ? this->settings.address
                         : this->settings.announced_address;
  entry["Zone"] = domain;
  entry["Version"] = this->settings.version;
  entry["BatchSlots"] = 8;
  entry["State"] = leaving ? "draining" : "ready";
  entry["born"] = this->settings.start_unix_ms;
  return entry.dump();
}

//==============================================================================

auto WireUpstream::OnRequest(const Session& session,
                             const Http1Request& request) -> void {
  if (request.target == "/faults") {
    this->OnFaults(session, request.body);
    return;
  }
  this->newest_request = request;
  const std::string id(
      request.fields.Find(platform::kAttemptIdHeader).value_or(""));
  if (request.fields.Find(platform::kExpectHeader) != this->settings.id) {
    session->Respond(HeadFor(421, id), {});
    return;
  }
  if (this->fault == Fault::kFull || this->fault == Fault::kBusy) {
    Http1ResponseHead head = HeadFor(503, id);
    head.fields.Add(platform::kNotExecutedHeader, "1");
    if (this->fault == Fault::kBusy) {
      head.fields.Add("Retry-After", kBusySeconds);
    }
    session->Respond(head, {});
    return;
  }
  this->executed_ids.push_back(id);
  if (this->on_execution) {
    this->on_execution(id);
  }
  if (this->fault == Fault::kSilent) {
    return;
  }
  if (this->fault == Fault::kResponseLost) {
    session->Abort();
  } else if (this->fault == Fault::kFails) {
    Http1ResponseHead head = HeadFor(500, id);
    head.fields.Add(platform::kSealHeader, "seal-" + id);
    session->Respond(head, "failed");
  } else if (request.fields.Find(platform::kTokensHeader)) {
    std::uint64_t from = 0;
    const std::string_view text =
        request.fields.Find(platform::kLastEventHeader).value_or("0");
    std::from_chars(text.data(), text.data() + text.size(), from);
    this->StartStream(session, request, from + 1);
  } else {
    this->StartPlainResponse(session, id);
  }
}

auto WireUpstream::HeadFor(int status, std::string_view id) const
    -> Http1ResponseHead {
  Http1ResponseHead head;
  head.status = status;
  head.reason = "Answer";
  head.fields.Add(platform::kAttemptIdHeader, id);
  if (this->drain_requested) {
    head.fields.Add(platform::kLeavingHeader, "1");
  }
  if (this->fault == Fault::kLimited) {
    head.fields.Add(platform::kLimitHeader, kLimitPerSecond);
  }
  return head;
}

auto WireUpstream::Crash() -> void {
  for (const auto& stream : std::exchange(this->streams, {})) {
    stream->session->Abort();
  }
}

auto WireUpstream::OnFaults(const Session& session, const std::string& word)
    -> void {
  struct Named {
    std::string_view word;
    Fault fault;
  };
  constexpr std::array<Named, 10> kFaults = {{{"none", Fault::kNone},
                                              {"full", Fault::kFull},
                                              {"busy", Fault::kBusy},
                                              {"deadly", Fault::kDeadlyPart},
                                              {"limited", Fault::kLimited},
                                              {"lost", Fault::kResponseLost},
                                              {"breaks", Fault::kBreaksStream},
                                              {"extra", Fault::kWrongAttemptId},
                                              {"fails", Fault::kFails},
                                              {"silent", Fault::kSilent}}};
  const auto found = std::ranges::find(kFaults, word, &Named::word);
  if (found != kFaults.end()) {
    this->fault = found->fault;
  } else if (word == "leaving") {
    this->drain_requested = true;
  }
  const bool known = found != kFaults.end() || word == "leaving";
  session->Respond(HeadFor(known ? 200 : 400, ""), {});
}

auto WireUpstream::StartPlainResponse(const Session& session,
                                      const std::string& id) -> void {
  if (this->settings.plain_delay == Duration(0)) {
    this->SendPlainResponse(*session, id);
    return;
  }
  this->poller.loop().ScheduleAfter(
      this->settings.plain_delay,
      [this, id, weak = std::weak_ptr<Http1ServerSession>(session)] {
        const Session waiting = weak.lock();
        if (waiting && waiting->is_serving()) {
          this->SendPlainResponse(*waiting, id);
        }
      });
}

auto WireUpstream::SendPlainResponse(Http1ServerSession& session,
                                     const std::string& id) -> void {
  Http1ResponseHead head =
      HeadFor(200, this->fault == Fault::kWrongAttemptId ? "another" : id);
  head.fields.Add(platform::kSealHeader, "seal-" + id);
  session.Respond(head, "answer to " + id);
}

auto WireUpstream::StartStream(const Session& session,
                               const Http1Request& request,
                               std::uint64_t from) -> void {
  const std::string id(
      request.fields.Find(platform::kAttemptIdHeader).value_or(""));
  Http1ResponseHead head = HeadFor(200, id);
  head.fields.Add(platform::kSealHeader, "seal-" + id);
  head.fields.Add("Content-Type", "text/event-stream");
  session->StartResponse(head);
  auto stream = std::make_unique<Stream>();
  stream->session = session;
  stream->next = from;
  stream->last = this->EventCount(request);
  stream->has_deadly_part =
      request.fields.Find(platform::kPromptHeader)
          .value_or("")
          .find(kDeadlyPartPrefix) != std::string_view::npos;
  stream->timer = std::make_unique<LoopTimer>(
      this->poller.loop(),
      [this, started = stream.get()] { this->SendEvent(*started); });
  stream->timer->Start(this->settings.first_event_delay);
  session->SetExchangeCallbacks(
      {[this, started = stream.get()] { this->RemoveStream(started); }, {}});
  this->streams.push_back(std::move(stream));
}

auto WireUpstream::EventCount(const Http1Request& request) const
    -> std::uint64_t {
  const std::string_view tokens =
      request.fields.Find(platform::kTokensHeader).value_or("");
  const std::size_t comma = tokens.find(',');
  if (this->settings.tokens_per_event == 0 || comma == std::string_view::npos) {
    return this->settings.events;
  }
  std::uint64_t output = 0;
  std::from_chars(tokens.data() + comma + 1, tokens.data() + tokens.size(),
                  output);
  return output / this->settings.tokens_per_event;
}

auto WireUpstream::SendEvent(Stream& stream) -> void {
  if (this->fault == Fault::kDeadlyPart && stream.has_deadly_part) {
    this->Crash();
    return;
  }
  if (this->fault == Fault::kBreaksStream && stream.next == 2) {
    const Session session = stream.session;
    session->Send("id: 2\nda");
    this->RemoveStream(&stream);
    session->Abort();
    return;
  }
  // A stream that is resumed after its last event only ends.
  if (stream.next <= stream.last) {
    std::string event = "id: " + std::to_string(stream.next) +
                        "\ndata: event " + std::to_string(stream.next) +
                        std::string(this->settings.event_padding, '.');
    if (this->settings.marks_events) {
      event.append(" ").append(this->settings.version);
    }
    stream.session->Send(event + "\n\n");
  }
  if (stream.next++ >= stream.last) {
    const Session session = stream.session;
    this->RemoveStream(&stream);
    session->FinishResponse();
    return;
  }
  stream.timer->Start(this->settings.event_interval);
}

auto WireUpstream::RemoveStream(const Stream* stream) -> void {
  std::erase_if(this->streams,
                [stream](const auto& item) { return item.get() == stream; });
}

}  // namespace auburnloft::standins
