#include "support/admission_play.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <utility>

namespace auburnloft::testing {

namespace {

using gateway::AdmissionDecision;
using gateway::AdmissionQuery;
using gateway::GenerationMetadata;
using gateway::UpstreamChoice;
using gateway::UpstreamRecord;
using gateway::UpstreamResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "engines";

/** Engines process a prompt at this pace, as the selector assumes. */
constexpr Duration kPerPromptToken = std::chrono::microseconds(20);

/** Callers abandon a request without an event after this multiple of the
   objective, and a refused one after this number of tries. */
constexpr int kAbandonedMultiple = 4;
constexpr int kMaxTries = 3;
constexpr int kMaxRepeats = 30;

/** Shared parts of the prompts of one kind and team: they spread requests over
   engines, as the selector sends prompts with a shared part to one home. */
constexpr std::uint64_t kSharedParts = 20;

/** Interval of callers that repeat at once. */
constexpr Duration kRepeatInterval = milliseconds(20);

/** Interval at which a router decides again about a request that waits. */
constexpr Duration kDecideInterval = milliseconds(25);

/** Retry-After of the policies that know no better: the router's default. */
constexpr Duration kDefaultRetryAfter = milliseconds(300);

constexpr double kMicros = 1e6;

}  // namespace

struct AdmissionPlay::Request {
  std::size_t kind = 0;
  int team = 0;
  bool is_large = false;
  std::uint64_t identity = 0;
  bool is_counted = false;  ///< Arrived in the crowd.
  int tries = 0;
  int refusals = 0;
  GenerationMetadata generation;
  std::size_t router = 0;
  Instant arrived_at{};  ///< Of the try.
  Instant sent_at{};
  bool has_event = false;
  bool is_overdue = false;  ///< No event within the objective.
  bool is_over = false;     ///< Abandoned, or at its end.
  std::optional<UpstreamChoice> choice;
  Duration estimate{0};  ///< When it was sent, with the excess latency.
  Duration waited{0};
  std::size_t engine = 0;
};

struct AdmissionPlay::Engine {
  int running = 0;
  std::list<std::shared_ptr<Request>> waiting;
};

struct AdmissionPlay::Router {
  gateway::UpstreamDirectory directory{[](const auto&) {}};
  gateway::UpstreamSelector selector{this->directory, "a"};
  gateway::PressureAdmission admission;
  std::map<int, std::pair<double, Instant>> buckets;  ///< Of kEqualShares.
};

auto AdmissionPlay::Tally::operator+=(const Tally& other) -> Tally& {
  this->requests += other.requests;
  this->in_time += other.in_time;
  this->late += other.late;
  this->refused += other.refused;
  this->refused_again += other.refused_again;
  return *this;
}

auto AdmissionPlay::CrowdSettings(double factor) -> Settings {
  Settings settings;
  // Slots needed: 120 x 0.6 s, 70 x 1.25 s and 60 x 2.1 s of 360.
  settings.kinds = {
      {"chat", 0, milliseconds(400), 120.0, 1.0, 400, 60, 3'000},
      {"draft", 4, milliseconds(1'000), 70.0, 1.0, 1'000, 120, 8'000},
      {"batch", 8, milliseconds(2'500), 60.0, factor, 2'000, 200, 16'000}};
  return settings;
}

AdmissionPlay::AdmissionPlay(Settings settings)
    : settings(std::move(settings)),
      queue(Instant(seconds(1'000))),
      begin(this->queue.Now()),
      random(this->settings.seed) {
  for (int number = 0; number < this->settings.engines; ++number) {
    this->engines.push_back(std::make_unique<Engine>());
  }
  for (int number = 0; number < this->settings.routers; ++number) {
    auto router = std::make_unique<Router>();
    for (int engine = 0; engine < this->settings.engines; ++engine) {
      UpstreamRecord record;
      record.id = std::to_string(engine);
      record.service = kService;
      record.address = "127.0.0.1:1";
      record.domain = "a";
      record.slots = this->settings.slots;
      router->directory.Put(record);
    }
    this->routers.push_back(std::move(router));
  }
}

AdmissionPlay::~AdmissionPlay() = default;

auto AdmissionPlay::Run() -> void {
  for (std::size_t kind = 0; kind < this->settings.kinds.size(); ++kind) {
    this->ScheduleArrival(kind);
  }
  const Instant end = this->begin + this->settings.length;
  while (this->queue.Step(end)) {
  }
}

auto AdmissionPlay::ScheduleArrival(std::size_t kind) -> void {
  const Kind& rule = this->settings.kinds[kind];
  const bool in_crowd =
      this->queue.Now() >= this->begin + this->settings.crowd_from;
  const double team_weight =
      this->settings.teams - 1 +
      (in_crowd ? this->settings.first_team_factor : 1.0);
  const double rate = rule.per_second * (in_crowd ? rule.factor : 1.0) *
                      team_weight / this->settings.teams;
  const double gap = -std::log(1.0 - this->random.UniformDouble()) / rate;
  this->queue.After(Duration(static_cast<std::int64_t>(gap * kMicros)), [this,
                                                                         kind] {
    const Kind& rule = this->settings.kinds[kind];
    const Duration passed = this->queue.Now() - this->begin;
    auto request = std::make_shared<Request>();
    request->kind = kind;
    request->is_counted = passed >= this->settings.crowd_from &&
                          passed < this->settings.length - seconds(4);
    const double factor = passed >= this->settings.crowd_from
                              ? this->settings.first_team_factor
                              : 1.0;
    const double point =
        this->random.UniformDouble() * (this->settings.teams - 1 + factor);
    request->team = point < factor ? 0 : 1 + static_cast<int>(point - factor);
    constexpr double kLargePart = 0.1;
    request->is_large = this->random.Bernoulli(kLargePart);
    request->generation.prompt_tokens =
        request->is_large ? rule.large_prompt_tokens : rule.prompt_tokens;
    request->generation.max_output_tokens = rule.output_tokens;
    const auto half =
        static_cast<std::uint32_t>(request->generation.prompt_tokens / 2);
    request->identity = this->next_part + 1;
    request->generation.parts = {
        {"shared " + std::to_string(kind) + " " +
             std::to_string(request->team) + " " +
             std::to_string(this->random.UniformBelow(kSharedParts)),
         half},
        {"own " + std::to_string(this->next_part++), half}};
    if (request->is_counted) {
      ++this->tallies[{kind, request->team}].requests;
      if (request->is_large) {
        ++this->large_tallies[kind].requests;
      }
    }
    this->Arrive(request);
    this->ScheduleArrival(kind);
  });
}

auto AdmissionPlay::Arrive(const std::shared_ptr<Request>& request) -> void {
  ++request->tries;
  request->arrived_at = this->queue.Now();
  // Callers that repeat at once do so on the connection that they have.
  if (request->tries == 1 || request->team != this->settings.repeating_team) {
    request->router = this->random.UniformBelow(this->routers.size());
  }
  this->Decide(request, false);
}

auto AdmissionPlay::QueryFor(const Request& request,
                             const UpstreamChoice& choice) -> AdmissionQuery {
  const Kind& rule = this->settings.kinds[request.kind];
  AdmissionQuery query;
  query.service = kService;
  query.kind = rule.name;
  query.priority = rule.priority;
  query.objective = rule.objective;
  query.waited = this->queue.Now() - request.arrived_at;
  query.expected =
      choice.expected + choice.upstream->ExcessLatency(this->queue.Now());
  query.size = choice.prefill_tokens + request.generation.max_output_tokens;
  query.spread = this->random.UniformDouble();
  query.identity = request.identity;
  return query;
}

auto AdmissionPlay::Decide(const std::shared_ptr<Request>& request, bool again)
    -> void {
  Router& router = *this->routers[request->router];
  request->choice = router.selector.Choose({kService, &request->generation, {}},
                                           this->queue.Now());
  if (!request->choice) {
    this->Refuse(request, kDefaultRetryAfter);
    return;
  }
  AdmissionQuery query = this->QueryFor(*request, *request->choice);
  request->estimate = query.expected;
  request->waited = query.waited;
  if (this->settings.policy != Policy::kPressure) {
    if (this->MayBegin(*request)) {
      this->Send(request);
    } else {
      this->Refuse(request, kDefaultRetryAfter);
    }
    return;
  }
  const std::string team = std::to_string(request->team);
  query.team = team;
  const AdmissionDecision decision =
      again ? router.admission.DecideAgain(query, this->queue.Now())
            : router.admission.Decide(query, this->queue.Now());
  switch (decision.action) {
    case AdmissionDecision::Action::kBegin:
      this->Send(request);
      return;
    case AdmissionDecision::Action::kWait:
      this->queue.After(kDecideInterval,
                        [this, request] { this->Decide(request, true); });
      return;
    case AdmissionDecision::Action::kRefuse:
      if (request->is_counted) {
        ++this->refusals[{request->kind, std::string(decision.reason)}];
      }
      this->Refuse(request, decision.retry_after);
      return;
  }
}

auto AdmissionPlay::CapacityFraction() const -> double {
  double work = 0.0;  // Seconds of slots a second.
  for (const Kind& kind : this->settings.kinds) {
    constexpr double kLargePart = 0.1;
    const double prompt =
        kLargePart * static_cast<double>(kind.large_prompt_tokens) +
        (1.0 - kLargePart) * static_cast<double>(kind.prompt_tokens);
    work += kind.per_second * kind.factor *
            (prompt * ToSeconds(kPerPromptToken) +
             static_cast<double>(kind.output_tokens) *
                 ToSeconds(this->settings.per_token));
  }
  work *= (this->settings.teams - 1 + this->settings.first_team_factor) /
          this->settings.teams;
  return std::min(
      1.0, this->settings.engines * this->settings.slots / std::max(1.0, work));
}

auto AdmissionPlay::MayBegin(Request& request) -> bool {
  const Instant now = this->queue.Now();
  const bool in_crowd = now >= this->begin + this->settings.crowd_from;
  switch (this->settings.policy) {
    case Policy::kRandom:
      return !in_crowd || this->random.Bernoulli(this->CapacityFraction());
    case Policy::kEqualShares: {
      double rate = 0.0;
      for (const Kind& kind : this->settings.kinds) {
        rate += kind.per_second * kind.factor;
      }
      rate *= (this->settings.teams - 1 + this->settings.first_team_factor) /
              this->settings.teams * this->CapacityFraction();
      rate /= this->settings.teams * static_cast<double>(this->routers.size());
      auto& [tokens, since] = this->routers[request.router]
                                  ->buckets.try_emplace(request.team, 1.0, now)
                                  .first->second;
      tokens =
          std::min(std::max(1.0, rate), tokens + rate * ToSeconds(now - since));
      since = now;
      if (tokens < 1.0) {
        return false;
      }
      tokens -= 1.0;
      return true;
    }
    case Policy::kAll:
    case Policy::kPressure:
      return true;
  }
  return true;
}

auto AdmissionPlay::Send(const std::shared_ptr<Request>& request) -> void {
  const Instant now = this->queue.Now();
  Router& router = *this->routers[request->router];
  request->sent_at = now;
  request->choice->upstream->RecordSent(request->choice->prefill_tokens, now);
  router.selector.RecordPrompt(request->generation, *request->choice->upstream,
                               now);
  request->engine = std::stoul(request->choice->upstream->record().id);
  Engine& engine = *this->engines[request->engine];
  const int priority = this->settings.kinds[request->kind].priority;
  const auto place = std::find_if(
      engine.waiting.begin(), engine.waiting.end(), [&](const auto& other) {
        return this->settings.kinds[other->kind].priority > priority;
      });
  engine.waiting.insert(place, request);
  this->StartNext(request->engine);
  const Duration patience =
      this->settings.kinds[request->kind].objective * kAbandonedMultiple;
  this->queue.At(
      std::max(now, request->arrived_at +
                        this->settings.kinds[request->kind].objective),
      [this, request] {
        if (!request->has_event && this->settings.policy == Policy::kPressure) {
          request->is_overdue = true;
          this->routers[request->router]->admission.RecordOverdue(
              this->QueryFor(*request, *request->choice), this->queue.Now());
        }
      });
  const Instant abandoned_at = std::max(now, request->arrived_at + patience);
  this->queue.At(abandoned_at, [this, request] {
    if (!request->has_event && !request->is_over) {
      request->is_over = true;
      auto& waiting = this->engines[request->engine]->waiting;
      waiting.remove(request);
      request->choice->upstream->RecordEnd(request->choice->prefill_tokens,
                                           UpstreamResult::kFailed,
                                           this->queue.Now());
      if (request->is_counted) {
        ++this->tallies[{request->kind, request->team}].late;
      }
    }
  });
}

auto AdmissionPlay::StartNext(std::size_t number) -> void {
  Engine& engine = *this->engines[number];
  while (engine.running < this->settings.slots && !engine.waiting.empty()) {
    const std::shared_ptr<Request> request = engine.waiting.front();
    engine.waiting.pop_front();
    ++engine.running;
    const Duration prefill =
        kPerPromptToken *
        static_cast<std::int64_t>(request->generation.prompt_tokens);
    const Duration output =
        this->settings.per_token *
        static_cast<std::int64_t>(request->generation.max_output_tokens);
    this->queue.After(prefill, [this, request] {
      if (!request->is_over) {
        this->OnFirstEvent(request);
      }
    });
    this->queue.After(prefill + output, [this, request] {
      --this->engines[request->engine]->running;
      if (!request->is_over) {
        this->OnEnd(request);
      }
      this->StartNext(request->engine);
    });
  }
}

auto AdmissionPlay::OnFirstEvent(const std::shared_ptr<Request>& request)
    -> void {
  const Instant now = this->queue.Now();
  request->has_event = true;
  const Duration latency = now - request->sent_at;
  request->choice->upstream->RecordFirstByte(
      request->choice->prefill_tokens, latency, request->choice->expected, now);
  if (this->settings.policy == Policy::kPressure) {
    AdmissionQuery query = this->QueryFor(*request, *request->choice);
    query.expected = request->estimate;
    query.waited = request->waited;
    this->routers[request->router]->admission.RecordFirstEvent(
        query, latency, request->is_overdue, now);
  }
  if (!request->is_counted) {
    return;
  }
  const bool in_time = now - request->arrived_at <=
                       this->settings.kinds[request->kind].objective;
  Tally& tally = this->tallies[{request->kind, request->team}];
  ++(in_time ? tally.in_time : tally.late);
  if (request->is_large && in_time) {
    ++this->large_tallies[request->kind].in_time;
  }
}

auto AdmissionPlay::OnEnd(const std::shared_ptr<Request>& request) -> void {
  request->is_over = true;
  request->choice->upstream->RecordEnd(0, UpstreamResult::kSucceeded,
                                       this->queue.Now());
}

auto AdmissionPlay::Refuse(const std::shared_ptr<Request>& request,
                           Duration retry_after) -> void {
  const bool repeats = request->team == this->settings.repeating_team;
  if (request->is_counted && request->refusals++ > 0) {
    ++this->tallies[{request->kind, request->team}].refused_again;
  }
  if (request->tries >= (repeats ? kMaxRepeats : kMaxTries)) {
    if (request->is_counted) {
      ++this->tallies[{request->kind, request->team}].refused;
    }
    return;
  }
  this->queue.After(repeats ? kRepeatInterval : retry_after,
                    [this, request] { this->Arrive(request); });
}

auto AdmissionPlay::All() const -> Tally {
  return this->OfTeamsExcept(-1);
}

auto AdmissionPlay::OfKind(const std::string& name) const -> Tally {
  Tally sum;
  for (const auto& [key, tally] : this->tallies) {
    if (this->settings.kinds[key.first].name == name) {
      sum += tally;
    }
  }
  return sum;
}

auto AdmissionPlay::OfTeam(int team) const -> Tally {
  Tally sum;
  for (const auto& [key, tally] : this->tallies) {
    if (key.second == team) {
      sum += tally;
    }
  }
  return sum;
}

auto AdmissionPlay::OfTeamsExcept(int team) const -> Tally {
  Tally sum;
  for (const auto& [key, tally] : this->tallies) {
    if (key.second != team) {
      sum += tally;
    }
  }
  return sum;
}

auto AdmissionPlay::Refusals(const std::string& kind) const
    -> std::map<std::string, int> {
  std::map<std::string, int> sums;
  for (const auto& [key, count] : this->refusals) {
    if (this->settings.kinds[key.first].name == kind) {
      sums[key.second] += count;
    }
  }
  return sums;
}

auto AdmissionPlay::OfLarge(const std::string& kind) const -> Tally {
  Tally sum;
  for (const auto& [number, tally] : this->large_tallies) {
    if (this->settings.kinds[number].name == kind) {
      sum += tally;
    }
  }
  return sum;
}

}  // namespace auburnloft::testing
