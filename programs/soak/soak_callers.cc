#include "soak/soak_callers.h"

#include <array>
#include <iostream>
#include <string_view>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_gateway/streams/event_splitter.h"
#include "platform/wire_names.h"
#include "wire/test_caller_request.h"

namespace auburnloft::soak {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

constexpr std::array<RequestKind, 4> kKinds = {{{"/summaries/", true, true},
                                                {"/questions/", true, false},
                                                {"/payouts/", false, true},
                                                {"/tickets/", false, false}}};

/** One in this many requests probes which configuration a router uses. */
constexpr std::uint64_t kProbeEvery = 10;

/** The rest of the path of requests that crash upstreams. */
constexpr std::string_view kDeadlyPath = "deadly";

/** Highest distance of a probed route above the newest served route. */
constexpr std::uint64_t kProbeAhead = 1;

constexpr Duration kConnectTimeout = std::chrono::seconds(2);
constexpr Duration kRequestTimeout = std::chrono::seconds(9);
constexpr std::string_view kDeadlineMs = "8000";

/** Returns the text of a complete stream of the stand-in upstreams. */
auto ExpectedStream() -> std::string {
  constexpr int kEvents = 8;
  std::string text;
  for (int number = 1; number <= kEvents; ++number) {
    const std::string digits = std::to_string(number);
    text.append("id: ").append(digits);
    text.append("\ndata: event ").append(digits).append("\n\n");
  }
  return text;
}

}  // namespace

struct SoakCallers::Call {
  RequestResult result;
  std::uint64_t probed_route = 0;  ///< Configuration version; 0 if not a probe.
  std::uint64_t newest_route_when_sent =
      0;  ///< Newest route the router had served when the probe was sent.
  std::string body;
  gateway::EventSplitter events;
  Connection connection;
  std::unique_ptr<LoopTimer> timeout;
};

SoakCallers::SoakCallers(SocketPoller& poller, Settings settings)
    : poller(poller),
      settings(std::move(settings)),
      random(this->settings.seed),
      timer(std::make_unique<LoopTimer>(poller.loop(),
                                        [this] { this->SendNext(); })) {}

SoakCallers::~SoakCallers() = default;

auto SoakCallers::Start() -> void {
  this->SendNext();
}

auto SoakCallers::Stop() -> void {
  this->timer->Stop();
}

auto SoakCallers::SendNext() -> void {
  constexpr double kMicrosPerSecond = 1e6;
  this->timer->Start(Duration(static_cast<std::int64_t>(
      2.0 * this->random.UniformDouble() * kMicrosPerSecond /
      this->settings.requests_per_second)));
  if (this->settings.deadly_fraction > 0.0 &&
      this->random.Bernoulli(this->settings.deadly_fraction)) {
    this->SendDeadly();
  } else if (this->random.UniformBelow(kProbeEvery) == 0) {
    this->SendProbe();
  } else {
    this->SendRequest();
  }
}

auto SoakCallers::SendRequest() -> void {
  constexpr std::uint64_t kMinTokens = 100;
  constexpr std::uint64_t kTokenRange = 1'500;
  auto call = this->NewCall();
  RequestResult& result = call->result;
  result.kind = &kKinds[this->random.UniformBelow(kKinds.size())];
  result.team = this->random.Bernoulli(0.5) ? "parish-collectors" : "garages";
  result.prompt_tokens = kMinTokens + this->random.UniformBelow(kTokenRange);
  const std::string path = std::string(result.kind->path) + result.id;
  this->Send(std::move(call), path);
}

auto SoakCallers::SendProbe() -> void {
  auto call = this->NewCall();
  call->result.kind = &kKinds[3];
  call->result.team = "garages";
  call->newest_route_when_sent = this->newest_served_route[call->result.router];
  call->probed_route = std::max<std::uint64_t>(
      1, call->newest_route_when_sent +
             this->random.UniformBelow(kProbeAhead + 1));
  const std::string path =
      "/version-" + std::to_string(call->probed_route) + "/x";
  this->Send(std::move(call), path);
}

auto SoakCallers::SendDeadly() -> void {
  auto call = this->NewCall();
  RequestResult& result = call->result;
  result.kind = this->random.Bernoulli(0.5) ? &kKinds[2] : &kKinds[3];
  result.is_deadly = true;
  result.team = "garages";
  this->Send(std::move(call),
             std::string(result.kind->path) + std::string(kDeadlyPath));
}

auto SoakCallers::NewCall() -> std::unique_ptr<Call> {
  auto call = std::make_unique<Call>();
  call->result.id =
      std::to_string(this->settings.seed) + "-" + std::to_string(this->sent++);
  call->result.router = this->PickRouter();
  return call;
}

