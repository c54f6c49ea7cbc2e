#include "gateway/admission_gate.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "al_core/text/digest.h"
#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "al_gateway/upstreams/back_off.h"
#include "gateway/gateway_context.h"

namespace auburnloft::gateway {

namespace {

/** Interval at which requests that wait are decided about again: short against
   the objectives, which are hundreds of milliseconds. */
constexpr Duration kDecideInterval = std::chrono::milliseconds(10);

/** A request that found all upstreams full asks again after this part of its
   remaining time, but not before the work of about one plain request. A third
   in place of a sixth gave more late answers (docs/design/admission.md). */
constexpr int kFullWaitDivisor = 6;
constexpr Duration kMinFullWait = std::chrono::milliseconds(25);

auto NameOf(AdmissionDecision::Action action) -> std::string_view {
  switch (action) {
    case AdmissionDecision::Action::kBegin:
      return "begin";
    case AdmissionDecision::Action::kWait:
      return "wait";
    case AdmissionDecision::Action::kRefuse:
      return "refuse";
  }
  return "";
}

}  // namespace

AdmissionGate::AdmissionGate(GatewayContext& context)
    : context(context), timer(std::make_unique<LoopTimer>(context.loop, [this] {
        this->OnTimer();
      })) {}

AdmissionGate::~AdmissionGate() = default;

//==============================================================================
// Commands

auto AdmissionGate::Ask(const void* owner,
                        const AttemptParameters& parameters,
                        Instant arrived_at,
                        OnDecision on_decision) -> void {
  Entry& entry = this->entries
                     .try_emplace(owner, Entry{parameters, arrived_at,
                                               std::move(on_decision)})
                     .first->second;
  entry.parameters.tried_upstreams = {};
  if (parameters.route.latency_objective.count() <= 0) {
    this->Apply(entry, {.action = AdmissionDecision::Action::kBegin,
                        .reason = "no objective"});
  } else if (IsGeneration(entry)) {
    this->DecideGeneration(entry, false);
  } else {
    this->AskForPlace(entry);
  }
  this->StartTimer();
}

auto AdmissionGate::AskAgain(const void* owner) -> bool {
  const auto found = this->entries.find(owner);
  if (found == this->entries.end() || !found->second.has_place) {
    return false;
  }
  Entry& entry = found->second;
  const Instant now = this->context.loop.Now();
  const auto upstreams =
      this->context.upstreams.UpstreamsOfService(entry.parameters.service);
  if (std::none_of(upstreams.begin(), upstreams.end(),
                   [](const auto& item) { return item->is_serving(); })) {
    return false;
  }
  const auto returns_at =
      this->context.upstreams.EarliestReturn(entry.parameters.service, now);
  this->ReleasePlace(entry);
  const Duration wait =
      std::max(kMinFullWait, (entry.arrived_at + entry.item.objective - now) /
                                 kFullWaitDivisor);
  entry.ticket = this->QueueOf(entry).AskAgain(
      entry.item, std::max(now + wait, returns_at.value_or(now)), now);
  if (entry.ticket == 0) {
    return false;
  }
  entry.state = State::kWaiting;
  this->StartTimer();
  return true;
}

auto AdmissionGate::RecordFull(const void* owner) -> void {
  const auto found = this->entries.find(owner);
  if (found != this->entries.end()) {
    found->second.was_full = true;
  }
}

auto AdmissionGate::RecordFirstByte(const void* owner) -> void {
  const auto found = this->entries.find(owner);
  if (found == this->entries.end() || found->second.state != State::kBegun) {
    return;
  }
  Entry& entry = found->second;
  entry.state = State::kAnswered;
  if (IsGeneration(entry) && !entry.query.service.empty()) {
    const Instant now = this->context.loop.Now();
    this->admission.RecordFirstEvent(entry.query, now - entry.begun_at,
                                     entry.is_overdue, now);
  }
}

auto AdmissionGate::End(const void* owner) -> void {
  auto node = this->entries.extract(owner);
  if (node.empty()) {
    return;
  }
  Entry& entry = node.mapped();
  if (IsGeneration(entry)) {
    return;
  }
  const std::string service = entry.parameters.service;
  PlaceQueue& queue = this->QueueOf(entry);
  queue.Cancel(entry.ticket);
  this->ReleasePlace(entry);
  if (queue.waiting() > 0) {
    // Requests that begin now may end this one's caller's stack otherwise.
    this->timer->Start(Duration(0));
  }
}

//==============================================================================

auto AdmissionGate::IsGeneration(const Entry& entry) -> bool {
  return entry.parameters.metadata.generation.has_value();
}

auto AdmissionGate::QueueOf(const Entry& entry) -> PlaceQueue& {
  PlaceQueue& queue = this->queues[entry.parameters.service];
  int usable = 0;
  for (const auto& upstream :
       this->context.upstreams.UpstreamsOfService(entry.parameters.service)) {
    usable += upstream->is_usable(this->context.loop.Now()) ? 1 : 0;
  }
  queue.SetMaximum(std::max(1, usable) *
                   ConnectionBound(this->context, entry.parameters));
  return queue;
}

auto AdmissionGate::DecideGeneration(Entry& entry, bool again) -> void {
  const Instant now = this->context.loop.Now();
  const auto choice = FindUpstream(this->context, entry.parameters);
  if (!choice) {
    // The attempt finds out why, and refuses the request with that reason.
    this->Apply(entry, {.action = AdmissionDecision::Action::kBegin,
                        .reason = "no estimate"});
    return;
  }
  const AttemptParameters& parameters = entry.parameters;
  entry.query.service = parameters.service;
  entry.query.kind = parameters.route.name;
  entry.query.team = parameters.team != nullptr
                         ? std::string_view(parameters.team->name)
                         : std::string_view();
  entry.query.priority = parameters.route.priority;
  entry.query.objective = parameters.route.latency_objective;
  entry.query.waited = now - entry.arrived_at;
  entry.query.expected =
      choice->expected + choice->upstream->ExcessLatency(now);
  entry.query.size = choice->prefill_tokens +
                     parameters.metadata.generation->max_output_tokens;
  if (!again && !parameters.request.body.empty()) {
    entry.query.identity =
        StableHash(parameters.request.body, std::string(entry.query.team) +
                                                " " + parameters.metadata.path);
  }
  entry.query.spread = this->context.random.UniformDouble();
  this->Apply(entry, again ? this->admission.DecideAgain(entry.query, now)
                           : this->admission.Decide(entry.query, now));
}

auto AdmissionGate::AskForPlace(Entry& entry) -> void {
  const AttemptParameters& parameters = entry.parameters;
  entry.item = {
      parameters.team != nullptr ? parameters.team->name : std::string(),
      parameters.route.priority, entry.arrived_at,
      parameters.route.latency_objective};
  const PlaceQueue::Answer answer =
      this->QueueOf(entry).Ask(entry.item, this->context.loop.Now());
  entry.ticket = answer.ticket;
  entry.has_place = answer.begins;
  AdmissionDecision decision;
  decision.expected = answer.expected;
  decision.team_share = answer.team_share;
  if (answer.begins) {
    decision.reason = "free place";
  } else if (answer.ticket != 0) {
    decision.action = AdmissionDecision::Action::kWait;
    decision.reason = "no free place";
  } else {
    decision.action = AdmissionDecision::Action::kRefuse;
    decision.reason = "no place in time";
    decision.retry_after = BackOffRetryAfter(
        answer.retry_after, this->context.random.UniformDouble());
  }
  this->Apply(entry, decision);
}

auto AdmissionGate::ReleasePlace(Entry& entry) -> void {
  if (!std::exchange(entry.has_place, false)) {
    return;
  }
  const PlaceQueue::Result result =
      std::exchange(entry.was_full, false) ? PlaceQueue::Result::kFull
      : entry.state == State::kAnswered    ? PlaceQueue::Result::kAnswered
                                           : PlaceQueue::Result::kEnded;
  this->QueueOf(entry).Release(result, entry.item, entry.begun_at,
                               this->context.loop.Now());
}

auto AdmissionGate::ServeQueue(const std::string& service, PlaceQueue& queue)
    -> void {
  const auto owner_of = [this, &service](PlaceQueue::Ticket ticket) {
    const auto found = std::find_if(
        this->entries.begin(), this->entries.end(), [&](const auto& item) {
          return item.second.ticket == ticket &&
                 item.second.parameters.service == service;
        });
    return found == this->entries.end() ? nullptr : found->first;
  };
  const Instant now = this->context.loop.Now();
  for (const PlaceQueue::Ticket ticket : queue.TakeExpired(now)) {
    if (const void* const owner = owner_of(ticket)) {
      Entry& entry = this->entries.at(owner);
      entry.ticket = 0;
      AdmissionDecision decision;
      decision.action = AdmissionDecision::Action::kRefuse;
      decision.reason = "no place in time";
      decision.expected = now - entry.arrived_at + queue.ExpectedAnswer(now);
      decision.retry_after = BackOffRetryAfter(
          queue.ExpectedAnswer(now), this->context.random.UniformDouble());
      this->Apply(entry, decision);
    }
  }
  while (const auto ticket = queue.TakeNext(now)) {
    if (const void* const owner = owner_of(*ticket)) {
      Entry& entry = this->entries.at(owner);
      entry.ticket = 0;
      entry.has_place = true;
      AdmissionDecision decision;
      decision.reason = "after a wait";
      decision.expected = now - entry.arrived_at + queue.ExpectedAnswer(now);
      this->Apply(entry, decision);
    }
  }
}

auto AdmissionGate::Apply(Entry& entry, const AdmissionDecision& decision)
    -> void {
  const Instant now = this->context.loop.Now();
  const bool is_refused = decision.action == AdmissionDecision::Action::kRefuse;
  if (decision.action == AdmissionDecision::Action::kWait) {
    if (std::exchange(entry.is_wait_logged, true)) {
      return;
    }
  } else {
    entry.state = is_refused ? State::kRefused : State::kBegun;
    entry.begun_at = now;
  }
  this->context.metrics.CountAdmission(NameOf(decision.action));
  this->context.log.WriteLine(
      is_refused ? DecisionLog::Severity::kNotable
                 : DecisionLog::Severity::kRoutine,
      "admission",
      {{"id", entry.parameters.metadata.attempt_id},
       {"decision", NameOf(decision.action)},
       {"reason", decision.reason},
       {"route", entry.parameters.route.name},
       {"service", entry.parameters.service},
       {"expected_ms", decision.expected},
       {"objective_ms", entry.parameters.route.latency_objective},
       {"team_share_s", std::to_string(decision.team_share)},
       {"retry_after_ms", decision.retry_after}},
      now);
  if (decision.action != AdmissionDecision::Action::kWait) {
    // The call may end the request, and with it the entry.
    const OnDecision on_decision = entry.on_decision;
    on_decision(decision);
  }
}

auto AdmissionGate::OnTimer() -> void {
  const Instant now = this->context.loop.Now();
  std::vector<const void*> waiting;
  for (auto& [owner, entry] : this->entries) {
    if (!IsGeneration(entry)) {
      continue;
    }
    if (entry.state == State::kWaiting) {
      waiting.push_back(owner);
    } else if (entry.state == State::kBegun && !entry.is_overdue &&
               !entry.query.service.empty() &&
               now - entry.arrived_at > entry.query.objective) {
      entry.is_overdue = true;
      this->admission.RecordOverdue(entry.query, now);
    }
  }
  for (const void* const owner : waiting) {
    const auto found = this->entries.find(owner);
    if (found != this->entries.end()) {
      this->DecideGeneration(found->second, true);
    }
  }
  for (auto& [service, queue] : this->queues) {
    this->ServeQueue(service, queue);
  }
  this->StartTimer();
}

auto AdmissionGate::StartTimer() -> void {
  const bool is_needed = std::any_of(
      this->entries.begin(), this->entries.end(), [](const auto& item) {
        const Entry& entry = item.second;
        return entry.state == State::kWaiting ||
               (entry.state == State::kBegun && IsGeneration(entry) &&
                !entry.is_overdue);
      });
  if (is_needed && !this->timer->running()) {
    this->timer->Start(kDecideInterval);
  }
}

}  // namespace auburnloft::gateway
