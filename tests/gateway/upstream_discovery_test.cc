// Upstream discovery in a large fleet: which routers, the readers, read the
// upstreams' records from the log service, and which updates they serve to the
// other routers.
#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "al_gateway/al_gateway.h"
#include "support/gateway_fixture.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)
using auburnloft::testing::GatewayFixture;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** About the size of a configuration of GatewayFixture. */
constexpr std::uint64_t kConfigBytes = 1'000;

auto RouterName(int number) -> std::string {
  return "router-" + std::to_string(number);
}

/** The failure domain of a router; consecutive routers take turns over three
   domains. */
auto DomainOf(int number) -> std::string {
  constexpr std::string_view kDomains = "abc";
  return std::string(kDomains.substr(static_cast<std::size_t>(number) % 3, 1));
}

/** The plan of a router that may request updates from three readers. */
auto PlanWithThreeReaders() -> DiscoveryPlan {
  DiscoveryPlan plan;
  plan.reads_log = false;
  plan.peers = {"first", "second", "third"};
  return plan;
}

auto MakeRecord(const std::string& id) -> UpstreamRecord {
  UpstreamRecord record;
  record.id = id;
  record.service = "s";
  record.address = "127.0.0.1:1";
  return record;
}

}  // namespace

TEST_GROUP(UpstreamDiscovery) {
  Instant now = FromUnixMillis(1'000'000);
  RouterRegistry registry{RouterName(0)};
  UpstreamChangeLog history;

  auto Announce(int routers)->void {
    for (int number = 0; number < routers; ++number) {
      RouterAnnouncement announcement;
      announcement.name = RouterName(number);
      announcement.incarnation = RouterName(number) + "#1";
      announcement.domain = DomainOf(number);
      announcement.peer_address = RouterName(number);
      this->registry.Apply(announcement, this->now);
    }
  }

  auto PlanOf(int number)->DiscoveryPlan {
    return PlanDiscovery(this->registry, RouterName(number), DomainOf(number),
                         this->now);
  }
};

TEST(UpstreamDiscovery, AllRoutersOfASmallFleetReadTheLog) {
  this->Announce(12);
  for (int number = 0; number < 12; ++number) {
    CHECK_TRUE(this->PlanOf(number).reads_log);
  }
}

/** Load pattern: 420 routers and 600 upstreams that renew their records. If all
   routers read the log, its load would grow as routers times upstreams. */
TEST(UpstreamDiscovery, FewOf420RoutersReadAndServeTheOthers) {
  constexpr int kRouters = 420;
  this->Announce(kRouters);
  std::set<std::string> readers;
  std::map<std::string, int> followers_of;
  int same_domain_count = 0;
  for (int number = 0; number < kRouters; ++number) {
    const DiscoveryPlan plan = this->PlanOf(number);
    if (plan.reads_log) {
      readers.insert(RouterName(number));
      continue;
    }
    ++followers_of[plan.peers.front()];
    const int reader = std::stoi(plan.peers.front().substr(7));
    same_domain_count += DomainOf(reader) == DomainOf(number) ? 1 : 0;
  }
  CHECK_EQUAL(18U, readers.size());
  CHECK_EQUAL(kRouters - 18, same_domain_count);  // Each domain has a reader.
  for (const auto& [reader, count] : followers_of) {
    CHECK_TRUE(readers.contains(reader));
    // Each router sends a request every 0.4 s, so that 80 routers keep a reader
    // at 200 replies per second at most.
    CHECK_TRUE_TEXT(count <= 80, std::to_string(count).c_str());
  }
}

/** Load pattern: hundreds of routers that each spend tokens of all teams. If
   every router reported each second, the log's load would grow with the
   fleet. */
TEST(UpstreamDiscovery, SpendingReportsPerSecondDoNotGrowWithTheFleet) {
  for (const int routers : {1, 8, 32, 66, 300, 420}) {
    for (std::uint64_t round = 1; round <= 20; ++round) {
      int reports = 0;
      for (int router = 0; router < routers; ++router) {
        reports +=
            ShouldReportSpending(RouterName(router), round, routers) ? 1 : 0;
      }
      // A hash of its name selects the rounds in which a router reports, so the
      // number of reports varies.
      CHECK_TRUE(reports >= std::min(routers, 12));
      CHECK_TRUE(reports <= 2 * 32);
    }
  }
}