auto SoakCallers::SerializeRequest(const RequestResult& result,
                                   const std::string& path) -> std::string {
  standins::TestCallerRequest request;
  request.id = result.id;
  request.host = "demo";
  request.path = path;
  request.key = result.team == "garages" ? "garage-key" : "collector-key";
  request.deadline_ms = kDeadlineMs;
  if (result.kind->streams) {
    request.tokens = std::to_string(result.prompt_tokens) + ",40";
    request.prompt_parts = "aa:50,bb:50";
  }
  return auburnloft::SerializeRequest(standins::MakeHttpRequest(request));
}

auto SoakCallers::Send(std::unique_ptr<Call> call, const std::string& path)
    -> void {
  RequestResult& result = call->result;
  call->connection = this->ConnectionTo(result.router);
  Call* const opened = call.get();
  this->calls.push_back(std::move(call));
  if (!opened->connection) {
    this->poller.loop().Post(
        [this, opened] { this->OnDone(*opened, Http1Outcome::kNotSent); });
    return;
  }
  opened->timeout =
      std::make_unique<LoopTimer>(this->poller.loop(), [this, opened] {
        opened->connection->Close();
        this->OnDone(*opened, Http1Outcome::kBroken);
      });
  opened->timeout->Start(kRequestTimeout);
  Http1ClientConnection::ExchangeCallbacks callbacks;
  callbacks.on_head = [this, opened](const Http1ResponseHead& head) {
    this->OnHead(*opened, head);
  };
  callbacks.on_body = [this, opened](const std::string& part) {
    this->OnBody(*opened, part);
  };
  callbacks.on_done = [this, opened](Http1Outcome outcome) {
    this->OnDone(*opened, outcome);
  };
  opened->connection->Start(SerializeRequest(opened->result, path), false,
                            std::move(callbacks));
}

auto SoakCallers::OnHead(Call& call, const Http1ResponseHead& head) -> void {
  call.result.status = head.status;
  const std::string expected_seal = "seal-" + call.result.id;
  const auto seal = head.fields.Find(platform::kSealHeader);
  const auto id = head.fields.Find(platform::kAttemptIdHeader);
  call.result.is_mixed = (seal && *seal != expected_seal) ||
                         (id && *id != call.result.id) ||
                         (head.status == kOk && !seal);
}

auto SoakCallers::OnBody(Call& call, const std::string& bytes) -> void {
  if (call.result.kind->streams && call.result.status == kOk) {
    call.body += call.events.Feed(bytes);
    call.result.events = call.events.event_count();
    call.result.is_mixed = call.result.is_mixed || call.events.has_gap();
  } else {
    call.body += bytes;
  }
}

auto SoakCallers::OnDone(Call& call, Http1Outcome outcome) -> void {
  RequestResult& result = call.result;
  result.was_sent = outcome != Http1Outcome::kNotSent;
  result.is_complete = outcome == Http1Outcome::kComplete;
  if (result.is_complete && result.status == kOk) {
    const bool matches =
        call.body + std::string(call.events.rest()) ==
        (result.kind->streams ? ExpectedStream() : "answer to " + result.id);
    result.is_mixed = result.is_mixed || !matches;
  }
  if (call.probed_route > 0) {
    this->OnProbeDone(call);
  }
  if (call.connection && call.connection->is_reusable()) {
    this->idle_connections[result.router].push_back(call.connection);
  }
  this->finished.push_back(result);
  this->poller.loop().Post([this, done = &call] {
    std::erase_if(this->calls,
                  [done](const auto& item) { return item.get() == done; });
  });
}

auto SoakCallers::OnProbeDone(const Call& call) -> void {
  if (!call.result.is_complete) {
    return;
  }
  std::uint64_t& newest = this->newest_served_route[call.result.router];
  if (call.result.status == kOk) {
    newest = std::max(newest, call.probed_route);
  } else if (call.result.status == kNotFound &&
             call.probed_route <= call.newest_route_when_sent) {
    ++this->reversions;
    std::cerr << "violation: " << call.result.router
              << " reverted its configuration: no route for version "
              << call.probed_route << "\n";
  }
}

auto SoakCallers::PickRouter() -> const std::string& {
  return this->settings
      .routers[this->random.UniformBelow(this->settings.routers.size())];
}

auto SoakCallers::ConnectionTo(const std::string& router) -> Connection {
  std::vector<Connection>& candidates = this->idle_connections[router];
  while (!candidates.empty()) {
    Connection connection = candidates.back();
    candidates.pop_back();
    if (connection->is_reusable()) {
      return connection;
    }
  }
  return Http1ClientConnection::Connect(this->poller, router, kConnectTimeout);
}

}  // namespace auburnloft::soak
