#include "support/paced_fleet.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "al_core/text/digest.h"
#include "fleet.pb.h"
#include "gateway/engine_feed.h"

namespace auburnloft::testing {

namespace {

using gateway::GenerationMetadata;
using gateway::UpstreamChoice;

constexpr Duration kWavePeriod = std::chrono::seconds(17);
constexpr Duration kExchangeInterval = std::chrono::milliseconds(400);
constexpr Duration kUpdateInterval = std::chrono::milliseconds(500);
constexpr Duration kPacePart = std::chrono::milliseconds(250);
constexpr Duration kNetwork = std::chrono::milliseconds(1);
constexpr int kLargestSmallFleet = 12;
constexpr int kRoutersPerReader = 24;
constexpr int kMinReaders = 6;

constexpr std::uint64_t kSharedParts = 120;
/** Exponent of the popularity of shared parts: the requests with the first one
   take 0.8 of a fast engine. */
constexpr double kSkew = 1.5;
constexpr std::uint32_t kSharedTokens = 5'382;
constexpr std::uint32_t kOwnTokens = 6'610;
constexpr std::uint32_t kShortTokens = 150;
constexpr double kLongShare = 1.0 / 3.0;
constexpr std::uint64_t kMinOutput = 60;
constexpr std::uint64_t kMaxOutput = 260;

auto EngineName(std::size_t number) -> std::string {
  return "e" + std::to_string(number);
}

}  // namespace

PacedFleet::Router::Router(int number, const Settings& settings)
    : directory([](const gateway::UpstreamState&) {}),
      selector(directory, "a", "router-" + std::to_string(number)),
      reporter(directory, StableHash("router-" + std::to_string(number))),
      table(directory),
      name("router-" + std::to_string(number)) {
  for (int i = 0; i < settings.engines; ++i) {
    gateway::UpstreamRecord record;
    record.id = EngineName(static_cast<std::size_t>(i));
    record.service = "s";
    record.address = "10.0.0.1:1";
    record.domain = "a";
    record.started_at_ms = 1;
    this->directory.Put(record);
  }
}

PacedFleet::PacedFleet(const Settings& settings)
    : settings(settings),
      queue(FromUnixMillis(1'000'000)),
      random(settings.seed) {
  const int slow =
      static_cast<int>(std::lround(settings.engines * settings.slow_share));
  for (int i = 0; i < settings.engines; ++i) {
    this->engines.emplace_back(
        i < slow ? settings.slow_factor : settings.fast_factor,
        settings.noise_share, settings.seed * 1'000 + i);
  }
  for (int i = 0; i < settings.routers; ++i) {
    this->routers.push_back(std::make_unique<Router>(i, settings));
  }
  if (settings.routers > kLargestSmallFleet) {
    this->readers = static_cast<std::size_t>(std::max(
        kMinReaders,
        (settings.routers + kRoutersPerReader - 1) / kRoutersPerReader));
  }
  this->result.requests_by_engine.resize(this->engines.size());
}

auto PacedFleet::Run() -> Result {
  const Instant end = this->queue.Now() + this->settings.duration;
  if (this->settings.policy == Policy::kPace) {
    for (std::size_t i = 0; i < this->routers.size(); ++i) {
      const auto phase = [&](Duration period) {
        return period * static_cast<int>(i) /
               static_cast<int>(this->routers.size());
      };
      this->queue.After(phase(kUpdateInterval),
                        [this, i] { this->UpdatePaces(i); });
      if (i >= this->readers && this->readers > 0) {
        this->queue.After(phase(kExchangeInterval),
                          [this, i] { this->Exchange(i); });
      }
    }
  }
  this->Arrive();
  while (this->queue.Now() < end) {
    this->queue.Step(end);
  }
  double total = 0.0;
  for (std::size_t i = 0; i < this->routers.size(); ++i) {
    const double per_second = static_cast<double>(this->routers[i]->bytes) /
                              ToSeconds(this->settings.duration);
    total += per_second;
    if (i < this->readers) {
      this->result.reader_bytes_per_second =
          std::max(this->result.reader_bytes_per_second, per_second);
    }
  }
  this->result.bytes_per_router_second =
      total / static_cast<double>(this->routers.size());
  if (this->beliefs > 0) {
    this->result.unequal_share = static_cast<double>(this->unequal_beliefs) /
                                 static_cast<double>(this->beliefs);
  }
  return this->result;
}

auto PacedFleet::Arrive() -> void {
  const double phase = 2.0 * std::numbers::pi *
                       ToSeconds(this->queue.Now().time_since_epoch()) /
                       ToSeconds(kWavePeriod);
  const double rate = this->settings.requests_per_second *
                      (1.0 + this->settings.wave * std::sin(phase));
  constexpr double kMicrosPerSecond = 1e6;
  const double gap = -std::log(1.0 - this->random.UniformDouble()) / rate;
  this->queue.After(
      Duration(static_cast<std::int64_t>(gap * kMicrosPerSecond)), [this] {
        Router& router =
            *this->routers[this->random.UniformBelow(this->routers.size())];
        this->Send(router, this->MakePrompt());
        this->Arrive();
      });
}

auto PacedFleet::MakePrompt() -> GenerationMetadata {
  GenerationMetadata prompt;
  const std::string own = "own" + std::to_string(++this->next_prompt);
  if (this->random.UniformDouble() < kLongShare) {
    // The lower ones are used more often.
    const double place = std::pow(this->random.UniformDouble(), kSkew);
    const auto part =
        static_cast<std::uint64_t>(place * static_cast<double>(kSharedParts));
    prompt.parts = {{"shared" + std::to_string(part), kSharedTokens},
                    {own, kOwnTokens}};
    prompt.prompt_tokens = kSharedTokens + kOwnTokens;
  } else {
    prompt.parts = {{own, kShortTokens}};
    prompt.prompt_tokens = kShortTokens;
  }
  prompt.max_output_tokens =
      kMinOutput + this->random.UniformBelow(kMaxOutput - kMinOutput);
  return prompt;
}

auto PacedFleet::EngineOf(const gateway::UpstreamState& upstream) const
    -> std::size_t {
  return static_cast<std::size_t>(std::stoi(upstream.record().id.substr(1)));
}

auto PacedFleet::Choose(Router& router, const GenerationMetadata& prompt)
    -> UpstreamChoice {
  const auto upstreams = router.directory.UpstreamsOfService("s");
  const Instant now = this->queue.Now();
  const auto pick = [&] {
    return upstreams[this->random.UniformBelow(upstreams.size())];
  };
  UpstreamChoice choice{pick()};
  switch (this->settings.policy) {
    case Policy::kNoPace:
    case Policy::kPace: {
      gateway::ChoiceQuery query;
      query.service = "s";
      query.generation = &prompt;
      return router.selector.Choose(query, now).value();
    }
    case Policy::kTwoChoices: {
      const auto other = pick();
      if (other->open_requests() < choice.upstream->open_requests()) {
        choice.upstream = other;
      }
      return choice;
    }
    case Policy::kLeastOpen: {
      const std::size_t first = this->EngineOf(*choice.upstream);
      for (std::size_t i = 0; i < upstreams.size(); ++i) {
        const auto& other = upstreams[(first + i) % upstreams.size()];
        if (other->open_requests() < choice.upstream->open_requests()) {
          choice.upstream = other;
        }
      }
      return choice;
    }
    case Policy::kOracle: {
      Instant best = Instant::max();
      for (const auto& upstream : upstreams) {
        const Instant at =
            this->engines[this->EngineOf(*upstream)].FirstEventAt(prompt, now);
        if (at < best) {
          best = at;
          choice.upstream = upstream;
        }
      }
      return choice;
    }
  }
  return choice;
}

auto PacedFleet::Send(Router& router, const GenerationMetadata& prompt)
    -> void {
  const Instant now = this->queue.Now();
  UpstreamChoice choice = this->Choose(router, prompt);
  choice.memory_tokens = prompt.max_total_tokens();
  choice.upstream->RecordSent(choice.prefill_tokens, now);
  choice.upstream->ReserveMemory(choice.memory_tokens);
  router.selector.RecordPrompt(prompt, *choice.upstream, now);
  const std::size_t number = this->EngineOf(*choice.upstream);
  ++this->result.requests_by_engine[number];
  const Instant begins_at =
      this->engines[number].Begin(prompt, now + kNetwork) + kNetwork;
  const bool is_long = prompt.prompt_tokens > kShortTokens;
  this->queue.At(begins_at, [this, &router, choice, now, is_long,
                             tokens = prompt.max_output_tokens] {
    const Duration latency = this->queue.Now() - now;
    choice.upstream->RecordFirstEvent(latency, choice.nominal,
                                      this->queue.Now());
    choice.upstream->RecordFirstByte(choice.prefill_tokens, latency,
                                     choice.expected, this->queue.Now());
    constexpr double kMillisPerSecond = 1000.0;
    (is_long ? this->result.long_ms : this->result.short_ms)
        .push_back(ToSeconds(latency) * kMillisPerSecond);
    this->Generate(router, choice, tokens);
  });
}

auto PacedFleet::Generate(Router& router,
                          const UpstreamChoice& choice,
                          std::uint64_t tokens) -> void {
  EngineModel& engine = this->engines[this->EngineOf(*choice.upstream)];
  const Duration per_token = engine.PerToken(this->queue.Now());
  const auto part = static_cast<std::uint64_t>(kPacePart / per_token) + 1;
  const bool is_last = tokens <= part;
  this->queue.After(
      per_token * static_cast<std::int64_t>(std::min(tokens, part)),
      [this, &router, &engine, choice, per_token, tokens, part, is_last] {
        if (!is_last) {
          choice.upstream->RecordTokens(per_token, this->queue.Now());
          this->Generate(router, choice, tokens - part);
          return;
        }
        engine.End();
        choice.upstream->ReleaseMemory(choice.memory_tokens);
        choice.upstream->RecordEnd(0, gateway::UpstreamResult::kSucceeded,
                                   this->queue.Now());
      });
}

auto PacedFleet::Exchange(std::size_t router) -> void {
  Router& own = *this->routers[router];
  Router& reader = *this->routers[router % this->readers];
  const Instant now = this->queue.Now();
  const int fleet = this->settings.routers;
  wire::UpstreamFeedAsk ask;
  ask.set_engine_states_after(own.reporter.newest());
  gateway::AddToAsk(own.reporter.MakeReport(now), ask);
  const auto report = gateway::ReadEngineReport(ask);
  static_cast<void>(reader.table.Apply(*report, now));
  reader.table.Update(fleet, now);
  wire::UpstreamFeedNews news;
  gateway::ToWire(reader.table.NewsSince(ask.engine_states_after()),
                  *news.mutable_engine_states());
  own.reporter.Confirm(now);
  static_cast<void>(
      own.reporter.Apply(*gateway::FromWire(news.engine_states()), fleet, now));
  const std::uint64_t bytes = ask.ByteSizeLong() + news.ByteSizeLong();
  own.bytes += bytes;
  reader.bytes += bytes;
  this->queue.After(kExchangeInterval,
                    [this, router] { this->Exchange(router); });
}

auto PacedFleet::UpdatePaces(std::size_t router) -> void {
  this->routers[router]->selector.UpdatePaces(this->queue.Now());
  for (const auto& upstream :
       this->routers[router]->directory.UpstreamsOfService("s")) {
    ++this->beliefs;
    this->unequal_beliefs += upstream->pace_belief().factor == 1.0 ? 0 : 1;
  }
  this->queue.After(kUpdateInterval,
                    [this, router] { this->UpdatePaces(router); });
}

auto ShareWithin(const std::vector<double>& values, double limit) -> double {
  return values.empty()
             ? 0.0
             : static_cast<double>(std::count_if(
                   values.begin(), values.end(),
                   [limit](double value) { return value <= limit; })) /
                   static_cast<double>(values.size());
}

auto Quantile(std::vector<double> values, double quantile) -> double {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  const auto place = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  return values[place];
}

}  // namespace auburnloft::testing
