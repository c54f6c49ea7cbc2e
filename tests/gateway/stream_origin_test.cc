// What routers know of streams that their callers take up, without a network:
// where streams began, which versions were listed, and who is told.
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "al_gateway/membership/router_registry.h"
#include "al_gateway/streams/stream_origin_replicas.h"
#include "al_gateway/streams/stream_origin_table.h"
#include "al_gateway/upstreams/upstream_directory.h"
#include "al_gateway/upstreams/version_history.h"
#include "support/restart_play.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Of a message that tells of streams. */
constexpr double kBytesPerStream = 45.0;

/** Hash of the incarnation of some other router. */
constexpr std::uint64_t kTeller = 7;

auto AtSecond(std::int64_t second) -> Instant {
  return Instant(seconds(1'000 + second));
}

auto Engine(const std::string& id, const std::string& version)
    -> UpstreamRecord {
  UpstreamRecord record;
  record.id = id;
  record.service = "engines";
  record.address = "127.0.0.1:1";
  record.version = version;
  return record;
}

auto Router(int number, const std::string& domain) -> RouterAnnouncement {
  RouterAnnouncement router;
  router.name = "r" + std::to_string(number);
  router.incarnation = router.name + "#1";
  router.domain = domain;
  router.peer_address = router.name + ":1";
  return router;
}

}  // namespace

TEST_GROUP(StreamOriginTables) {
  StreamOriginTable table;
};

// Guards against a table that grows with a fleet's streams: at the peak of 420
// routers, a router begins 3 streams a second and is told 6.
TEST(StreamOriginTables, KeepsStreamsForTheirLifetimeOnly) {
  for (int i = 0; i < 900; ++i) {
    this->table.RecordTold({"s" + std::to_string(i), "engines", "v1"}, kTeller,
                           AtSecond(i / 9), AtSecond(i / 9));
  }
  CHECK_TRUE(this->table.size() <= std::size_t{9} * 31);
  CHECK_TRUE(this->table.Find("s0", AtSecond(99)) == nullptr);
  CHECK_EQUAL(std::string("v1"),
              this->table.Find("s899", AtSecond(99))->version);
}

// Guards against a stream that is forgotten while it goes on, from one attempt
// of its caller to the next.
TEST(StreamOriginTables, BeginsTheLifetimeAnewWithEachAttempt) {
  this->table.RecordOwn({"s", "engines", "v1"}, AtSecond(0));
  this->table.RecordOwn({"s", "engines", "v1"}, AtSecond(20));
  this->table.RecordOwn({"other", "engines", "v1"}, AtSecond(40));
  CHECK_TRUE(this->table.Find("s", AtSecond(45)) != nullptr);
  CHECK_TRUE(this->table.Find("s", AtSecond(50)) == nullptr);
}

// Guards against ids of callers that fill the memory.
TEST(StreamOriginTables, KeepsNoOverlongIds) {
  const std::string id(StreamOriginTable::kMaxIdBytes + 1, 'x');
  this->table.RecordOwn({id, "engines", "v1"}, AtSecond(0));
  this->table.RecordOwn({"", "engines", "v1"}, AtSecond(0));
  CHECK_EQUAL(0U, this->table.size());
}

// Guards against a doubt that news of another router remove.
TEST(StreamOriginTables, KeepsADoubt) {
  this->table.RecordOwn({"s", "engines", "v1"}, AtSecond(0));
  this->table.RecordOwn({"s", "engines", ""}, AtSecond(1));
  this->table.RecordTold({"s", "engines", "v1"}, kTeller, AtSecond(2),
                         AtSecond(2));
  CHECK_TRUE(this->table.Find("s", AtSecond(2))->version.empty());
}

// Guards against a router that forgets that it serves a stream, as another one
// that was told of it passes it on.
TEST(StreamOriginTables, KeepOwnStreamsAsTheirOwn) {
  this->table.RecordOwn({"s", "engines", "v1"}, AtSecond(5));
  this->table.RecordTold({"s", "engines", "v1"}, kTeller, AtSecond(3),
                         AtSecond(6));
  int own = 0;
  this->table.VisitEntries(AtSecond(34), [&](StreamOriginTable::Entry& entry) {
    own += entry.teller == 0 ? 1 : 0;
  });
  CHECK_EQUAL(1, own);
}

TEST_GROUP(VersionHistories) {
  UpstreamDirectory directory{[](const UpstreamState&) {}};
  VersionHistory history{this->directory, seconds(16)};
};

// Guards against a history that counts time in which the router had no list.
TEST(VersionHistories, CoverOnlyTheTimeSinceTheListWasWhole) {
  this->history.Update(AtSecond(0));
  CHECK_FALSE(this->history.IsComplete(AtSecond(20)));
  this->history.Begin(AtSecond(20));
  this->history.Begin(AtSecond(30));
  CHECK_FALSE(this->history.IsComplete(AtSecond(35)));
  CHECK_TRUE(this->history.IsComplete(AtSecond(36)));
}

// Guards against a fleet that is restarted router by router, in which nobody
// has looked for as long as a stream lasts.
TEST(VersionHistories, ReachBackAsFarAsThoseOfRoutersThatWereThereBefore) {
  VersionHistory second{this->directory, seconds(16)};
  VersionHistory third{this->directory, seconds(16)};
  this->history.Begin(AtSecond(0));
  second.Begin(AtSecond(10));
  second.Extend(this->history.Sightings(AtSecond(11)),
                this->history.CoveredTime(AtSecond(11)), AtSecond(11));
  third.Begin(AtSecond(14));
  third.Extend(second.Sightings(AtSecond(15)), second.CoveredTime(AtSecond(15)),
               AtSecond(15));
  CHECK_FALSE(third.IsComplete(AtSecond(15)));
  CHECK_TRUE(third.IsComplete(AtSecond(16)));
}

// Guards against versions that leave the list before a router starts: streams
// that they began may still be taken up there.
TEST(VersionHistories, KnowWhatOthersHaveSeenForAsLongAsThoseDo) {
  this->history.Begin(AtSecond(0));
  const std::vector<VersionHistory::Sighting> sightings = {
      {"engines", "v1", seconds(20)}, {"engines", "v2", seconds(0)}};
  this->history.Extend(sightings, seconds(25), AtSecond(1));
  CHECK_TRUE(this->history.IsMixed("engines", AtSecond(10)));
  CHECK_FALSE(this->history.IsMixed("engines", AtSecond(11)));
}

// Guards against a gap between what another router saw and what this one does:
// it has no list yet.
TEST(VersionHistories, AreNotExtendedBeforeTheyBegin) {
  const std::vector<VersionHistory::Sighting> sightings = {
      {"engines", "v1", seconds(1)}};
  this->history.Extend(sightings, seconds(25), AtSecond(1));
  this->history.Begin(AtSecond(2));
  CHECK_FALSE(this->history.IsComplete(AtSecond(3)));
  CHECK_TRUE(this->history.VersionsOf("engines", AtSecond(3)).empty());
}

// Guards against numbers of another router that mean nothing.
TEST(VersionHistories, IgnoreAgesBeyondTheirPeriod) {
  this->history.Begin(AtSecond(0));
  const std::vector<VersionHistory::Sighting> sightings = {
      {"engines", "old", VersionHistory::kPeriod},
      {"engines", "future", seconds(-1)}};
  this->history.Extend(sightings, seconds(1'000'000), AtSecond(1));
  CHECK_TRUE(this->history.VersionsOf("engines", AtSecond(1)).empty());
  CHECK_TRUE(this->history.CoveredTime(AtSecond(1)) == VersionHistory::kPeriod);
}

// Guards against a release whose last old upstream has left: streams that it
// began may still be taken up.
TEST(VersionHistories, RememberAVersionThatIsListedNoMore) {
  this->directory.Put(Engine("a", "v1"));
  this->directory.Put(Engine("b", "v2"));
  this->history.Update(AtSecond(1));
  this->directory.Remove("a", AtSecond(2));
  this->history.Update(AtSecond(2));
  CHECK_TRUE(this->history.IsMixed("engines", AtSecond(30)));
  CHECK_FALSE(this->history.IsMixed("engines", AtSecond(31)));
  const std::set<std::string> now = {"v2"};
  CHECK_TRUE(this->history.VersionsOf("engines", AtSecond(31)) == now);
}

// Guards against a version that counts only from the next update on: streams
// begin at an upstream as soon as it is listed.
TEST(VersionHistories, CountAVersionAsSoonAsItIsListed) {
  this->directory.Put(Engine("a", "v1"));
  this->history.Update(AtSecond(1));
  this->directory.Put(Engine("b", "v2"));
  CHECK_TRUE(this->history.IsMixed("engines", AtSecond(1)));
}

// Guards against an upstream that starts again under its id at another version.
TEST(VersionHistories, CountBothVersionsOfAnUpstreamThatStartedAgain) {
  this->directory.Put(Engine("a", "v1"));
  this->history.Update(AtSecond(1));
  this->directory.Put(Engine("a", "v2"));
  CHECK_TRUE(this->history.IsMixed("engines", AtSecond(2)));
}

TEST_GROUP(StreamKnowers) {
  RouterRegistry registry{"r0"};

  auto Announce(int routers)->void {
    const std::vector<std::string> domains = {"a", "b", "c"};
    for (int i = 0; i < routers; ++i) {
      this->registry.Apply(Router(i, domains[static_cast<std::size_t>(i) % 3]),
                           AtSecond(0));
    }
  }
};

// Guards against the loss of a failure domain that takes all who know a stream.
TEST(StreamKnowers, AreOfDifferentDomains) {
  this->Announce(85);
  for (int i = 0; i < 100; ++i) {
    const auto knowers = this->registry.FindHighestRankedAcrossDomains(
        "s" + std::to_string(i), 4, AtSecond(0));
    CHECK_EQUAL(4U, knowers.size());
    std::set<std::string> domains;
    for (std::size_t k = 0; k < 3; ++k) {
      domains.insert(knowers[k]->domain);
    }
    CHECK_EQUAL(3U, domains.size());
  }
}

// Guards against a router that asks others than were told, as it still lists
// one that has died: of fleets of 8, 78, 195 and 420.
TEST(StreamKnowers, AreFoundByARouterThatListsADeadOne) {
  for (const int size : {8, 78, 195, 420}) {
    RouterRegistry asker{"r0"};
    RouterRegistry teller{"r1"};
    const std::vector<std::string> domains = {"a", "b", "c"};
    for (int i = 0; i < size; ++i) {
      const auto router = Router(i, domains[static_cast<std::size_t>(i) % 3]);
      asker.Apply(router, AtSecond(0));
      if (i != 5) {
        teller.Apply(router, AtSecond(0));
      }
    }
    int found = 0;
    constexpr int kStreams = 300;
    for (int i = 0; i < kStreams; ++i) {
      const std::string stream = "s" + std::to_string(i);
      std::set<std::string> asked = {"r0"};
      for (const auto* const router :
           asker.FindHighestRankedAcrossDomains(stream, 4, AtSecond(0))) {
        asked.insert(router->name);
      }
      for (const auto* const router :
           teller.FindHighestRankedAcrossDomains(stream, 2, AtSecond(0))) {
        if (asked.contains(router->name)) {
          ++found;
          break;
        }
      }
    }
    CHECK_EQUAL(kStreams, found);
  }
}

TEST_GROUP(StreamReplicas) {
  RouterRegistry registry{"r0"};
  StreamOriginReplicas replicas{this->registry, seconds(16)};

  auto Announce(const std::vector<int>& routers, int second)->void {
    for (const int number : routers) {
      this->registry.Apply(Router(number, "a"), AtSecond(second));
    }
  }
  auto AnnounceLeaving(int number, int second)->void {
    RouterAnnouncement router = Router(number, "a");
    router.leaving = true;
    this->registry.Apply(router, AtSecond(second));
  }
  auto Update(int second, const std::vector<std::string>& services = {})
      ->StreamOriginReplicas::NewsByAddress {
    this->replicas.Update(
        [&services](const std::string& service) {
          return std::ranges::find(services, service) != services.end();
        },
        AtSecond(second), AtSecond(second));
    return this->replicas.TakeNews();
  }
  /** Records a stream of which others are told. */
  auto Begin(const std::string& id, int second)->void {
    this->replicas.RecordOwn({id, "engines", "v1"}, true, AtSecond(second),
                             AtSecond(second));
  }
  /** Returns the addresses at which there is news of the stream `id`. */
  static auto Told(const StreamOriginReplicas::NewsByAddress& news,
                   const std::string& id = "s")
      ->std::set<std::string> {
    std::set<std::string> addresses;
    for (const auto& [address, streams] : news) {
      for (const auto& stream : streams) {
        if (stream.origin.attempt_id == id) {
          addresses.insert(address);
        }
      }
    }
    return addresses;
  }
};

// Guards against streams that other routers are not told of: those that began
// before a second version was listed.
TEST(StreamReplicas, AreToldOfOwnStreamsOfAServiceOnce) {
  this->Announce({1, 2}, 0);
  const Instant now = AtSecond(0);
  this->replicas.RecordOwn({"a", "engines", "v1"}, false, now, now);
  this->replicas.RecordOwn({"b", "others", "v1"}, false, now, now);
  this->replicas.RecordTold({"c", "engines", "v1"}, seconds(0), "r1#1", now);
  CHECK_TRUE(this->Update(1).empty());
  const auto news = this->Update(1, {"engines"});
  CHECK_EQUAL(2U, Told(news, "a").size());
  CHECK_TRUE(Told(news, "b").empty());
  CHECK_TRUE(Told(news, "c").empty());
  CHECK_TRUE(this->Update(1, {"engines"}).empty());
}

// Guards against a stream that nobody knows any more, as those that were told
// have left, expired or started again.
TEST(StreamReplicas, AreReplacedWhenTheyLeaveExpireOrStartAgain) {
  this->Announce({1, 2}, 0);
  this->Begin("s", 0);
  CHECK_EQUAL(2U, Told(this->replicas.TakeNews()).size());
  this->Announce({3}, 1);
  this->AnnounceLeaving(1, 1);
  this->AnnounceLeaving(2, 1);
  const std::set<std::string> only_3 = {"r3:1"};
  CHECK_TRUE(Told(this->Update(1)).contains("r3:1"));
  this->Announce({3, 4}, 2);
  const std::set<std::string> only_4 = {"r4:1"};
  CHECK_TRUE(Told(this->Update(2)) == only_4);
  RouterAnnouncement again = Router(3, "a");
  again.incarnation = "r3#2";
  this->registry.Apply(again, AtSecond(3));
  CHECK_TRUE(Told(this->Update(3)) == only_3);
  this->Announce({4}, 6);
  this->Announce({5}, 7);
  const std::set<std::string> only_5 = {"r5:1"};
  CHECK_TRUE(Told(this->Update(7)) == only_5);
}

// Guards against streams that end with their router: it leaves, while one
// version is listed and others were not told.
TEST(StreamReplicas, AreToldOfAllStreamsOfARouterThatLeaves) {
  this->Announce({1, 2}, 0);
  const Instant now = AtSecond(0);
  this->replicas.RecordOwn({"before", "engines", "v1"}, false, now, now);
  this->replicas.BeginLeaving();
  CHECK_EQUAL(2U, Told(this->Update(1), "before").size());
  this->replicas.RecordOwn({"after", "engines", "v1"}, false, AtSecond(1),
                           AtSecond(1));
  CHECK_EQUAL(2U, Told(this->replicas.TakeNews(), "after").size());
}

// Guards against a stream whose router is gone, and that the routers which were
// told of it take with them when they leave. One that still runs tells others
// itself.
TEST(StreamReplicas, PassOnWhatRoutersToldThatAreGone) {
  this->Announce({1, 2}, 0);
  this->AnnounceLeaving(3, 0);
  const Instant now = AtSecond(0);
  this->replicas.RecordTold({"stays", "engines", "v1"}, seconds(0), "r1#1",
                            now);
  this->replicas.RecordTold({"leaves", "engines", "v1"}, seconds(0), "r3#1",
                            now);
  this->replicas.RecordTold({"gone", "engines", "v1"}, seconds(0), "r4#1", now);
  CHECK_TRUE(this->Update(1).empty());
  this->replicas.BeginLeaving();
  const auto news = this->Update(1);
  CHECK_TRUE(Told(news, "stays").empty());
  CHECK_TRUE(Told(news, "leaves").empty());
  CHECK_EQUAL(2U, Told(news, "gone").size());
}

// Guards against streams that are passed on from restart to restart long after
// nobody can take them up any more.
TEST(StreamReplicas, AreNotToldOfStreamsThatNobodyTakesUpAnyMore) {
  this->Announce({1, 2}, 0);
  this->replicas.RecordTold({"old", "engines", "v1"}, seconds(14), "r4#1",
                            AtSecond(0));
  this->replicas.RecordTold({"expired", "engines", "v1"}, seconds(40), "r4#1",
                            AtSecond(0));
  this->replicas.RecordTold({"young", "engines", "v1"}, seconds(13), "r4#1",
                            AtSecond(0));
  this->replicas.BeginLeaving();
  const auto news = this->Update(2);
  CHECK_TRUE(Told(news, "old").empty());
  CHECK_TRUE(this->replicas.Find("expired", AtSecond(2)) == nullptr);
  CHECK_EQUAL(2U, Told(news, "young").size());
}

// Guards against a search that passes by the routers that were told, as they
// leave and have not been replaced yet.
TEST(StreamReplicas, AreAskedWhileTheyLeave) {
  this->Announce({1, 2}, 0);
  this->Begin("s", 0);
  const auto told = Told(this->replicas.TakeNews());
  this->AnnounceLeaving(1, 1);
  this->AnnounceLeaving(2, 1);
  this->Announce({3, 4, 5, 6, 7}, 1);
  const auto sources = this->replicas.SourcesOf("s", AtSecond(1));
  CHECK_EQUAL(4U, sources.staying.size());
  const std::set<std::string> leaving(sources.leaving.begin(),
                                      sources.leaving.end());
  CHECK_TRUE(leaving == told);
}

// Load pattern: all routers are restarted, one or an eighth of the fleet each
// two seconds, while streams last longer than the grace period. Guards against
// streams whose router, and those that it told, leave before they are taken up;
// and against news beyond the 4 KB a second that control may take: each router
// begins 2 streams a second here, and 8 at the peak of the smallest fleet.
TEST(StreamReplicas, KnowTheStreamsOfAFleetThatIsRestarted) {
  const std::vector<testing::RestartPlay::Settings> fleets = {
      {6, 1, seconds(2)},   {8, 1, seconds(2)},    {8, 2, seconds(2)},
      {78, 10, seconds(2)}, {195, 25, seconds(2)}, {420, 53, seconds(2)}};
  for (const auto& fleet : fleets) {
    testing::RestartPlay play(fleet);
    const auto result = play.Run();
    CHECK_TRUE(result.taken_up > 0);
    CHECK_EQUAL(result.taken_up, result.known);
    CHECK_TRUE(result.told_per_second * 4 * kBytesPerStream <= 4'096);
  }
}
