#include "support/hedge_play.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "al_core/text/digest.h"
#include "al_gateway/limits/attempt_timeouts.h"

namespace auburnloft::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kService = "service";

/** Time of a request without queue, noise and prompt: from the shortest on,
   evenly over a range. */
constexpr double kMinWorkMs = 20.0;
constexpr double kWorkRangeMs = 30.0;

/** As the selector assumes. */
constexpr double kMsPerToken = 0.02;

/** Of a stream, after its first event. */
constexpr Duration kDecode = milliseconds(400);

/** Shared prompts, and the sizes of their parts in tokens. */
constexpr std::uint64_t kPrompts = 300;
constexpr std::uint32_t kSharedTokens = 1'000;
constexpr std::uint32_t kOwnTokens = 200;

/** Until an upstream notices that the connection of an attempt is closed. */
constexpr Duration kCancelTime = milliseconds(5);

constexpr double kMicrosPerMilli = 1'000.0;

auto FromMs(double millis) -> Duration {
  return Duration(static_cast<std::int64_t>(millis * kMicrosPerMilli));
}

}  // namespace

auto HedgePlay::Result::Quantile(double quantile) const -> double {
  if (this->times_ms.empty()) {
    return 0.0;
  }
  const auto index = static_cast<std::size_t>(
      std::ceil(quantile * static_cast<double>(this->times_ms.size())));
  return this
      ->times_ms[std::clamp<std::size_t>(index, 1, this->times_ms.size()) - 1];
}

HedgePlay::Router::Router(const Settings& settings, int number)
    : directory([](const gateway::UpstreamState& /*left*/) {}),
      selector(this->directory, number % 2 == 0 ? "a" : "b"),
      budget(gateway::FleetRetryLimit()),
      policy(settings.share, this->budget) {
  for (int i = 0; i < settings.upstreams; ++i) {
    gateway::UpstreamRecord record;
    record.id = std::to_string(i);
    record.service = kService;
    record.address = "127.0.0.1:" + std::to_string(i + 1);
    record.domain = i % 2 == 0 ? "a" : "b";
    record.slots = settings.slots;
    this->directory.Put(record);
  }
}

