// A router's decisions: which upstream gets a request, which requests are
// retried, which routers are active, and which requests are refused.
#include "al_gateway/al_gateway.h"
#include "al_gateway/limits/attempt_timeouts.h"
#include "al_gateway/limits/connection_shedding.h"
#include "al_gateway/routing/admission.h"
#include "al_gateway/streams/event_splitter.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto MakeRecord(const std::string& id, const std::string& domain)
    -> UpstreamRecord {
  UpstreamRecord record;
  record.id = id;
  record.service = "s";
  record.address = "127.0.0.1:1";
  record.domain = domain;
  record.slots = 64;
  record.started_at_ms = 1;
  return record;
}

auto MakePrompt(const std::string& session, const std::string& suffix)
    -> GenerationMetadata {
  GenerationMetadata metadata;
  metadata.prompt_tokens = 6'000;
  metadata.parts = {{"system", 500}, {session, 4'500}, {suffix, 1'000}};
  return metadata;
}

}  // namespace

TEST_GROUP(Decisions) {
  Instant now = FromUnixMillis(1'000'000);
  std::vector<std::string> departed;
  UpstreamDirectory directory{[this](const UpstreamState& upstream) {
    this->departed.push_back(upstream.record().id);
  }};
  UpstreamSelector chooser{directory, "a"};

  auto Choose(const GenerationMetadata* generation)->std::string {
    ChoiceQuery query;
    query.service = "s";
    query.generation = generation;
    const auto choice = this->chooser.Choose(query, this->now);
    return choice ? choice->upstream->record().id : std::string();
  }

  auto Add(int count)->void {
    for (int i = 0; i < count; ++i) {
      this->directory.Put(MakeRecord("e" + std::to_string(i), "a"));
    }
  }
};

//==============================================================================
// Prefix affinity

// Load pattern: sessions whose requests share long prompts.

TEST(Decisions, PlacesAllRequestsOfASessionOnOneEngine) {
  this->Add(12);
  const GenerationMetadata first = MakePrompt("session", "own1");
  const std::string preferred = this->Choose(&first);
  for (int i = 0; i < 20; ++i) {
    const GenerationMetadata next =
        MakePrompt("session", "own" + std::to_string(i));
    CHECK_EQUAL(preferred, this->Choose(&next));
  }
}

TEST(Decisions, SpreadsSessionsOverEngines) {
  this->Add(12);
  std::map<std::string, int> counts;
  for (int i = 0; i < 240; ++i) {
    const GenerationMetadata prompt =
        MakePrompt("session" + std::to_string(i), "own");
    ++counts[this->Choose(&prompt)];
  }
  CHECK_EQUAL(12, counts.size());
  for (const auto& [id, count] : counts) {
    CHECK_TRUE(count < 40);
  }
}

