// What routers tell each other about engines through readers: load, memory and
// pace, in virtual time and without sockets.
#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "al_gateway/al_gateway.h"
#include "fleet.pb.h"
#include "gateway/engine_feed.h"
#include "support/paced_fleet.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)
using auburnloft::testing::PacedFleet;
using auburnloft::testing::Quantile;
using auburnloft::testing::ShareWithin;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEngines = 6;

auto MakeRecord(const std::string& id) -> UpstreamRecord {
  UpstreamRecord record;
  record.id = id;
  record.service = "s";
  record.address = "127.0.0.1:1";
  record.domain = "a";
  record.started_at_ms = 1;
  return record;
}

/** A router with its view of the engines; the first one is the reader. */
struct Router {
  explicit Router(const std::string& name)
      : selector(directory, "a", name),
        reporter(directory, std::hash<std::string>()(name) | 1),
        table(directory) {
    for (int i = 0; i < kEngines; ++i) {
      this->directory.Put(MakeRecord("e" + std::to_string(i)));
    }
  }

  auto Engine(int number) -> UpstreamState& {
    return *this->directory.UpstreamsOfService(
        "s")[static_cast<std::size_t>(number)];
  }

  UpstreamDirectory directory{[](const UpstreamState&) {}};
  UpstreamSelector selector;
  EngineLoadReporter reporter;
  EngineLoadTable table;
};

}  // namespace

TEST_GROUP(EngineLoad) {
  Instant now = FromUnixMillis(1'000'000);
  std::vector<std::unique_ptr<Router>> routers;

  auto Start(int count)->void {
    for (int i = 0; i < count; ++i) {
      this->routers.push_back(
          std::make_unique<Router>("router-" + std::to_string(i)));
    }
  }

  /** Begins a generation. */
  auto Open(UpstreamState & engine, std::uint64_t tokens)->void {
    engine.RecordSent(tokens, this->now);
    engine.ReserveMemory(tokens);
  }

  /** All routers but the first, the reader, tell it what they know and apply
      its reply. */
  auto Exchange(int fleet)->void {
    this->now += milliseconds(400);
    for (std::size_t i = 1; i < this->routers.size(); ++i) {
      this->Ask(*this->routers[i], fleet);
    }
  }

  auto Ask(Router & router, int fleet)->void {
    EngineLoadTable& table = this->routers.front()->table;
    wire::UpstreamFeedAsk ask;
    AddToAsk(router.reporter.MakeReport(this->now), ask);
    CHECK_EQUAL(0U, table.Apply(ReadEngineReport(ask).value(), this->now));
    table.Update(fleet, this->now);
    wire::EngineStates states;
    ToWire(table.NewsSince(router.reporter.newest()), states);
    router.reporter.Confirm(this->now);
    CHECK_EQUAL(0U, router.reporter.Apply(gateway::FromWire(states).value(),
                                          fleet, this->now));
  }

  auto UpdatePaces()->void {
    for (const auto& router : this->routers) {
      router->selector.UpdatePaces(this->now);
    }
  }

  auto Choose(Router & router, std::uint64_t capacity = 0)->std::string {
    GenerationMetadata prompt;
    prompt.prompt_tokens = 1'000;
    prompt.max_output_tokens = 500;
    ChoiceQuery query;
    query.service = "s";
    query.generation = &prompt;
    query.memory_capacity = capacity;
    const auto choice = router.selector.Choose(query, this->now);
    return choice ? choice->upstream->record().id : std::string();
  }
};

