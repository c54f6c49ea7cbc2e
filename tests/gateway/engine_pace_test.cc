// The pace of engines that routers learn from responses, and what it changes in
// the selection of upstreams, in virtual time.
#include <algorithm>
#include <cmath>
#include <map>
#include <string>

#include "al_core/random/random_source.h"
#include "al_core/text/digest.h"
#include "al_gateway/al_gateway.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(100);
constexpr Duration kNoiseInterval = milliseconds(600);
constexpr double kNoise = 2.5;
constexpr double kNoiseShare = 0.15;

auto MakeRecord(const std::string& id) -> UpstreamRecord {
  UpstreamRecord record;
  record.id = id;
  record.service = "s";
  record.address = "127.0.0.1:1";
  record.domain = "a";
  record.slots = 64;
  record.started_at_ms = 1;
  return record;
}

auto MakePrompt(int number) -> GenerationMetadata {
  GenerationMetadata prompt;
  prompt.prompt_tokens = 12'000;
  prompt.parts = {{"shared" + std::to_string(number), 5'382}, {"own", 6'618}};
  return prompt;
}

auto Scaled(Duration duration, double factor) -> Duration {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

TEST_GROUP(EnginePace) {
  Instant now = FromUnixMillis(1'000'000);
  UpstreamDirectory directory{[](const UpstreamState&) {}};
  UpstreamSelector selector{directory, "a"};
  RandomSource random{7};

  auto Add(int engines)->void {
    for (int i = 0; i < engines; ++i) {
      this->directory.Put(MakeRecord("e" + std::to_string(i)));
    }
  }

  auto Engine(int number)->UpstreamState& {
    return *this->directory.UpstreamsOfService(
        "s")[static_cast<std::size_t>(number)];
  }

  /** An engine with this factor of the nominal time answers for a step: a
      stream in each step, a long prompt in each fifth. @param queue  time that
      first events wait for requests of others. */
  auto Observe(int number, double factor, Duration queue = Duration(0))->void {
    UpstreamState& engine = this->Engine(number);
    engine.RecordTokens(Scaled(milliseconds(5), factor), this->now);
    if (this->now.time_since_epoch() / kStep % 5 == 0) {
      engine.RecordFirstEvent(queue + Scaled(milliseconds(240), factor),
                              milliseconds(240), this->now);
    }
  }

  auto Advance()->void {
    this->now += kStep;
    if (this->now.time_since_epoch() / kStep % 5 == 0) {
      this->selector.UpdatePaces(this->now);
    }
  }

  auto Factor(int number)->double {
    return this->Engine(number).pace_belief().factor;
  }

  auto Choose(const GenerationMetadata& prompt)->UpstreamChoice {
    ChoiceQuery query;
    query.service = "s";
    query.generation = &prompt;
    return this->selector.Choose(query, this->now).value();
  }

  /** Returns the share of 1,000 shared parts whose home is this engine. */
  auto HomeShare(const std::string& id)->double {
    int homes = 0;
    for (int i = 0; i < 1'000; ++i) {
      homes += this->Choose(MakePrompt(i)).upstream->record().id == id ? 1 : 0;
    }
    return homes / 1'000.0;
  }
};

// Load: engines with 0.7, 0.7 and 1.7 times the nominal time. Guards against a
// slow engine that gets as many prompts as a fast one and is expected to be as
// fast.
TEST(EnginePace, OfASlowEngineIsLearned) {
  this->Add(3);
  for (int step = 0; step < 50; ++step) {
    this->Observe(0, 0.7);
    this->Observe(1, 0.7);
    this->Observe(2, 1.7);
    this->Advance();
  }
  DOUBLES_EQUAL(1.0, this->Factor(0), 0.0);
  DOUBLES_EQUAL(1.0, this->Factor(1), 0.0);
  CHECK_TRUE(this->Factor(2) > 2.0);
  const double share = this->HomeShare("e2");
  CHECK_TRUE(share > 0.1);
  CHECK_TRUE(share < 0.25);
  for (int i = 0; i < 20; ++i) {
    const UpstreamChoice choice = this->Choose(MakePrompt(i));
    const double ratio = ToSeconds(choice.expected) / ToSeconds(choice.nominal);
    DOUBLES_EQUAL(choice.upstream->pace_belief().factor, ratio, 0.01);
  }
}

// Load: equal engines, each 2.5 times as slow in 15 of 100 intervals of 600 ms.
// Guards against noise that moves homes of prompts, which costs cached tokens.
TEST(EnginePace, IsNotLearnedFromNoise) {
  constexpr int kEngines = 12;
  this->Add(kEngines);
  int slow = 0;
  int all = 0;
  std::map<std::pair<int, std::int64_t>, double> noise;
  for (int step = 0; step < 3'000; ++step) {
    const std::int64_t interval = this->now.time_since_epoch() / kNoiseInterval;
    for (int i = 0; i < kEngines; ++i) {
      const auto [item, is_new] = noise.try_emplace({i, interval}, 1.0);
      if (is_new && this->random.Bernoulli(kNoiseShare)) {
        item->second = kNoise;
      }
      this->Observe(i, item->second);
    }
    this->Advance();
    for (int i = 0; i < kEngines; ++i) {
      slow += this->Factor(i) == 1.0 ? 0 : 1;
      ++all;
    }
  }
  CHECK_TRUE_TEXT(slow * 200 < all, std::to_string(slow).c_str());
}

// Load: a wave of requests from other routers makes first events of one engine
// 2.5 times as late for 10 s, while its streams run as before. Guards against a
// queue that is taken for a slow engine.
TEST(EnginePace, IsNotLearnedFromAQueue) {
  this->Add(4);
  for (int step = 0; step < 100; ++step) {
    this->Observe(0, 1.0, milliseconds(400));
    for (int i = 1; i < 4; ++i) {
      this->Observe(i, 1.0);
    }
    this->Advance();
    DOUBLES_EQUAL(1.0, this->Factor(0), 0.0);
  }
}

// Load: engines whose streams slow each other down, of which one has ten times
// the streams. Guards against a busy engine that is taken for a slow one.
TEST(EnginePace, IsComparedAtTheSameNumberOfStreams) {
  this->Add(4);
  for (int step = 0; step < 200; ++step) {
    for (int i = 0; i < 4; ++i) {
      const int streams = (i == 0 ? 20 : 2) + step / 10 % 2;
      UpstreamState& engine = this->Engine(i);
      while (engine.open_requests() < streams) {
        engine.RecordSent(0, this->now);
      }
      while (engine.open_requests() > streams) {
        engine.RecordEnd(0, UpstreamResult::kSucceeded, this->now);
      }
      this->Observe(i, std::exp(0.02 * streams));
    }
    this->Advance();
  }
  DOUBLES_EQUAL(1.0, this->Factor(0), 0.0);
}

// Load: an engine that was slow is as fast as the others again; another one is
// not used any more. Guards against an engine that is avoided for good.
TEST(EnginePace, OfAnEngineThatRecoversIsNoticed) {
  this->Add(5);
  for (int step = 0; step < 100; ++step) {
    for (int i = 0; i < 5; ++i) {
      this->Observe(i, i < 3 ? 1.0 : 2.4);
    }
    this->Advance();
  }
  CHECK_TRUE(this->Factor(3) > 2.0);
  CHECK_TRUE(this->Factor(4) > 2.0);
  for (int step = 0; step < 50; ++step) {
    for (int i = 0; i < 4; ++i) {
      this->Observe(i, 1.0);
    }
    this->Advance();
  }
  DOUBLES_EQUAL(1.0, this->Factor(3), 0.0);
  for (int step = 0; step < 150; ++step) {
    this->Advance();
  }
  DOUBLES_EQUAL(1.0, this->Factor(4), 0.0);
}

// Load: a slow engine's process is replaced under its id. Guards against the
// pace of the old process being attributed to the new one.
TEST(EnginePace, StartsOverWithANewProcess) {
  this->Add(3);
  for (int step = 0; step < 50; ++step) {
    for (int i = 0; i < 3; ++i) {
      this->Observe(i, i == 0 ? 2.4 : 1.0);
    }
    this->Advance();
  }
  CHECK_TRUE(this->Factor(0) > 2.0);
  UpstreamRecord restarted = MakeRecord("e0");
  restarted.started_at_ms = 2;
  this->directory.Put(restarted);
  DOUBLES_EQUAL(1.0, this->Factor(0), 0.0);
  this->selector.UpdatePaces(this->now);
  DOUBLES_EQUAL(1.0, this->Factor(0), 0.0);
}

// Load: engines that differ by less than 15%, with random queues. Guards
// against a change for fleets of equal engines: the choices must be those of a
// selector that knows no pace, and the home the first in rendezvous order.
TEST(EnginePace, ChangesNothingWithEqualEngines) {
  constexpr int kEngines = 12;
  this->Add(kEngines);
  UpstreamDirectory plain([](const UpstreamState&) {});
  for (int i = 0; i < kEngines; ++i) {
    plain.Put(MakeRecord("e" + std::to_string(i)));
  }
  UpstreamSelector reference(plain, "a");
  for (int step = 0; step < 1'000; ++step) {
    for (int i = 0; i < kEngines; ++i) {
      this->Observe(i, 0.94 + 0.01 * i);
    }
    this->Advance();
    const GenerationMetadata prompt = MakePrompt(step % 70);
    ChoiceQuery query;
    query.service = "s";
    query.generation = &prompt;
    const UpstreamChoice choice = this->Choose(prompt);
    const UpstreamChoice expected = reference.Choose(query, this->now).value();
    const std::string id = choice.upstream->record().id;
    STRCMP_EQUAL(expected.upstream->record().id.c_str(), id.c_str());
    CHECK_TRUE(expected.expected == choice.expected);
    if (step == 0) {
      for (int i = 0; i < kEngines; ++i) {
        CHECK_TRUE(StableHash("shared0", "e" + std::to_string(i)) <=
                   StableHash("shared0", id));
      }
    }
    choice.upstream->RecordSent(choice.prefill_tokens, this->now);
    expected.upstream->RecordSent(choice.prefill_tokens, this->now);
    this->selector.RecordPrompt(prompt, *choice.upstream, this->now);
    reference.RecordPrompt(prompt, *expected.upstream, this->now);
    const auto ended = this->random.UniformBelow(kEngines);
    this->directory.UpstreamsOfService("s")[ended]->RecordEnd(
        12'000, UpstreamResult::kSucceeded, this->now);
    plain.UpstreamsOfService("s")[ended]->RecordEnd(
        12'000, UpstreamResult::kSucceeded, this->now);
  }
}