HedgePlay::HedgePlay(const Settings& settings)
    : settings(settings),
      events(Instant() + seconds(1'000)),
      begin(this->events.Now()),
      random(settings.seed),
      engines(static_cast<std::size_t>(settings.upstreams)) {
  this->route.name = "route";
  this->route.kind = settings.is_stream ? gateway::RouteKind::kStream
                                        : gateway::RouteKind::kIdempotent;
  this->route.resumable = settings.is_stream;
  this->route.timeout = seconds(4);
  this->route.latency_objective = milliseconds(500);
  this->route.max_attempts = 2;
  for (int i = 0; i < settings.routers; ++i) {
    this->routers.push_back(std::make_unique<Router>(settings, i));
  }
}

auto HedgePlay::Run() -> Result {
  this->ScheduleArrival();
  const Instant end =
      this->begin + this->settings.span + 2 * this->route.timeout;
  while (this->events.Step(end)) {
  }
  std::ranges::sort(this->result.times_ms);
  return this->result;
}

//==============================================================================
// Requests

auto HedgePlay::ScheduleArrival() -> void {
  const double rate = this->settings.requests_per_second *
                      (this->IsInBurst() ? this->settings.burst_factor : 1.0);
  constexpr double kMillisPerSecond = 1'000.0;
  const Duration gap = FromMs(-std::log(1.0 - this->random.UniformDouble()) *
                              kMillisPerSecond / rate);
  if (this->events.Now() + gap < this->begin + this->settings.span) {
    this->events.After(gap, [this] {
      this->Arrive();
      this->ScheduleArrival();
    });
  }
}

auto HedgePlay::Arrive() -> void {
  const auto request = std::make_shared<Request>();
  const Instant now = this->events.Now();
  request->router = this->random.UniformBelow(this->routers.size());
  request->generation = this->MakeGeneration();
  request->arrived_at = now;
  ++this->result.requests;
  this->result.requests_in_burst += this->IsInBurst() ? 1 : 0;
  Router& router = *this->routers[request->router];
  router.budget.RecordRequest(kService, now);
  request->current = this->Send(request);
  const auto late_after =
      router.policy.BeginRequest(this->route, kService, now);
  if (late_after) {
    this->events.After(*late_after, [this, request] { this->OnLate(request); });
  }
  this->events.After(this->route.timeout,
                     [this, request] { this->OnDeadline(request); });
}

auto HedgePlay::MakeGeneration() -> gateway::GenerationMetadata {
  gateway::GenerationMetadata generation;
  generation.prompt_tokens = kSharedTokens + kOwnTokens;
  generation.parts = {
      {"shared-" + std::to_string(this->random.UniformBelow(kPrompts)),
       kSharedTokens},
      {"own-" + std::to_string(this->result.requests), kOwnTokens}};
  return generation;
}

auto HedgePlay::Choose(const Request& request) const
    -> std::optional<gateway::UpstreamChoice> {
  gateway::ChoiceQuery query;
  query.service = kService;
  query.generation = this->settings.is_stream ? &request.generation : nullptr;
  query.excluded = request.tried;
  return this->routers[request.router]->selector.Choose(query,
                                                        this->events.Now());
}

auto HedgePlay::Send(const std::shared_ptr<Request>& request)
    -> std::shared_ptr<Attempt> {
  auto choice = this->Choose(*request);
  if (!choice) {
    return nullptr;
  }
  const Instant now = this->events.Now();
  auto attempt = std::make_shared<Attempt>();
  attempt->request = request;
  attempt->engine = std::stoul(choice->upstream->record().id);
  attempt->choice = std::move(*choice);
  attempt->pending_prefill = attempt->choice.prefill_tokens;
  attempt->sent_at = now;
  attempt->choice.upstream->RecordSent(attempt->pending_prefill, now);
  request->tried.push_back(attempt->choice.upstream->record().id);
  request->counter.RecordSent();
  ++this->result.sends;
  if (this->settings.is_stream) {
    this->routers[request->router]->selector.RecordPrompt(
        request->generation, *attempt->choice.upstream, now);
  }
  this->events.After(
      gateway::FirstByteTimeout(this->route),
      [this, request, attempt] { this->OnTimeout(request, attempt); });
  this->engines[attempt->engine].queue.push_back(attempt);
  this->Begin(attempt->engine);
  return attempt;
}

//==============================================================================
// Upstreams

auto HedgePlay::Begin(std::size_t engine) -> void {
  Engine& state = this->engines[engine];
  while (state.running < this->settings.slots && !state.queue.empty()) {
    const std::shared_ptr<Attempt> attempt = state.queue.front();
    state.queue.pop_front();
    if (!attempt->is_open) {
      continue;
    }
    attempt->has_slot = true;
    ++state.running;
    if (this->settings.is_first_silent && engine == 0) {
      continue;
    }
    this->events.After(this->WorkOf(*attempt), [this, attempt] {
      if (attempt->is_open) {
        this->Answer(attempt);
      }
    });
  }
}

auto HedgePlay::WorkOf(const Attempt& attempt) -> Duration {
  constexpr Duration kNoiseInterval = milliseconds(600);
  constexpr std::uint64_t kNoisyOfHundred = 15;
  constexpr double kNoiseFactor = 2.5;
  double millis =
      kMinWorkMs + this->random.UniformDouble() * kWorkRangeMs +
      static_cast<double>(attempt.choice.prefill_tokens) * kMsPerToken;
  if (attempt.engine == 0) {
    millis *= this->settings.slow_factor;
  }
  const auto interval = (this->events.Now() - this->begin) / kNoiseInterval;
  if (this->settings.has_noise &&
      StableHash(std::to_string(interval), std::to_string(attempt.engine)) %
              100 <
          kNoisyOfHundred) {
    millis *= kNoiseFactor;
  }
  return FromMs(millis);
}

auto HedgePlay::Release(std::size_t engine) -> void {
  --this->engines[engine].running;
  this->Begin(engine);
}

auto HedgePlay::Answer(const std::shared_ptr<Attempt>& attempt) -> void {
  Request& request = *attempt->request;
  Router& router = *this->routers[request.router];
  const Instant now = this->events.Now();
  attempt->is_open = false;
  this->result.double_answers += request.is_answered ? 1 : 0;
  request.is_answered = true;
  gateway::UpstreamState& upstream = *attempt->choice.upstream;
  upstream.RecordFirstByte(attempt->pending_prefill, now - attempt->sent_at,
                           attempt->choice.expected, now);
  upstream.RecordEnd(0, gateway::UpstreamResult::kSucceeded, now);
  constexpr double kMillisPerSecond = 1'000.0;
  this->result.times_ms.push_back(ToSeconds(now - request.arrived_at) *
                                  kMillisPerSecond);
  const auto first = request.current;
  const bool hedge_won = attempt == request.hedge;
  if (first && (hedge_won || request.tried.size() == 1 || request.hedge)) {
    router.policy.RecordLatency(this->route, now - first->sent_at, now);
  }
  if (hedge_won && first) {
    first->choice.upstream->RecordFirstByte(
        std::exchange(first->pending_prefill, 0), 2 * (now - first->sent_at),
        first->choice.expected, now);
    this->Cancel(first, false);
  } else if (request.hedge) {
    this->Cancel(request.hedge, false);
  }
  const std::size_t engine = attempt->engine;
  if (this->settings.is_stream) {
    this->events.After(kDecode, [this, engine] { this->Release(engine); });
  } else {
    this->Release(engine);
  }
}

auto HedgePlay::Cancel(const std::shared_ptr<Attempt>& attempt, bool failed)
    -> void {
  if (!std::exchange(attempt->is_open, false)) {
    return;
  }
  attempt->choice.upstream->RecordEnd(attempt->pending_prefill,
                                      failed
                                          ? gateway::UpstreamResult::kFailed
                                          : gateway::UpstreamResult::kCancelled,
                                      this->events.Now());
  if (attempt->has_slot) {
    this->events.After(kCancelTime, [this, engine = attempt->engine] {
      this->Release(engine);
    });
  }
}

//==============================================================================
// Decisions

auto HedgePlay::OnLate(const std::shared_ptr<Request>& request) -> void {
  if (request->is_answered || !request->current || request->hedge ||
      request->counter.attempts() != 1) {
    return;
  }
  Router& router = *this->routers[request->router];
  const Instant now = this->events.Now();
  gateway::HedgePolicy::Query query{.route = this->route, .service = kService};
  query.executions = request->counter.executions();
  query.waited = now - request->current->sent_at;
  query.time_left = request->arrived_at + this->route.timeout - now;
  query.routers = this->settings.routers;
  if (const auto choice = this->Choose(*request)) {
    query.candidate = gateway::HedgePolicy::Candidate{
        choice->expected + choice->upstream->ExcessLatency(now),
        choice->upstream->open_requests(), choice->upstream->record().slots};
  }
  const auto decision = router.policy.Decide(query, now);
  ++this->result.decisions[std::string(NameOf(decision))];
  if (decision == gateway::HedgeDecision::kSend) {
    ++this->result.hedges;
    this->result.hedges_in_burst += this->IsInBurst() ? 1 : 0;
    request->hedge = this->Send(request);
  }
}

auto HedgePlay::OnTimeout(const std::shared_ptr<Request>& request,
                          const std::shared_ptr<Attempt>& attempt) -> void {
  if (request->is_answered || attempt != request->current) {
    return;
  }
  if (request->hedge) {
    this->Cancel(attempt, true);
    request->current = std::exchange(request->hedge, nullptr);
    return;
  }
  const Instant now = this->events.Now();
  const Duration time_left = request->arrived_at + this->route.timeout - now;
  Router& router = *this->routers[request->router];
  if (request->counter.CanExecuteAgain(this->route, time_left) &&
      this->Choose(*request) &&
      router.budget.TryTake(kService, this->settings.routers, now)) {
    this->Cancel(attempt, true);
    request->current = this->Send(request);
  }
}

auto HedgePlay::OnDeadline(const std::shared_ptr<Request>& request) -> void {
  if (std::exchange(request->is_answered, true)) {
    return;
  }
  ++this->result.unanswered;
  constexpr double kMillisPerSecond = 1'000.0;
  this->result.times_ms.push_back(ToSeconds(this->route.timeout) *
                                  kMillisPerSecond);
  for (const auto& attempt : {request->current, request->hedge}) {
    if (attempt) {
      this->Cancel(attempt, true);
    }
  }
}

auto HedgePlay::IsInBurst() const -> bool {
  const Duration since = this->events.Now() - this->begin;
  return since >= this->settings.burst_at &&
         since < this->settings.burst_at + this->settings.burst_span;
}

}  // namespace auburnloft::testing
