#include "soak/soak_callers.h"

#include <array>
#include <iostream>
#include <set>
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

/** Number of events in a stream of the stand-in upstreams. */
constexpr std::uint64_t kEvents = 8;

/** Time before a caller takes up a stream: a few tries end within the time in
 * which a router starts again. */
constexpr Duration kTakeUpDelay = std::chrono::milliseconds(250);

/** One in this many requests is followed by a pause of all callers. */
constexpr std::uint64_t kPauseEvery = 200;

/** Returns the text of a stream of the stand-in upstreams after an event. */
auto ExpectedStream(std::uint64_t last_event_id) -> std::string {
  std::string text;
  for (std::uint64_t number = last_event_id + 1; number <= kEvents; ++number) {
    const std::string digits = std::to_string(number);
    text.append("id: ").append(digits);
    text.append("\ndata: event ").append(digits).append("\n\n");
  }
  return text;
}

/** Removes from the events of a stream the releases that wrote them.
    @return these. */
auto TakeReleases(std::string& events) -> std::set<std::string> {
  constexpr std::string_view kMark = " v";
  std::set<std::string> releases;
  std::size_t begin = 0;
  while ((begin = events.find(kMark, begin)) != std::string::npos) {
    const std::size_t length = events.find('\n', begin) - begin;
    releases.insert(events.substr(begin + 1, length - 1));
    events.erase(begin, length);
  }
  return releases;
}

}  // namespace

struct SoakCallers::Call {
  RequestResult result;
  std::uint64_t last_event_id = 0;  ///< Of the stream that is taken up; or 0.
  int take_ups_left = 0;
  std::optional<Duration> reuse_time;  ///< Of the connection, as stated.
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
  auto wait = Duration(static_cast<std::int64_t>(
      2.0 * this->random.UniformDouble() * kMicrosPerSecond /
      this->settings.requests_per_second));
  if (this->settings.longest_pause > Duration(0) &&
      this->random.UniformBelow(kPauseEvery) == 0) {
    wait += Duration(static_cast<std::int64_t>(
        this->random.UniformDouble() *
        static_cast<double>(this->settings.longest_pause.count())));
  }
  this->timer->Start(wait);
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
  call->take_ups_left = this->settings.take_ups;
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

auto SoakCallers::TakeUp(const RequestResult& broken,
                         std::uint64_t last_event_id,
                         int take_ups_left) -> void {
  auto call = this->NewCall();
  RequestResult& result = call->result;
  while (result.router == broken.router && this->settings.routers.size() > 1) {
    result.router = this->PickRouter();
  }
  result.kind = broken.kind;
  result.team = broken.team;
  result.prompt_tokens = broken.prompt_tokens;
  result.resumes = broken.resumes.empty() ? broken.id : broken.resumes;
  call->last_event_id = last_event_id;
  call->take_ups_left = take_ups_left;
  const std::string path = std::string(result.kind->path) + result.resumes;
  this->Send(std::move(call), path);
}

auto SoakCallers::NewCall() -> std::unique_ptr<Call> {
  auto call = std::make_unique<Call>();
  call->result.id =
      std::to_string(this->settings.seed) + "-" + std::to_string(this->sent++);
  call->result.router = this->PickRouter();
  return call;
}

auto SoakCallers::SerializeRequest(const Call& call, const std::string& path)
    -> std::string {
  const RequestResult& result = call.result;
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
  if (!result.resumes.empty()) {
    request.last_event_id = std::to_string(call.last_event_id);
    request.resumes = result.resumes;
  }
  return auburnloft::SerializeRequest(standins::MakeHttpRequest(request));
}

auto SoakCallers::Send(std::unique_ptr<Call> call, const std::string& path)
    -> void {
  call->connection = this->ConnectionFor(call->result);
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
  opened->connection->Start(SerializeRequest(*opened, path), false,
                            std::move(callbacks));
}

auto SoakCallers::OnHead(Call& call, const Http1ResponseHead& head) -> void {
  call.result.status = head.status;
  call.reuse_time = FindReuseTime(head.fields);
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
  if (result.kind->streams && result.status == kOk) {
    result.releases = TakeReleases(call.body);
  }
  if (result.is_complete && result.status == kOk) {
    const bool matches =
        call.body + std::string(call.events.rest()) ==
        (result.kind->streams ? ExpectedStream(call.last_event_id)
                              : "answer to " + result.id);
    result.is_mixed = result.is_mixed || !matches;
  } else if (call.take_ups_left > 0) {
    this->OnStreamDone(call);
  }
  if (call.probed_route > 0) {
    this->OnProbeDone(call);
  }
  if (call.connection && call.connection->is_reusable()) {
    std::optional<Instant> reusable_until;
    if (call.reuse_time) {
      reusable_until = this->poller.loop().Now() + *call.reuse_time;
    }
    this->idle_connections[result.router].push_back(
        {call.connection, reusable_until});
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

auto SoakCallers::OnStreamDone(const Call& call) -> void {
  const std::uint64_t last_event_id =
      call.events.last_id().value_or(call.last_event_id);
  // A stream may be resumed if its request may run more than once.
  if (call.result.kind->at_most_once || last_event_id == 0 ||
      last_event_id >= kEvents) {
    return;
  }
  this->poller.loop().ScheduleAfter(
      kTakeUpDelay, [this, broken = call.result, last_event_id,
                     take_ups_left = call.take_ups_left - 1] {
        this->TakeUp(broken, last_event_id, take_ups_left);
      });
}

auto SoakCallers::PickRouter() -> const std::string& {
  return this->settings
      .routers[this->random.UniformBelow(this->settings.routers.size())];
}

auto SoakCallers::ConnectionFor(RequestResult& result) -> Connection {
  std::vector<KeptConnection>& candidates =
      this->idle_connections[result.router];
  const Instant now = this->poller.loop().Now();
  while (!candidates.empty()) {
    if (this->settings.longest_pause > Duration(0)) {
      // Any of them, so that some are reused late in their time.
      std::swap(candidates[this->random.UniformBelow(candidates.size())],
                candidates.back());
    }
    const KeptConnection kept = candidates.back();
    candidates.pop_back();
    if (kept.connection->is_reusable() &&
        (!kept.reusable_until || now < *kept.reusable_until)) {
      result.on_kept_connection = true;
      return kept.connection;
    }
    kept.connection->Close();
  }
  return Http1ClientConnection::Connect(this->poller, result.router,
                                        kConnectTimeout);
}

}  // namespace auburnloft::soak