/** Load pattern: VMs with links of 10 and of 200 Mbit/s, and records of
   thousands of upstreams that are renewed each second. A reader needs the
   bandwidth for all renewals. */
TEST(UpstreamDiscovery, RoutersWithTheWidestLinksRead) {
  this->Announce(60);
  for (int number = 0; number < 60; number += 8) {
    RouterAnnouncement announcement;
    announcement.name = RouterName(number);
    announcement.peer_address = announcement.name;
    announcement.link_mbps = 200;
    this->registry.Apply(announcement, this->now);
  }
  int readers = 0;
  for (int number = 0; number < 60; ++number) {
    if (this->PlanOf(number).reads_log) {
      CHECK_EQUAL(0, number % 8);
      ++readers;
    }
  }
  CHECK_EQUAL(6, readers);
}

/** Load pattern: 420 routers that announce themselves on one topic, which each
   router reads. */
TEST(UpstreamDiscovery, AnnouncementsPerSecondAreBoundedInLargeFleets) {
  CHECK_TRUE(AnnouncementInterval(6) == seconds(1));
  CHECK_TRUE(AnnouncementInterval(100) == seconds(1));
  CHECK_TRUE(AnnouncementInterval(420) == milliseconds(4'200));
  // Three announcements may be lost at any size.
  this->Announce(420);
  CHECK_EQUAL(420, this->registry.CountActive(this->now + seconds(13)));
  CHECK_EQUAL(1, this->registry.CountActive(this->now + seconds(14)));
}

TEST(UpstreamDiscovery, ALeavingReaderIsReplaced) {
  this->Announce(60);
  DiscoveryPlan plan;
  int follower = 0;
  while ((plan = this->PlanOf(follower)).reads_log) {
    ++follower;
  }
  RouterAnnouncement leaving;
  leaving.name = plan.peers.front();
  leaving.peer_address = leaving.name;
  leaving.leaving = true;
  this->registry.Apply(leaving, this->now);
  const DiscoveryPlan next = this->PlanOf(follower);
  CHECK_TRUE(next.reads_log || next.peers.front() != plan.peers.front());
}

TEST(UpstreamDiscovery, ReadsTheLogForAWhileAfterReadersFail) {
  DiscoverySource source;
  source.SetPlan(PlanWithThreeReaders());
  STRCMP_EQUAL("first", source.peer().c_str());
  source.RecordFailure(DiscoverySource::Failure::kNoUpdate, true, this->now);
  CHECK_FALSE(source.reads_log(this->now));
  STRCMP_EQUAL("second", source.peer().c_str());
  source.RecordFailure(DiscoverySource::Failure::kNoUpdate, true, this->now);
  CHECK_TRUE(source.reads_log(this->now + seconds(4)));
  CHECK_FALSE(source.reads_log(this->now + seconds(6)));
  STRCMP_EQUAL("third", source.peer().c_str());
}

/** Load pattern: all routers of a large fleet restart at once. If the others
   did not wait while the readers list the records, all routers would read the
   log at the same time. */
TEST(UpstreamDiscovery, WaitsForReadersThatHaveJustStarted) {
  DiscoverySource source;
  source.SetPlan(PlanWithThreeReaders());
  for (int i = 0; i < 9; ++i) {
    source.RecordFailure(DiscoverySource::Failure::kNotReady, true, this->now);
  }
  CHECK_FALSE(source.reads_log(this->now));
  source.RecordFailure(DiscoverySource::Failure::kNotReady, true, this->now);
  CHECK_TRUE(source.reads_log(this->now));
}

TEST(UpstreamDiscovery, KeepsItsReadersWhileTheLogIsUnreachableForAll) {
  DiscoverySource source;
  source.SetPlan(PlanWithThreeReaders());
  for (int i = 0; i < 5; ++i) {
    source.RecordFailure(DiscoverySource::Failure::kNoUpdate, false, this->now);
  }
  CHECK_FALSE(source.reads_log(this->now));
}

TEST(UpstreamDiscovery, RejectsUpdatesOfAReaderThatIsCutOffFromTheLog) {
  CHECK_TRUE(DiscoverySource::IsFresh({milliseconds(400), milliseconds(10)}));
  CHECK_FALSE(
      DiscoverySource::IsFresh({milliseconds(1'300), milliseconds(10)}));
  // Neither router reaches the log: the reader's update is no older than what
  // this router could read itself.
  CHECK_TRUE(DiscoverySource::IsFresh({seconds(8), seconds(8)}));
}

TEST(UpstreamDiscovery, ReturnsChangesButNoRenewals) {
  this->history.RecordChange("e1", MakeRecord("e1"));
  this->history.RecordChange("e2", MakeRecord("e2"));
  const std::uint64_t seen = this->history.newest();
  this->history.RecordChange("e1", MakeRecord("e1"));
  CHECK_TRUE(this->history.ChangesSince(seen).changes.empty());
  this->history.RecordChange("e2", std::nullopt);
  UpstreamRecord leaving = MakeRecord("e1");
  leaving.leaving = true;
  this->history.RecordChange("e1", leaving);
  const UpstreamUpdate update = this->history.ChangesSince(seen);
  CHECK_FALSE(update.whole);
  CHECK_EQUAL(2U, update.changes.size());
  CHECK_FALSE(update.changes[0].record.has_value());
  CHECK_TRUE(update.changes[1].record->leaving);
  const UpstreamUpdate all = this->history.ChangesSince(0);
  CHECK_TRUE(all.whole);
  CHECK_EQUAL(1U, all.changes.size());
}

TEST(UpstreamDiscovery, ReturnsTheWholeListIfRemovalsWereDiscarded) {
  this->history.RecordChange("kept", MakeRecord("kept"));
  const std::uint64_t seen = this->history.newest();
  for (int i = 0; i < 3'000; ++i) {
    const std::string id = "e" + std::to_string(i);
    this->history.RecordChange(id, MakeRecord(id));
    this->history.RecordChange(id, std::nullopt);
  }
  CHECK_TRUE(this->history.ChangesSince(seen).whole);
  CHECK_EQUAL(1U, this->history.ChangesSince(seen).changes.size());
  CHECK_FALSE(this->history.ChangesSince(this->history.newest() - 10).whole);
}

TEST(UpstreamDiscovery, RemovesUpstreamsMissingFromANewList) {
  this->history.RecordChange("e1", MakeRecord("e1"));
  this->history.RecordChange("e2", MakeRecord("e2"));
  const std::uint64_t seen = this->history.newest();
  this->history.RemoveAllExcept({"e1"});
  const UpstreamUpdate update = this->history.ChangesSince(seen);
  CHECK_EQUAL(1U, update.changes.size());
  STRCMP_EQUAL("e2", update.changes[0].id.c_str());
}

/** Load pattern: many routers, and renewals of upstreams as most of the log's
   records. If each of the 14 routers read them, the log service would send each
   renewal 14 times; the bound allows 8 times for six readers. */
TEST(UpstreamDiscovery,
     FourteenRoutersReadRenewalsSixTimesAndSeeUpstreamsLeave) {
  GatewayFixture fixture;
  fixture.Publish(1, 1'000'000);
  constexpr int kRouters = 14;
  for (int number = 2; number <= kRouters; ++number) {
    fixture.AddRouter(number);
  }
  fixture.RunFor(seconds(3));
  const std::uint64_t before = fixture.store.BytesRead("keyed.servers");
  std::uint64_t written = 0;
  for (int round = 0; round < 200; ++round) {
    const std::string entry =
        R"({"Service":"other","Address":"127.0.0.1:9","Zone":"a","BatchSlots":8,)"
        R"("State":"ready","born":1,"Sequence":)" +
        std::to_string(round) + "}";
    fixture.store.Put("keyed.servers", "other-1", entry);
    written += entry.size();
    fixture.RunFor(milliseconds(10));
  }
  fixture.RunFor(seconds(1));
  const std::uint64_t read = fixture.store.BytesRead("keyed.servers") - before;
  CHECK_TRUE_TEXT(read < 8 * written, std::to_string(read).c_str());

  // All routers, readers or not, stop sending requests to upstreams that leave.
  fixture.List(*fixture.service_1, "desk-1", "desks", true);
  fixture.List(*fixture.service_2, "desk-2", "desks", true);
  fixture.RunFor(seconds(2));
  for (int number = 2; number <= kRouters; ++number) {
    const auto answer = fixture.SendTo(
        GatewayFixture::AddressOf(number, "clients"), GatewayFixture::Call());
    CHECK_EQUAL(503, answer.status);
  }
}

/** Load pattern: configurations in quick succession before many routers, as in
   an operator's storm of changes. If each of the 14 routers read each of them,
   the log service's bandwidth would not suffice with thousands of routes; the
   bound allows 8 times for six readers. */
TEST(UpstreamDiscovery, FourteenRoutersReadAStormOfConfigurationsSixTimes) {
  GatewayFixture fixture;
  fixture.Publish(1, 1'000'000);
  constexpr int kRouters = 14;
  constexpr std::uint64_t kVersions = 60;
  for (int number = 2; number <= kRouters; ++number) {
    fixture.AddRouter(number);
  }
  fixture.RunFor(seconds(4));
  const std::uint64_t before = fixture.store.BytesRead("keyed.op");
  for (std::uint64_t version = 2; version <= kVersions; ++version) {
    fixture.PutConfig(version, 1'000'000);
    fixture.RunFor(milliseconds(40));
  }
  fixture.RunFor(seconds(2));
  const std::uint64_t read = fixture.store.BytesRead("keyed.op") - before;
  const std::uint64_t written = kVersions * kConfigBytes;
  CHECK_TRUE_TEXT(read < 8 * written, std::to_string(read).c_str());
  const auto version_of = [](const GatewayDaemon& router) {
    return nlohmann::json::parse(router.StateDump())["config_version"]
        .get<std::uint64_t>();
  };
  CHECK_EQUAL(kVersions, version_of(*fixture.router));
  for (const auto& router : fixture.more_routers) {
    CHECK_EQUAL(kVersions, version_of(*router));
  }
}

/** Load pattern: long streams of one router of a large fleet. Guards against
   requests and replies without the load of engines: a router of the same reader
   must know of the streams, and not after they have ended. */
TEST(UpstreamDiscovery, RoutersLearnOfEachOthersOpenGenerations) {
  GatewayFixture fixture;
  fixture.Publish(1, 1'000'000);
  constexpr int kRouters = 14;
  for (int number = 2; number <= kRouters; ++number) {
    fixture.AddRouter(number);
  }
  for (auto* const engine : {fixture.engine_1.get(), fixture.engine_2.get()}) {
    engine->SetPace(milliseconds(2), milliseconds(100));
    engine->SetTokensPerEvent(1);
  }
  fixture.RunFor(seconds(3));
  const auto known = [&fixture] {
    double most = 0.0;
    for (const auto& router : fixture.more_routers) {
      double sum = 0.0;
      const auto state = nlohmann::json::parse(router->StateDump());
      for (const auto& engine : state["engine_paces"]) {
        sum += engine.value("reported_generations", 0.0);
      }
      most = std::max(most, sum);
    }
    return most;
  };
  DOUBLES_EQUAL(0.0, known(), 0.0);
  GatewayFixture::Call call;
  call.path = "/draft/";
  call.tokens = "100,30";
  std::vector<std::shared_ptr<GatewayFixture::Response>> streams;
  for (const std::string_view id : {"a1", "a2", "a3"}) {
    call.id = id;
    streams.push_back(fixture.StartSending(call));
  }
  fixture.RunFor(milliseconds(1'500));
  DOUBLES_EQUAL(3.0, known(), 0.0);
  for (const auto& stream : streams) {
    fixture.loop.RunUntil([&stream] { return stream->ended; }, seconds(6));
    CHECK_EQUAL(200, stream->status);
  }
  fixture.RunFor(milliseconds(1'500));
  DOUBLES_EQUAL(0.0, known(), 0.0);
}
