// Evacuations of failure domains: in virtual time, how the routers of a fleet
// learn of them and keep them; with real sockets, that nothing new reaches the
// upstreams of an evacuated domain.
#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "al_gateway/al_gateway.h"
#include "platform/operator_codec.h"
#include "support/gateway_fixture.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)
using auburnloft::testing::GatewayFixture;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** In which an evacuation must be in force everywhere. */
constexpr Duration kBound = milliseconds(5'000);

constexpr Duration kStep = milliseconds(50);

/** Of a reader's reads of the log, and of the other routers' requests. */
constexpr Duration kReadInterval = milliseconds(400);

constexpr std::array<std::string_view, 3> kDomains = {"a", "b", "c"};

auto MakeRecord(const std::string& id, std::string_view domain)
    -> UpstreamRecord {
  UpstreamRecord record;
  record.id = id;
  record.service = "s";
  record.address = "127.0.0.1:1";
  record.domain = std::string(domain);
  record.slots = 64;
  record.started_at_ms = 1;
  return record;
}

/** Routers before upstreams in three domains. Readers read the operator's topic
   of a log that can be away or come back from a copy; the others ask them. */
class EvacuationFleet {
 public:
  explicit EvacuationFleet(int routers) : registry("nobody") {
    for (int number = 0; number < routers; ++number) {
      RouterAnnouncement announcement;
      announcement.name = NameOf(number);
      announcement.domain = kDomains[static_cast<std::size_t>(number) % 3];
      announcement.peer_address = NameOf(number);
      this->registry.Apply(announcement, this->now);
      this->routers.push_back(std::make_unique<Router>());
    }
    for (int number = 0; number < routers; ++number) {
      this->plans.push_back(PlanDiscovery(
          this->registry, NameOf(number),
          kDomains[static_cast<std::size_t>(number) % 3], this->now));
    }
    this->Run(seconds(2));
  }

  /** Writes a record of an evacuation, or one that ends it. */
  auto Write(const std::string& domain, bool is_evacuated) -> void {
    this->records.emplace_back(domain, is_evacuated);
  }

  auto Copy() -> void { this->copy = this->records; }
  auto Restore() -> void {
    this->records = this->copy;
    ++this->era;
  }

  auto Run(Duration span) -> void {
    const Instant end = this->now + span;
    while (this->now < end) {
      this->now += kStep;
      for (std::size_t number = 0; number < this->routers.size(); ++number) {
        Router& router = *this->routers[number];
        router.evacuations->Expire(this->now);
        const auto phase = kStep * static_cast<std::int64_t>(number);
        if ((this->now.time_since_epoch() + phase) % kReadInterval ==
            Duration(0)) {
          this->Exchange(number);
        }
        this->CountChoices(router);
      }
    }
  }

  /** Replaces a router by a new process. */
  auto Restart(int number) -> void {
    this->routers[static_cast<std::size_t>(number)] =
        std::make_unique<Router>();
  }

  [[nodiscard]] auto IsKnownAt(int number) const -> bool {
    return this->routers[static_cast<std::size_t>(number)]
        ->evacuations->is_known();
  }

  /** Number of routers that would send a request to `domain` now. */
  [[nodiscard]] auto CountSenders(const std::string& domain) const -> int {
    return static_cast<int>(
        std::ranges::count_if(this->routers, [&](const auto& router) {
          return std::ranges::any_of(
              router->directory.UpstreamsOfDomain(domain),
              [this](const auto& item) { return item->is_usable(this->now); });
        }));
  }

  [[nodiscard]] auto size() const -> int {
    return static_cast<int>(this->routers.size());
  }

  Instant now = FromUnixMillis(1'000'000'000);
  bool is_log_away = false;
  std::set<std::size_t> dead;        ///< Routers that reply to nobody.
  std::map<std::string, int> sends;  ///< Requests by domain, counted.
  std::map<std::string, int> refusals;

 private:
  struct Router {
    Router()
        : directory([](const UpstreamState&) {}), selector(directory, "a") {
      this->evacuations = std::make_unique<EvacuationTable>(
          [this](const EvacuationTable::Change& change) {
            this->directory.SetEvacuated(change.domain, change.has_begun);
          });
      for (int number = 0; number < 9; ++number) {
        this->directory.Put(
            MakeRecord("u" + std::to_string(number),
                       kDomains[static_cast<std::size_t>(number) % 3]));
      }
    }

    UpstreamDirectory directory;
    UpstreamSelector selector;
    std::unique_ptr<EvacuationTable> evacuations;
    std::size_t position = 0;
    int era = -1;
    Instant read_at{};
  };

  static auto NameOf(int number) -> std::string {
    return "router-" + std::to_string(number);
  }

  auto Exchange(std::size_t number) -> void {
    Router& router = *this->routers[number];
    if (this->plans[number].reads_log || !router.evacuations->is_known()) {
      this->Read(router);
      return;
    }
    if (!this->is_log_away) {
      this->ObserveLog(router);  // By the fleet's topic.
    }
    for (const std::string& peer : this->plans[number].peers) {
      const auto reader = static_cast<std::size_t>(std::stoi(peer.substr(7)));
      if (!this->dead.contains(reader)) {
        router.evacuations->ApplyFromReader(
            this->routers[reader]->evacuations->Domains(), this->now);
        return;
      }
    }
  }

  auto ObserveLog(Router& router) -> void {
    const bool is_known = router.era >= 0;
    if (is_known && (router.era != this->era ||
                     this->now - router.read_at >= milliseconds(1'500))) {
      router.evacuations->RecordLogRecovery(this->now);
    }
    if (router.era != this->era) {
      router.position = 0;
      router.era = this->era;
    }
    router.read_at = this->now;
  }

  auto Read(Router& router) -> void {
    if (this->is_log_away) {
      return;
    }
    this->ObserveLog(router);
    if (router.position == 0) {
      std::set<std::string> listed;
      for (const auto& [domain, is_evacuated] : this->records) {
        if (is_evacuated) {
          listed.insert(domain);
        } else {
          listed.erase(domain);
        }
      }
      router.evacuations->SetListed(listed, this->now);
    }
    for (; router.position < this->records.size(); ++router.position) {
      const auto& [domain, is_evacuated] = this->records[router.position];
      if (is_evacuated) {
        router.evacuations->Put(domain);
      } else {
        router.evacuations->Remove(domain, this->now);
      }
    }
  }

  /** A request each at a time when another upstream than the local ones may be
     chosen, too. */
  auto CountChoices(Router& router) -> void {
    ChoiceQuery query;
    query.service = "s";
    std::vector<std::string> tried;
    for (int attempt = 0; attempt < 6; ++attempt) {
      query.excluded = tried;
      const auto choice = router.selector.Choose(query, this->now);
      if (!choice) {
        ++this->refusals[""];
        return;
      }
      ++this->sends[choice->upstream->record().domain];
      tried.push_back(choice->upstream->record().id);
    }
  }

  RouterRegistry registry;
  std::vector<std::unique_ptr<Router>> routers;
  std::vector<DiscoveryPlan> plans;
  std::vector<std::pair<std::string, bool>> records = {{"none", false}};
  std::vector<std::pair<std::string, bool>> copy = {{"none", false}};
  int era = 0;
};

constexpr std::array<int, 3> kFleetSizes = {8, 76, 195};

}  // namespace

TEST_GROUP(Evacuations){};

// Guards against routers that never learn of an evacuation or its end, or too
// late: all routers read in a small fleet, few in a large one. Load pattern:
// six requests of each router each 50 ms.
TEST(Evacuations, AreInForceAtAllRoutersInTime) {
  for (const int routers : kFleetSizes) {
    EvacuationFleet fleet(routers);
    CHECK_EQUAL(routers, fleet.CountSenders("b"));
    fleet.Write("b", true);
    fleet.Run(kBound);
    CHECK_EQUAL(0, fleet.CountSenders("b"));
    CHECK_EQUAL(routers, fleet.CountSenders("a"));
    fleet.sends.clear();
    fleet.Run(seconds(3));
    CHECK_EQUAL(0, fleet.sends["b"]);
    CHECK_TRUE(fleet.sends["a"] > 0 && fleet.sends["c"] > 0);
    fleet.Write("b", false);
    fleet.Run(kBound);
    CHECK_EQUAL(routers, fleet.CountSenders("b"));
  }
}

// Guards against an evacuation that is forgotten while the log is away, or
// after it has come back.
TEST(Evacuations, AreKeptThroughAnOutageOfTheLog) {
  for (const int routers : kFleetSizes) {
    EvacuationFleet fleet(routers);
    fleet.Write("b", true);
    fleet.Run(kBound);
    fleet.sends.clear();
    fleet.is_log_away = true;
    fleet.Run(seconds(20));
    fleet.is_log_away = false;
    fleet.Run(seconds(8));
    CHECK_EQUAL(0, fleet.sends["b"]);
  }
}

// Guards against requests to a domain whose evacuation a restored log has lost
// and has again two seconds later.
TEST(Evacuations, AreKeptUntilARestoredLogIsComplete) {
  for (const int routers : kFleetSizes) {
    EvacuationFleet fleet(routers);
    fleet.Copy();
    fleet.Write("b", true);
    fleet.Run(kBound);
    fleet.sends.clear();
    fleet.Restore();
    fleet.Run(seconds(2));
    fleet.Write("b", true);
    fleet.Run(seconds(8));
    CHECK_EQUAL(0, fleet.sends["b"]);
  }
}

// Guards against an older copy's record that ends an evacuation begun later.
TEST(Evacuations, AreNotEndedByTheRecordOfAnOlderCopy) {
  for (const int routers : kFleetSizes) {
    EvacuationFleet fleet(routers);
    fleet.Write("b", true);
    fleet.Write("b", false);
    fleet.Copy();
    fleet.Write("b", true);
    fleet.Run(kBound);
    fleet.sends.clear();
    fleet.Restore();
    fleet.Run(seconds(2));
    fleet.Write("b", true);
    fleet.Run(seconds(8));
    CHECK_EQUAL(0, fleet.sends["b"]);
  }
}

// Guards against an evacuation that no record names any more and that lasts for
// good.
TEST(Evacuations, EndAfterTheGracePeriodIfTheLogHasLostThem) {
  for (const int routers : kFleetSizes) {
    EvacuationFleet fleet(routers);
    fleet.Copy();
    fleet.Write("b", true);
    fleet.Run(kBound);
    fleet.Restore();
    fleet.Run(EvacuationTable::kGracePeriod - milliseconds(100));
    CHECK_EQUAL(0, fleet.CountSenders("b"));
    fleet.Run(seconds(2));
    CHECK_EQUAL(routers, fleet.CountSenders("b"));
  }
}

// Guards against routers whose reader is gone and that miss an evacuation.
TEST(Evacuations, AreLearnedFromTheNextReader) {
  for (const int routers : {76, 195}) {
    EvacuationFleet fleet(routers);
    for (int number = 0; number < 3; ++number) {
      for (int other = 0; other < routers; ++other) {
        if (other % 24 == number) {
          fleet.dead.insert(static_cast<std::size_t>(other));
        }
      }
    }
    fleet.Write("b", true);
    fleet.Run(kBound);
    CHECK_EQUAL(0, fleet.CountSenders("b"));
  }
}

// Guards against a router that starts, counts as ready, and does not know of an
// evacuation yet.
TEST(Evacuations, AreKnownBeforeARouterThatStartsIsReady) {
  for (const int routers : kFleetSizes) {
    EvacuationFleet fleet(routers);
    fleet.Write("b", true);
    fleet.Run(kBound);
    for (int number = 0; number < fleet.size(); ++number) {
      fleet.Restart(number);
      CHECK_FALSE(fleet.IsKnownAt(number));
    }
    for (int step = 0; step < 40; ++step) {
      fleet.Run(kStep);
      const int senders = fleet.CountSenders("b");
      int unknown = 0;
      for (int number = 0; number < fleet.size(); ++number) {
        unknown += fleet.IsKnownAt(number) ? 0 : 1;
      }
      CHECK_EQUAL(unknown, senders);
    }
    CHECK_EQUAL(0, fleet.CountSenders("b"));
  }
}

// Guards against evacuations that hide each other, that refuse nothing although
// no domain is left, or that concern domains without upstreams.
TEST(Evacuations, MayConcernSeveralAllOrUnknownDomains) {
  for (const int routers : kFleetSizes) {
    EvacuationFleet fleet(routers);
    fleet.Write("nowhere", true);
    fleet.Write("b", true);
    fleet.Write("c", true);
    fleet.Run(kBound);
    CHECK_EQUAL(0, fleet.CountSenders("b") + fleet.CountSenders("c"));
    CHECK_EQUAL(routers, fleet.CountSenders("a"));
    fleet.Write("a", true);
    fleet.Run(kBound);
    fleet.sends.clear();
    fleet.refusals.clear();
    fleet.Run(seconds(1));
    CHECK_EQUAL(0, fleet.sends["a"] + fleet.sends["b"] + fleet.sends["c"]);
    CHECK_EQUAL(20 * routers, fleet.refusals[""]);
    fleet.Write("c", false);
    fleet.Run(kBound);
    CHECK_EQUAL(routers, fleet.CountSenders("c"));
    CHECK_EQUAL(0, fleet.CountSenders("a") + fleet.CountSenders("b"));
  }
}

// Guards against keys without end that fill the table.
TEST(Evacuations, AreBoundedWhateverAWriterSends) {
  int begun = 0;
  EvacuationTable table([&](const EvacuationTable::Change&) { ++begun; });
  for (std::size_t i = 0; i < 2 * EvacuationTable::kMaxDomains; ++i) {
    table.Put("domain-" + std::to_string(i));
  }
  CHECK_EQUAL(EvacuationTable::kMaxDomains, table.Domains().size());
  CHECK_EQUAL(EvacuationTable::kMaxDomains, static_cast<std::size_t>(begun));
}

// Guards against prompts that lose their home, and what it has cached, although
// another domain is evacuated. Load pattern: 300 shared parts of prompts.
TEST(Evacuations, MoveOnlyTheHomesInTheDomain) {
  Instant now = FromUnixMillis(1'000'000);
  UpstreamDirectory directory([](const UpstreamState&) {});
  std::map<std::string, std::string> domain_of;
  for (int number = 0; number < 30; ++number) {
    const UpstreamRecord record =
        MakeRecord("u" + std::to_string(number),
                   kDomains[static_cast<std::size_t>(number) % 3]);
    domain_of[record.id] = record.domain;
    directory.Put(record);
  }
  const UpstreamSelector selector(directory, "a");
  const auto homes = [&] {
    std::vector<std::string> found;
    for (int part = 0; part < 300; ++part) {
      GenerationMetadata prompt;
      prompt.prompt_tokens = 5'010;
      prompt.parts = {{"shared-" + std::to_string(part), 5'000}, {"own", 10}};
      ChoiceQuery query;
      query.service = "s";
      query.generation = &prompt;
      found.push_back(selector.Choose(query, now)->upstream->record().id);
    }
    return found;
  };
  const std::vector<std::string> before = homes();
  directory.SetEvacuated("b", true);
  const std::vector<std::string> during = homes();
  int moved = 0;
  for (std::size_t part = 0; part < before.size(); ++part) {
    if (domain_of[before[part]] == "b") {
      CHECK_TRUE(domain_of[during[part]] != "b");
      ++moved;
    } else {
      STRCMP_EQUAL(before[part].c_str(), during[part].c_str());
    }
  }
  CHECK_TRUE(moved > 50);
  directory.SetEvacuated("b", false);
  CHECK_TRUE(homes() == before);
}

// Guards against keys of the operator's topic that are taken for evacuations.
TEST(Evacuations, AreReadFromTheirKeysOnly) {
  CHECK_TRUE(platform::ReadEvacuatedDomain("evacuate/b") == "b");
  CHECK_TRUE(platform::ReadEvacuatedDomain("evacuate/b/1") == "b/1");
  for (const std::string_view key :
       {"config", "evacuate", "evacuate/", "evacuates/b", "evacuate/\x01"}) {
    CHECK_FALSE(platform::ReadEvacuatedDomain(key).has_value());
  }
}

/** A router between upstreams in the domains `a` (desk-1, engine-1) and `b`
    (desk-2, engine-2). */
TEST_GROUP(EvacuationSessions) {
  std::unique_ptr<GatewayFixture> fixture;

  TEST_SETUP() {
    this->fixture = std::make_unique<GatewayFixture>();
    this->List();
    this->fixture->Publish(1, 1'000'000);
  }

  TEST_TEARDOWN() {
    this->fixture.reset();
  }

  auto List()->void {
    this->fixture->store.Put(
        "keyed.servers", "desk-2",
        this->fixture->service_2->Entry("desks", "b", false));
    this->fixture->store.Put(
        "keyed.servers", "engine-2",
        this->fixture->engine_2->Entry("engines", "b", false));
  }

  auto Evacuate(const std::string& domain)->void {
    this->fixture->store.Put("keyed.op", platform::MakeEvacuationKey(domain),
                             "{}");
  }

  auto End(const std::string& domain)->void {
    this->fixture->store.Put("keyed.op", platform::MakeEvacuationKey(domain),
                             std::nullopt);
  }

  /** Sends plain requests and generations, most of them at the same time, so
      that the upstreams of both domains are needed. */
  auto SendMany(const std::string& name)->int {
    std::vector<std::shared_ptr<GatewayFixture::Response>> responses;
    for (int number = 0; number < 24; ++number) {
      GatewayFixture::Call call;
      call.id = name + std::to_string(number);
      if (number % 2 == 1) {
        call.path = "/ask/";
        call.tokens = "1010,20";
        call.prompt_parts = call.id + ":1000,own:10";
      } else if (number % 4 == 0) {
        call.path = "/read/";
      }
      responses.push_back(this->fixture->StartSending(call));
      this->fixture->RunFor(milliseconds(5));
    }
    this->fixture->RunFor(milliseconds(800));
    return static_cast<int>(std::ranges::count_if(
        responses, [](const auto& item) { return item->status == 200; }));
  }

  [[nodiscard]] auto ExecutedInB() const->std::size_t {
    return this->fixture->service_2->executions().size() +
           this->fixture->engine_2->executions().size();
  }
};

// Guards against requests, also prompts whose home it is, that reach an
// evacuated upstream, and running ones that are cut. Load pattern: 24 requests
// at almost the same time.
TEST(EvacuationSessions, NothingNewReachesTheDomain) {
  CHECK_EQUAL(24, this->SendMany("before-"));
  CHECK_TRUE(this->ExecutedInB() > 0);
  this->fixture->engine_1->SetPace(milliseconds(10), milliseconds(600));
  this->fixture->engine_2->SetPace(milliseconds(10), milliseconds(600));
  std::vector<std::shared_ptr<GatewayFixture::Response>> running;
  for (int number = 0; number < 8; ++number) {
    GatewayFixture::Call call;
    call.id = "running-" + std::to_string(number);
    call.path = "/draft/";
    call.tokens = "1010,20";
    call.prompt_parts = call.id + ":1000,own:10";
    running.push_back(this->fixture->StartSending(call));
  }
  this->fixture->RunFor(milliseconds(100));
  this->Evacuate("b");
  this->fixture->RunFor(milliseconds(500));
  const std::size_t before = this->ExecutedInB();
  this->fixture->engine_1->SetPace(milliseconds(2), milliseconds(2));
  CHECK_EQUAL(24, this->SendMany("during-"));
  CHECK_EQUAL(before, this->ExecutedInB());
  this->fixture->RunFor(seconds(3));
  for (const auto& response : running) {
    CHECK_TRUE(response->complete);
    CHECK_EQUAL(200, response->status);
  }
  const auto state = nlohmann::json::parse(this->fixture->router->StateDump());
  CHECK_EQUAL(1U, state["evacuated_domains"].size());
  CHECK_EQUAL(2, state["evacuated_domains"][0]["upstreams"].get<int>());
  CHECK_EQUAL(0, state["evacuated_domains"][0]["open_requests"].get<int>());
  const auto metrics =
      this->fixture->Get(GatewayFixture::AddressOf(1, "metrics"), "/metrics");
  CHECK_TRUE(
      metrics.body.find("auburnloft_evacuations_total{change=\"begun\"} 1") !=
      std::string::npos);
  this->End("b");
  this->fixture->engine_2->SetPace(milliseconds(2), milliseconds(2));
  this->fixture->RunFor(milliseconds(500));
  CHECK_EQUAL(24, this->SendMany("after-"));
  CHECK_TRUE(this->ExecutedInB() > before);
}

// Guards against requests that wait, or are told nothing, where all domains are
// evacuated.
TEST(EvacuationSessions, AreRefusedAtOnceWithoutAnyDomain) {
  this->Evacuate("a");
  this->Evacuate("b");
  this->Evacuate("nowhere");
  this->fixture->RunFor(milliseconds(500));
  const Instant before = this->fixture->loop.Now();
  const auto response = this->fixture->Send({});
  CHECK_EQUAL(503, response.status);
  CHECK_FALSE(response.retry_after.empty());
  CHECK_TRUE(this->fixture->loop.Now() - before < milliseconds(200));
  CHECK_EQUAL(0U, this->fixture->service_1->executions().size());
  this->End("a");
  this->fixture->RunFor(milliseconds(500));
  CHECK_EQUAL(200, this->fixture->Send({}).status);
}

// Guards against an evacuation that is lost while the log does not reply, or
// ended by an older record of a restored log.
TEST(EvacuationSessions, KeepAnEvacuationThroughOutageAndRestore) {
  this->fixture->store.Copy();
  this->Evacuate("b");
  this->fixture->RunFor(milliseconds(500));
  this->fixture->store.SetFault(standins::StoreServer::Fault::kBusy);
  this->fixture->RunFor(seconds(3));
  this->SendMany("away-");
  this->fixture->store.Restore();
  this->End("b");  // As an older copy has it.
  this->fixture->store.SetFault(standins::StoreServer::Fault::kNone);
  this->fixture->RunFor(milliseconds(700));
  this->SendMany("restored-");
  this->List();
  this->Evacuate("b");
  this->fixture->RunFor(seconds(4));
  this->SendMany("later-");
  CHECK_EQUAL(0U, this->ExecutedInB());
}

// Guards against a router that reports ready and sends requests before it has
// read of an evacuation that is behind the configuration in the list.
TEST(EvacuationSessions, AreKnownToARouterThatStarts) {
  this->Evacuate("a");
  this->fixture->AddRouter(2);
  bool was_ready = false;
  for (int step = 0; step < 60; ++step) {
    const auto readiness = this->fixture->Get(
        GatewayFixture::AddressOf(2, "readiness"), "/readyz");
    was_ready = was_ready || readiness.status == 200;
    GatewayFixture::Call call;
    call.id = "start-" + std::to_string(step);
    this->fixture->SendTo(GatewayFixture::AddressOf(2, "clients"), call);
    this->fixture->RunFor(milliseconds(10));
  }
  this->fixture->RunFor(milliseconds(500));
  CHECK_TRUE(was_ready);
  CHECK_TRUE(this->ExecutedInB() > 10);
  CHECK_EQUAL(0U, this->fixture->service_1->executions().size());
}

// Guards against routers of a large fleet that are no readers of the log and do
// not learn of an evacuation.
TEST(EvacuationSessions, ReachRoutersThatDoNotReadTheLog) {
  constexpr int kRouters = 14;
  for (int number = 2; number <= kRouters; ++number) {
    this->fixture->AddRouter(number);
  }
  this->fixture->RunFor(seconds(3));
  this->Evacuate("a");
  this->Evacuate("b");
  this->fixture->RunFor(seconds(2));
  int from_readers = 0;
  for (const auto& router : this->fixture->more_routers) {
    const auto state = nlohmann::json::parse(router->StateDump());
    CHECK_EQUAL(2U, state["evacuated_domains"].size());
  }
  for (int number = 2; number <= kRouters; ++number) {
    const auto answer =
        this->fixture->SendTo(GatewayFixture::AddressOf(number, "clients"), {});
    from_readers += answer.status == 503 ? 1 : 0;
  }
  CHECK_EQUAL(kRouters - 1, from_readers);
  this->End("a");
  this->fixture->RunFor(seconds(2));
  for (int number = 2; number <= kRouters; ++number) {
    const auto answer =
        this->fixture->SendTo(GatewayFixture::AddressOf(number, "clients"), {});
    CHECK_EQUAL(200, answer.status);
  }
}