// Load: other routers' prompts wait at all engines but one. Guards against a
// router that sends its prompt into queues that it could know of.
TEST(EngineLoad, OfOtherRoutersIsAvoided) {
  this->Start(4);
  for (int i = 0; i < kEngines; ++i) {
    if (i != 4) {
      this->Open(this->routers[1]->Engine(i), 20'000);
      this->Open(this->routers[2]->Engine(i), 20'000);
    }
  }
  for (int i = 0; i < 20; ++i) {
    this->Exchange(4);
  }
  STRCMP_EQUAL("e4", this->Choose(*this->routers[3]).c_str());
  STRCMP_EQUAL("e4", this->Choose(*this->routers[0]).c_str());
  const OthersLoad& others = this->routers[3]->Engine(0).others();
  DOUBLES_EQUAL(40'000, others.estimate.prefill_tokens, 512);
  DOUBLES_EQUAL(2, others.estimate.generations, 0.01);
  // A router does not count its own requests twice.
  DOUBLES_EQUAL(20'000,
                this->routers[1]->Engine(0).others().estimate.prefill_tokens,
                512);
}

// Load: four of 40 routers report to one reader; one of them has a request at
// one engine. Guards against the report of few being taken for all engines but
// one being idle, or for the whole fleet having one request there.
TEST(EngineLoad, IsEstimatedForTheRoutersThatReportElsewhere) {
  this->Start(5);
  for (int i = 0; i < kEngines; ++i) {
    this->Open(this->routers[1]->Engine(i), 4'000);
  }
  this->Open(this->routers[2]->Engine(0), 4'000);
  for (int i = 0; i < 20; ++i) {
    this->Exchange(40);
  }
  const double busy =
      this->routers[3]->Engine(0).others().estimate.prefill_tokens;
  const double usual =
      this->routers[3]->Engine(1).others().estimate.prefill_tokens;
  CHECK_TRUE(busy > usual);
  CHECK_TRUE(usual > 4'000 * 8);
  CHECK_TRUE(busy < 8'000 * 13);
}

// Load: a router that sends a report and is then silent, cut off or gone.
// Guards against engines that are avoided for requests that ended long ago.
TEST(EngineLoad, OfASilentRouterFadesWithinFiveSeconds) {
  this->Start(3);
  this->Open(this->routers[1]->Engine(0), 20'000);
  this->Exchange(3);
  const auto reported = [this] {
    this->Ask(*this->routers[2], 3);
    return this->routers[0]->Engine(0).others().observed.prefill_tokens;
  };
  this->now += milliseconds(400);
  const double first = reported();
  CHECK_TRUE(first > 19'000);
  this->now += milliseconds(2'100);
  const double later = reported();
  CHECK_TRUE(later > 10'000);
  CHECK_TRUE(later < 15'000);
  this->now += milliseconds(2'600);
  DOUBLES_EQUAL(0.0, reported(), 0.0);
}

// Load: the only reader of a router is gone. Guards against decisions on its
// last words: after 5 s the router's own samples and requests count alone.
TEST(EngineLoad, OfAReaderThatIsGoneLeavesOwnSamples) {
  this->Start(3);
  Router& router = *this->routers[2];
  this->Open(this->routers[1]->Engine(1), 50'000);
  for (int step = 0; step < 20; ++step) {
    for (int i = 0; i < kEngines; ++i) {
      // The engine is slow for the reader's routers, not for this one.
      const Duration usual = milliseconds(5);
      this->routers[1]->Engine(i).RecordTokens(i == 0 ? 3 * usual : usual,
                                               this->now);
    }
    this->UpdatePaces();
    this->Exchange(3);
  }
  CHECK_TRUE(router.Engine(0).pace_belief().factor > 2.0);
  CHECK_TRUE(router.Engine(0).pace_belief().source ==
             PaceBelief::Source::kReader);
  CHECK_TRUE(router.Engine(1).Generations(this->now) > 0.9);
  for (int step = 0; step < 51; ++step) {
    this->now += milliseconds(100);
    for (int i = 0; i < kEngines; ++i) {
      router.Engine(i).RecordTokens(milliseconds(5), this->now);
    }
    this->UpdatePaces();
  }
  DOUBLES_EQUAL(1.0, router.Engine(0).pace_belief().factor, 0.0);
  CHECK_TRUE(router.Engine(0).pace_belief().source == PaceBelief::Source::kOwn);
  DOUBLES_EQUAL(0.0, router.Engine(1).Generations(this->now), 0.0);
}

// Load: 40 routers of which each observes an engine once in 2 s, too seldom to
// learn its pace. Guards against a large fleet that never learns.
TEST(EngineLoad, TellsThePaceThatAllRoutersObserved) {
  this->Start(41);
  for (int step = 0; step < 20; ++step) {
    for (std::size_t i = 1; i < this->routers.size(); ++i) {
      if ((step + static_cast<int>(i)) % 5 == 0) {
        for (int engine = 0; engine < kEngines; ++engine) {
          this->routers[i]->Engine(engine).RecordTokens(
              engine == 0 ? milliseconds(12) : milliseconds(5), this->now);
        }
      }
    }
    this->Exchange(41);
    this->UpdatePaces();
  }
  for (const auto& router : this->routers) {
    CHECK_TRUE(router->Engine(0).pace_belief().factor > 2.0);
    DOUBLES_EQUAL(1.0, router->Engine(1).pace_belief().factor, 0.0);
  }
}

// Load: a router that reports values that no engine has. Guards against one
// faulty router that spoils the sums and paces of all.
TEST(EngineLoad, OutOfRangeIsDropped) {
  this->Start(2);
  EngineLoadTable& table = this->routers[0]->table;
  const std::uint32_t engine = this->routers[0]->Engine(0).key();
  EngineReport report;
  report.reporter = 5;
  report.samples = {{engine, 1'000'000, 0, 0, {}},
                    {engine, 1, 4'000'000'000, 0, {}},
                    {engine, 1, 0, 4'000'000'000, {}},
                    {engine, 0, 0, 0, {1e-9, std::nullopt}},
                    {engine, 0, 0, 0, {1e9, std::nullopt}},
                    {engine, 0, 0, 0, {std::nan(""), std::nullopt}},
                    {engine, 0, 0, 0, {std::nullopt, seconds(3'600)}},
                    {engine, 0, 0, 0, {std::nullopt, Duration(-1)}},
                    {engine, 3, 1'000, 2'000, {}}};
  CHECK_EQUAL(8U, table.Apply(report, this->now));
  table.Update(2, this->now);
  DOUBLES_EQUAL(3, this->routers[0]->Engine(0).others().observed.generations,
                0.0);
  EngineNews news;
  news.reporters = 3;
  news.states = {{engine, 1, 0, 0, 1}, {engine, 1, 0, 0, 100'000}};
  CHECK_EQUAL(2U, this->routers[1]->reporter.Apply(news, 3, this->now));
  wire::EngineStates uneven;
  uneven.add_engines(engine);
  CHECK_FALSE(gateway::FromWire(uneven).has_value());
}

// Load: an engine restarts under its id while routers have requests there.
// Guards against the old process's load being counted for the new one.
TEST(EngineLoad, IsOfOneProcess) {
  this->Start(3);
  this->Open(this->routers[1]->Engine(0), 20'000);
  this->Exchange(3);
  CHECK_TRUE(this->routers[0]->Engine(0).others().observed.prefill_tokens > 0);
  UpstreamRecord restarted = MakeRecord("e0");
  restarted.started_at_ms = 2;
  this->routers[0]->directory.Put(restarted);
  this->routers[2]->directory.Put(restarted);
  this->now += milliseconds(400);
  this->Ask(*this->routers[2], 3);
  DOUBLES_EQUAL(
      0.0, this->routers[0]->Engine(0).others().observed.prefill_tokens, 0.0);
  DOUBLES_EQUAL(
      0.0, this->routers[2]->Engine(0).others().observed.prefill_tokens, 0.0);
}

// Load: 60 routers that all know the same loads of nearly equal engines. Guards
// against a herd: all of them choosing the engine that is the idlest by a hair.
TEST(EngineLoad, NearlyEqualLetsRoutersChooseDifferentEngines) {
  this->Start(60);
  std::map<std::string, int> chosen;
  for (const auto& router : this->routers) {
    router->selector.UpdatePaces(this->now);
    for (int i = 0; i < kEngines; ++i) {
      router->Engine(i).SetOthersObserved({}, this->now);
      router->Engine(i).SetOthersEstimate({0.0, i == 0 ? 400.0 : 500.0, 0.0});
    }
    ++chosen[this->Choose(*router)];
  }
  CHECK_EQUAL(static_cast<std::size_t>(kEngines), chosen.size());
  for (const auto& [id, count] : chosen) {
    CHECK_TRUE_TEXT(count <= 30, id.c_str());
  }
}

// Load: generations of 1,500 tokens at engines with room for 4,000. Guards
// against an engine that gets more than its memory holds, by this router alone
// and with what others have there.
TEST(EngineLoad, KeepsToTheMemoryOfEngines) {
  constexpr std::uint64_t kCapacity = 4'000;
  constexpr std::uint64_t kSize = 1'500;
  this->Start(3);
  std::map<std::string, int> sent;
  for (int i = 0; i < 2 * kEngines; ++i) {
    const std::string id = this->Choose(*this->routers[1], kCapacity);
    CHECK_FALSE(id.empty());
    ++sent[id];
    this->routers[1]->Engine(std::stoi(id.substr(1))).ReserveMemory(kSize);
  }
  for (const auto& [id, count] : sent) {
    CHECK_EQUAL(2, count);
  }
  STRCMP_EQUAL("", this->Choose(*this->routers[1], kCapacity).c_str());
  // Nothing is known of it yet at another router, and then everything.
  CHECK_FALSE(this->Choose(*this->routers[2], kCapacity).empty());
  this->Exchange(3);
  this->Exchange(3);
  STRCMP_EQUAL("", this->Choose(*this->routers[2], kCapacity).c_str());
  STRCMP_EQUAL("", this->Choose(*this->routers[0], kCapacity).c_str());
  CHECK_FALSE(this->Choose(*this->routers[2]).empty());  // Without a limit.
  this->routers[1]->Engine(3).ReleaseMemory(2 * kSize);
  STRCMP_EQUAL("e3", this->Choose(*this->routers[1], kCapacity).c_str());
  this->Exchange(3);
  this->Exchange(3);
  STRCMP_EQUAL("e3", this->Choose(*this->routers[2], kCapacity).c_str());
  // A generation above the capacity is left to an empty engine to judge.
  STRCMP_EQUAL("e3", this->Choose(*this->routers[1], 1'000).c_str());
}

// Load: 60 engines, a third slow, with noise, under waves of 8 and 91 routers'
// requests. Guards against placement that leaves the slow engines with queues.
TEST(EngineLoad, PlacementByPaceServesMoreInTime) {
  for (const int routers : {8, 91}) {
    PacedFleet::Settings settings;
    settings.routers = routers;
    settings.duration = seconds(34);
    const auto paced = PacedFleet(settings).Run();
    settings.policy = PacedFleet::Policy::kNoPace;
    const auto unpaced = PacedFleet(settings).Run();
    CHECK_TRUE(ShareWithin(paced.long_ms, 1'000) >
               ShareWithin(unpaced.long_ms, 1'000) + 0.05);
    CHECK_TRUE(Quantile(paced.long_ms, 0.95) <
               Quantile(unpaced.long_ms, 0.95) * 2 / 3);
    // The slow engines are used, and the exchange keeps to its budget: a bound
    // of one request in 3 s.
    for (int i = 0; i < 20; ++i) {
      CHECK_TRUE(paced.requests_by_engine[static_cast<std::size_t>(i)] > 11);
    }
    CHECK_TRUE(paced.bytes_per_router_second < 4'000);
  }
}