// Load pattern: one session sends much of the traffic. If affinity always won,
// its engine would be overloaded while the others are idle.
TEST(Decisions, LeavesAnEngineWhoseQueueCostsMoreThanPrefillElsewhere) {
  this->Add(12);
  const GenerationMetadata prompt = MakePrompt("hot", "own");
  const std::string preferred = this->Choose(&prompt);
  for (const auto& upstream : this->directory.UpstreamsOfService("s")) {
    if (upstream->record().id == preferred) {
      for (int i = 0; i < 40; ++i) {
        upstream->RecordSent(1'000, this->now);
      }
    }
  }
  CHECK_TRUE(this->Choose(&prompt) != preferred);
}

//==============================================================================
// Upstreams that fail, leave, or return

TEST(Decisions, ExcludesAReplacedUpstreamUntilItRestarts) {
  this->Add(1);
  const auto upstream = this->directory.UpstreamsOfService("s").front();
  upstream->RecordSent(0, this->now);
  upstream->RecordEnd(0, UpstreamResult::kReplaced, this->now);
  this->now += seconds(10);
  CHECK_EQUAL(std::string(), this->Choose(nullptr));
  UpstreamRecord restarted = MakeRecord("e0", "a");
  restarted.started_at_ms = 2;
  this->directory.Put(restarted);
  CHECK_EQUAL(std::string("e0"), this->Choose(nullptr));
}

TEST(Decisions, PausesAnUpstreamThatCannotBeReached) {
  this->Add(1);
  const auto upstream = this->directory.UpstreamsOfService("s").front();
  upstream->RecordSent(0, this->now);
  upstream->RecordEnd(0, UpstreamResult::kUnreachable, this->now);
  CHECK_EQUAL(std::string(), this->Choose(nullptr));
  this->now += seconds(4);
  CHECK_EQUAL(std::string("e0"), this->Choose(nullptr));
}

TEST(Decisions, SendsNoNewWorkToALeavingUpstream) {
  this->Add(2);
  UpstreamRecord leaving = MakeRecord("e0", "a");
  leaving.leaving = true;
  this->directory.Put(leaving);
  CHECK_EQUAL(1, this->departed.size());
  CHECK_EQUAL(std::string("e1"), this->Choose(nullptr));
}

TEST(Decisions, KeepsUpstreamsWhoseEntriesLapsedWhileTheLogWasAway) {
  this->Add(2);
  this->directory.RecordLogRecovery(this->now);
  this->directory.Remove("e0", this->now);
  this->directory.Remove("e1", this->now);
  CHECK_TRUE(!this->Choose(nullptr).empty());
  this->directory.Put(MakeRecord("e0", "a"));
  this->now += seconds(3);
  this->directory.Expire(this->now);
  CHECK_EQUAL(1, this->directory.size());
}

TEST(Decisions, DropsAnUpstreamAtOnceThatLeavesInQuietTimes) {
  this->Add(1);
  this->directory.Remove("e0", this->now);
  CHECK_EQUAL(0, this->directory.size());
}

// Load pattern: plain requests, without a prompt, to three small services in
// three failure domains.
TEST(Decisions, PrefersItsOwnFailureDomainUntilThatIsBusier) {
  this->directory.Put(MakeRecord("near", "a"));
  this->directory.Put(MakeRecord("far", "b"));
  CHECK_EQUAL(std::string("near"), this->Choose(nullptr));
  for (const auto& upstream : this->directory.UpstreamsOfService("s")) {
    if (upstream->record().id == "near") {
      for (int i = 0; i < 20; ++i) {
        upstream->RecordSent(0, this->now);
      }
    }
  }
  CHECK_EQUAL(std::string("far"), this->Choose(nullptr));
}

//==============================================================================
// Retries

// Load pattern: a service fails every request, so that every request asks for a
// retry. The routers' shares must not exceed the bound of the fleet together:
// 20 % of 600 requests, plus a slack of 60.
TEST(Decisions, KeepsRetriesOfTheFleetWithinTheirBound) {
  FleetRetryLimit bound;
  bound.extra_retries = 60.0;
  constexpr int kRouters = 6;
  int retries = 0;
  for (int router = 0; router < kRouters; ++router) {
    FleetRetryBudget allowance(bound);
    for (int i = 0; i < 100; ++i) {
      allowance.RecordRequest("s", this->now);
    }
    for (int i = 0; i < 100; ++i) {
      retries += allowance.TryTake("s", kRouters, this->now) ? 1 : 0;
    }
  }
  CHECK_TRUE(retries <= 0.2 * 600 + 60);
  CHECK_TRUE(retries >= 100);
}

TEST(Decisions, AllowsRetriesAgainAfterTheWindow) {
  FleetRetryBudget allowance{FleetRetryLimit()};
  while (allowance.TryTake("s", 1, this->now)) {
  }
  this->now += seconds(12);
  CHECK_TRUE(allowance.TryTake("s", 1, this->now));
}

//==============================================================================
// Streams

TEST(Decisions, ForwardsWholeEventsOnly) {
  EventSplitter events;
  CHECK_EQUAL(std::string("id: 1\ndata: a\n\n"),
              events.Feed("id: 1\ndata: a\n\nid: 2\nda"));
  CHECK_EQUAL(std::string("id: 2\ndata: b\n\n"), events.Feed("ta: b\n\n"));
  CHECK_EQUAL(2, events.event_count());
}

TEST(Decisions, SkipsEventsThatWereForwardedBefore) {
  EventSplitter events;
  CHECK_EQUAL(std::string("id: 1\n\nid: 2\n\n"),
              events.Feed("id: 1\n\nid: 2\n\nid: 3\nda"));
  events.Resume();
  CHECK_EQUAL(std::string("id: 3\n\n"), events.Feed("id: 2\n\nid: 3\n\n"));
  CHECK_FALSE(events.has_gap());
}

// Guards against a search for the end of an event that misses one whose line
// feeds come in two parts.
TEST(Decisions, FindsEventsThatComeByteByByte) {
  EventSplitter events;
  const std::string bytes = "id: 1\ndata: a\n\n: c\n\nid: 2\n\n";
  std::string returned;
  for (const char byte : bytes) {
    returned += events.Feed({&byte, 1});
  }
  CHECK_EQUAL(bytes, returned);
}

// Guards against an upstream that sends the same event without end.
TEST(Decisions, NoticesRepeatsWithoutEnd) {
  EventSplitter events;
  (void)events.Feed("id: 1\n\n");
  std::size_t repeated = 0;
  while (!events.has_only_repeats()) {
    CHECK_TRUE(events.Feed("id: 1\n\n").empty());
    repeated += 7;
    CHECK_TRUE(repeated <= EventSplitter::kMaxRepeatedBytes + 7);
  }
  (void)events.Feed("id: 2\n\n");
  CHECK_FALSE(events.has_only_repeats());
}

TEST(Decisions, NoticesAMissingEvent) {
  EventSplitter events;
  (void)events.Feed("id: 1\n\nid: 3\n\n");
  CHECK_TRUE(events.has_gap());
}

//==============================================================================
// The fleet

TEST(Decisions, ListsTheActiveRoutersOfTheCallersDomain) {
  RouterRegistry registry("r1");
  for (const char* const name : {"r1", "r2", "r3"}) {
    RouterAnnouncement router;
    router.name = name;
    router.incarnation = std::string(name) + "#1";
    router.domain = std::string(name) == "r3" ? "b" : "a";
    router.client_address = name;
    registry.Apply(router, this->now);
  }
  CHECK_EQUAL(2, registry.AddressesFor("a", "", this->now).size());
  CHECK_EQUAL(3, registry.AddressesFor("b", "", this->now).size());
  CHECK_EQUAL(1, registry.AddressesFor("a", "", this->now + seconds(5)).size());
  CHECK_TRUE(registry.IsActiveIncarnation("r2#1", this->now));
  CHECK_FALSE(registry.IsActiveIncarnation("r2#0", this->now));
}

TEST(Decisions, FindsTheRouteWithTheLongestPrefix) {
  FleetConfig config;
  for (const char* const prefix : {"/", "/a/", "/a/b/"}) {
    RouteRule route;
    route.name = prefix;
    route.host = "h";
    route.path_prefix = prefix;
    config.routes.push_back(route);
  }
  const RouteTable table(std::move(config));
  CHECK_EQUAL(std::string("/a/b/"), table.FindRoute("h", "/a/b/c")->name);
  CHECK_EQUAL(std::string("/a/"), table.FindRoute("h", "/a/bc")->name);
  CHECK_EQUAL(std::string("/"), table.FindRoute("h", "/x")->name);
  CHECK_TRUE(table.FindRoute("other", "/a/") == nullptr);
}

//==============================================================================
// Requests before their first attempt

TEST(Decisions, RespondsItselfIfARequestMayNotBeForwarded) {
  RequestMetadata metadata;
  metadata.host = "h";
  metadata.path = "/a/x";
  CHECK_EQUAL(503, std::get<LocalResponse>(Admit(nullptr, metadata)).status);
  FleetConfig config;
  RouteRule route;
  route.host = "h";
  route.path_prefix = "/a/";
  config.routes.push_back(route);
  config.teams.push_back({"blue", {"blue-key"}, std::nullopt, std::nullopt});
  const RouteTable table(std::move(config));
  CHECK_EQUAL(401, std::get<LocalResponse>(Admit(&table, metadata)).status);
  metadata.key = "blue-key";
  CHECK_EQUAL(std::string("blue"),
              std::get<Admission>(Admit(&table, metadata)).team->name);
  metadata.path = "/b/x";
  CHECK_EQUAL(404, std::get<LocalResponse>(Admit(&table, metadata)).status);
}

TEST(Decisions, TimesAttemptsOutBeforeCallersAbandonTheirRequest) {
  RouteRule route;
  route.latency_objective = milliseconds(400);
  route.event_gap_objective = milliseconds(400);
  CHECK_TRUE(AllowanceTimeout(route) < milliseconds(50));
  CHECK_TRUE(FirstByteTimeout(route) == milliseconds(600));
  CHECK_TRUE(NextEventTimeout(route) == seconds(1));
  CHECK_TRUE(FirstEventTimeout(route) == seconds(2));
}

/** Load pattern: all routers are cut off from the log and have used up their
   allowances of a busy team. Callers that retry too early are refused again;
   callers that wait too long miss their deadline. */
TEST(Decisions, SetsRetryAfterToWhenAnOutageMayHaveEnded) {
  const Duration time_left = seconds(12);
  // The log responds: other callers' streams end soon and return tokens.
  CHECK_TRUE(AllowanceRetryAfter(milliseconds(300), time_left) == seconds(1));
  CHECK_TRUE(AllowanceRetryAfter(seconds(3), time_left) == seconds(3));
  CHECK_TRUE(AllowanceRetryAfter(seconds(6), time_left) == seconds(4));
  CHECK_TRUE(AllowanceRetryAfter(seconds(60), seconds(30)) == seconds(5));
  // A caller with little time left must not spend all of it waiting.
  CHECK_TRUE(AllowanceRetryAfter(seconds(6), seconds(2)) == seconds(1));
}

// Load pattern: one caller sends many times its usual requests on the
// connections that it has, so that one of 66 routers gets a fourth of them.
TEST(Decisions, SpreadsCallersOfARouterWithMuchMoreThanItsShare) {
  const double mean = 910.0 / 66;
  CHECK_TRUE(ConnectionCloseFraction(260.0, mean) > 0.8);
  CHECK_EQUAL(0.0, ConnectionCloseFraction(2 * mean, mean));
  // A router with few requests is not overloaded, whatever the others have.
  CHECK_EQUAL(0.0, ConnectionCloseFraction(10.0, 1.0));
  CHECK_EQUAL(0.0, ConnectionCloseFraction(260.0, 0.0));
}
