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

/** One in so many requests asks which configuration is in force. */
constexpr std::uint64_t kProbeEvery = 10;

/** How far above the newest known route a probe asks. */
constexpr std::uint64_t kProbeAhead = 1;

constexpr Duration kConnectLimit = std::chrono::seconds(2);
constexpr Duration kCallLimit = std::chrono::seconds(9);
constexpr std::string_view kDeadlineMs = "8000";

/** What a stream of the stand-ins holds. */
auto WholeStream() -> std::string {
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
  AttemptResult result;
  std::uint64_t probed_route = 0;  ///< 0: no probe.
  std::uint64_t route_was = 0;     ///< The newest served when it was sent.
  std::string body;
  gateway::EventSplitter events;
  Connection connection;
  std::unique_ptr<LoopTimer> limit;
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
  this->timer->Start(Duration(
      static_cast<std::int64_t>(2.0 * this->random.Unit() * kMicrosPerSecond /
                                this->settings.requests_per_second)));
  if (this->random.Below(kProbeEvery) == 0) {
    this->SendProbe();
  } else {
    this->SendRequest();
  }
}

auto SoakCallers::SendRequest() -> void {
  constexpr std::uint64_t kLeastTokens = 100;
  constexpr std::uint64_t kTokenRange = 1'500;
  auto call = this->NewCall();
  AttemptResult& attempt = call->result;
  attempt.kind = &kKinds[this->random.Below(kKinds.size())];
  attempt.team = this->random.Chance(0.5) ? "parish-collectors" : "garages";
  attempt.prompt_tokens = kLeastTokens + this->random.Below(kTokenRange);
  const std::string path = std::string(attempt.kind->path) + attempt.id;
  this->Send(std::move(call), path);
}

auto SoakCallers::SendProbe() -> void {
  auto call = this->NewCall();
  call->result.kind = &kKinds[3];
  call->result.team = "garages";
  call->route_was = this->newest_route[call->result.router];
  call->probed_route = std::max<std::uint64_t>(
      1, call->route_was + this->random.Below(kProbeAhead + 1));
  const std::string path =
      "/version-" + std::to_string(call->probed_route) + "/x";
  this->Send(std::move(call), path);
}

auto SoakCallers::NewCall() -> std::unique_ptr<Call> {
  auto call = std::make_unique<Call>();
  call->result.id =
      std::to_string(this->settings.seed) + "-" + std::to_string(this->sent++);
  call->result.router = this->AnyRouter();
  return call;
}

auto SoakCallers::BytesOf(const AttemptResult& attempt, const std::string& path)
    -> std::string {
  standins::TestCallerRequest request;
  request.id = attempt.id;
  request.host = "demo";
  request.path = path;
  request.key = attempt.team == "garages" ? "garage-key" : "collector-key";
  request.deadline_ms = kDeadlineMs;
  if (attempt.kind->streams) {
    request.tokens = std::to_string(attempt.prompt_tokens) + ",40";
    request.prompt_parts = "aa:50,bb:50";
  }
  return ToBytes(standins::MakeHttpRequest(request));
}

auto SoakCallers::Send(std::unique_ptr<Call> call, const std::string& path)
    -> void {
  AttemptResult& attempt = call->result;
  call->connection = this->ConnectionTo(attempt.router);
  Call* const opened = call.get();
  this->calls.push_back(std::move(call));
  if (!opened->connection) {
    this->poller.loop().Defer(
        [this, opened] { this->OnDone(*opened, Http1Outcome::kNotSent); });
    return;
  }
  opened->limit =
      std::make_unique<LoopTimer>(this->poller.loop(), [this, opened] {
        opened->connection->Close();
        this->OnDone(*opened, Http1Outcome::kBroken);
      });
  opened->limit->Start(kCallLimit);
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
  opened->connection->Start(BytesOf(opened->result, path), false,
                            std::move(callbacks));
}

auto SoakCallers::OnHead(Call& call, const Http1ResponseHead& head) -> void {
  call.result.status = head.status;
  const std::string wanted = "seal-" + call.result.id;
  const auto seal = head.fields.Find(platform::kSealHeader);
  const auto id = head.fields.Find(platform::kAttemptIdHeader);
  call.result.mixed = (seal && *seal != wanted) ||
                      (id && *id != call.result.id) ||
                      (head.status == kOk && !seal);
}

auto SoakCallers::OnBody(Call& call, const std::string& bytes) -> void {
  if (call.result.kind->streams && call.result.status == kOk) {
    call.body += call.events.Feed(bytes);
    call.result.events = call.events.event_count();
    call.result.mixed = call.result.mixed || call.events.has_gap();
  } else {
    call.body += bytes;
  }
}

auto SoakCallers::OnDone(Call& call, Http1Outcome outcome) -> void {
  AttemptResult& result = call.result;
  result.sent = outcome != Http1Outcome::kNotSent;
  result.whole = outcome == Http1Outcome::kComplete;
  if (result.whole && result.status == kOk) {
    const bool right =
        call.body + std::string(call.events.rest()) ==
        (result.kind->streams ? WholeStream() : "answer to " + result.id);
    result.mixed = result.mixed || !right;
  }
  if (call.probed_route > 0) {
    this->OnProbeDone(call);
  }
  if (call.connection && call.connection->reusable()) {
    this->idle[result.router].push_back(call.connection);
  }
  this->ended.push_back(result);
  this->poller.loop().Defer([this, done = &call] {
    std::erase_if(this->calls,
                  [done](const auto& item) { return item.get() == done; });
  });
}

auto SoakCallers::OnProbeDone(const Call& call) -> void {
  if (!call.result.whole) {
    return;
  }
  std::uint64_t& newest = this->newest_route[call.result.router];
  if (call.result.status == kOk) {
    newest = std::max(newest, call.probed_route);
  } else if (call.result.status == kNotFound &&
             call.probed_route <= call.route_was) {
    ++this->reversions;
    std::cerr << "broken: " << call.result.router
              << " no longer knows the route of version " << call.probed_route
              << "\n";
  }
}

auto SoakCallers::AnyRouter() -> const std::string& {
  return this->settings
      .routers[this->random.Below(this->settings.routers.size())];
}

auto SoakCallers::ConnectionTo(const std::string& router) -> Connection {
  std::vector<Connection>& kept = this->idle[router];
  while (!kept.empty()) {
    Connection connection = kept.back();
    kept.pop_back();
    if (connection->reusable()) {
      return connection;
    }
  }
  return Http1ClientConnection::Connect(this->poller, router, kConnectLimit);
}

}  // namespace auburnloft::soak
