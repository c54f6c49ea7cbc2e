// How a fleet of routers keeps to the limit that an upstream names, in virtual
// time: together, whatever their number, and through cuts and restarts.
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include "al_core/random/random_source.h"
#include "al_gateway/al_gateway.h"
#include "al_gateway/upstreams/upstream_limits.h"
#include "gateway/fleet_records.h"
#include "platform/request_codec.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kLatency = milliseconds(300);  ///< Of responses.
constexpr Duration kNewsInterval = milliseconds(400);
constexpr Duration kAnnouncementPeriod = milliseconds(2'500);

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

auto LimitIn(std::string_view text) -> std::optional<double> {
  Http1ResponseHead head;
  head.status = 200;
  head.fields.Add("Server-Limit", text);
  return platform::ReadResponseMetadata(head).request_limit;
}

/** Routers that send requests to one upstream with a limit and to others
   without, and exchange their reports through the fleet topic. */
class LimitedFleet {
 public:
  /** @param requests_per_second  of the whole fleet. */
  LimitedFleet(int routers, double requests_per_second)
      : rate(requests_per_second) {
    for (int number = 0; number < routers; ++number) {
      this->routers.push_back(std::make_unique<Router>(number, 1));
    }
    this->Announce();
  }

  /** Advances the time. */
  auto Run(Duration span) -> void {
    const Instant end = this->now + span;
    while (this->now < end) {
      this->now += kStep;
      this->Respond();
      this->SendRequests();
      if (this->now - this->announced_at >= kAnnouncementPeriod) {
        this->Announce();
      }
      if (this->now - this->reported_at >= kNewsInterval) {
        this->ExchangeReports();
      }
    }
  }

  /** Replaces a router by a new process, which first reads the reports. */
  auto Restart(int number) -> void {
    auto& router = this->routers[static_cast<std::size_t>(number)];
    const bool is_cut = router->is_cut;
    router = std::make_unique<Router>(number, ++this->starts);
    router->is_cut = is_cut;
    for (const auto& [key, record] : this->records) {
      if (const auto report =
              ReadUpstreamLimitReport(record, true, this->now)) {
        router->limits.Apply(*report, this->now);
      }
    }
    this->Announce();
  }

  /** Cuts the routers with a number below `count` off from the log. */
  auto CutOff(int count) -> void {
    for (int number = 0; number < count; ++number) {
      this->routers[static_cast<std::size_t>(number)]->is_cut = true;
    }
  }

  /** Returns the most requests that the limited upstream got in some four
     seconds since `from`. */
  [[nodiscard]] auto MostInFourSeconds(Instant from) const -> int {
    std::size_t most = 0;
    for (std::size_t first = 0, next = 0; first < this->arrivals.size();
         ++first) {
      while (next < this->arrivals.size() &&
             this->arrivals[next] < this->arrivals[first] + seconds(4)) {
        ++next;
      }
      if (this->arrivals[first] >= from) {
        most = std::max(most, next - first);
      }
    }
    return static_cast<int>(most);
  }

  [[nodiscard]] auto CountArrivals(Instant from) const -> int {
    return static_cast<int>(
        std::count_if(this->arrivals.begin(), this->arrivals.end(),
                      [from](Instant at) { return at >= from; }));
  }

  [[nodiscard]] auto CountLimiting() const -> int {
    return static_cast<int>(std::count_if(
        this->routers.begin(), this->routers.end(), [](const auto& router) {
          return router->limits.LimitOf({"u0", 1}).has_value();
        }));
  }

  Instant now = FromUnixMillis(1'000'000'000);
  std::optional<double> limit;   ///< Named by the upstream.
  std::size_t record_count = 0;  ///< Written to the fleet topic.
  std::size_t record_bytes = 0;

 private:
  struct Router {
    Router(int number, int start)
        : name("router-" + std::to_string(number)),
          registry(this->name),
          directory([](const UpstreamState&) {}),
          limits(this->name + "#" + std::to_string(start), this->directory),
          selector(this->directory, "a") {
      for (const char* const id : {"u0", "u1", "u2", "u3"}) {
        this->directory.Put(MakeRecord(id));
      }
    }

    std::string name;
    RouterRegistry registry;
    UpstreamDirectory directory;
    UpstreamLimits limits;
    UpstreamSelector selector;
    bool is_cut = false;
    Instant log_read_at{};
  };

  struct Exchange {
    Instant ends_at{};
    Instant sent_at{};
    std::size_t router = 0;
    UpstreamDirectory::State upstream;
  };

  auto SendRequests() -> void {
    this->due += this->rate * ToSeconds(kStep);
    for (; this->due >= 1.0; this->due -= 1.0) {
      const auto index =
          static_cast<std::size_t>(this->random.UniformDouble() *
                                   static_cast<double>(this->routers.size()));
      Router& router = *this->routers[index];
      ChoiceQuery query;
      query.service = "s";
      const auto choice = router.selector.Choose(query, this->now);
      if (!choice) {
        continue;
      }
      choice->upstream->RecordSent(0, this->now);
      if (choice->upstream->record().id == "u0") {
        this->arrivals.push_back(this->now);
      }
      this->exchanges.push_back(
          {this->now + kLatency, this->now, index, choice->upstream});
    }
  }

  auto Respond() -> void {
    while (!this->exchanges.empty() &&
           this->exchanges.front().ends_at <= this->now) {
      const Exchange exchange = this->exchanges.front();
      this->exchanges.pop_front();
      exchange.upstream->RecordEnd(0, UpstreamResult::kSucceeded, this->now);
      const bool is_limited = exchange.upstream->record().id == "u0";
      this->routers[exchange.router]->limits.Record(
          exchange.upstream->record().process(),
          is_limited ? this->limit : std::nullopt, exchange.sent_at, this->now);
    }
  }

  auto Announce() -> void {
    this->announced_at = this->now;
    for (const auto& reader : this->routers) {
      if (reader->is_cut) {
        continue;
      }
      reader->log_read_at = this->now;
      for (const auto& writer : this->routers) {
        if (!writer->is_cut) {
          RouterAnnouncement announcement;
          announcement.name = writer->name;
          reader->registry.Apply(announcement, this->now);
        }
      }
    }
  }

  auto ExchangeReports() -> void {
    this->reported_at = this->now;
    std::vector<UpstreamLimitReport> reports;
    for (const auto& router : this->routers) {
      if (!router->is_cut) {
        router->log_read_at = this->now;
        if (const auto report = router->limits.TakeReport(this->now)) {
          const KeyedRecord record = ToRecord(*report, this->now);
          ++this->record_count;
          this->record_bytes += record.value->size();
          this->records[record.key] = record;
          reports.push_back(*ReadUpstreamLimitReport(record, false, this->now));
        }
      }
    }
    for (const auto& router : this->routers) {
      for (const UpstreamLimitReport& report : reports) {
        if (!router->is_cut) {
          router->limits.Apply(report, this->now);
        }
      }
      router->limits.Update(this->FleetOf(*router), this->now);
    }
  }

  [[nodiscard]] auto FleetOf(const Router& router) const
      -> UpstreamLimits::Fleet {
    UpstreamLimits::Fleet fleet;
    fleet.routers = router.registry.CountActive(router.log_read_at);
    fleet.is_log_reachable = this->now - router.log_read_at < seconds(2);
    fleet.is_among_first = [&router](std::string_view item, int count) {
      return router.registry.IsAmongHighestRanked(item, count,
                                                  router.log_read_at);
    };
    return fleet;
  }

  double rate;
  double due = 0.0;
  int starts = 1;
  RandomSource random{1};
  std::vector<std::unique_ptr<Router>> routers;
  std::deque<Exchange> exchanges;
  std::vector<Instant> arrivals;  ///< At the limited upstream.
  std::map<std::string, KeyedRecord> records;
  Instant announced_at{};
  Instant reported_at{};
};

/** Requests that an upstream may get in four seconds. */
auto AllowedInFourSeconds(double limit) -> double {
  return 1.5 * limit * 4 + 5;
}

/** How long after it first named a limit an upstream may get more. */
constexpr Duration kStablePeriod = milliseconds(3'000);

}  // namespace

TEST_GROUP(UpstreamLimits){};

// Guards against routers that each keep a limit, or an equal share of it, and
// exceed it together. Load pattern: 11 requests a second to each router.
TEST(UpstreamLimits, HoldInFleetsOfAnySize) {
  for (const int routers : {8, 85, 195, 420}) {
    for (const double limit : {0.0, 1.0, 1.6, 40.0}) {
      LimitedFleet fleet(routers, 11.0 * routers);
      fleet.Run(seconds(1));
      fleet.limit = limit;
      const Instant from = fleet.now + kStablePeriod;
      fleet.Run(seconds(12));
      CHECK_TRUE(fleet.MostInFourSeconds(from) <= AllowedInFourSeconds(limit));
      CHECK_TRUE(fleet.CountArrivals(from) >= 0.5 * limit * 9);
      CHECK_TRUE(fleet.CountArrivals(from) >= 1);
      CHECK_EQUAL(routers, fleet.CountLimiting());
    }
  }
}

// Guards against routers behind a cut from the log that go on as senders while
// the others choose new ones.
TEST(UpstreamLimits, HoldOnBothSidesOfACut) {
  for (const double limit : {1.0, 1.6, 12.0, 40.0}) {
    for (const int cut : {1, 4, 7}) {
      LimitedFleet fleet(8, 88.0);
      fleet.limit = limit;
      const Instant from = fleet.now + kStablePeriod;
      fleet.Run(seconds(6));
      fleet.CutOff(cut);
      fleet.Run(seconds(14));
      CHECK_TRUE(fleet.MostInFourSeconds(from) <= AllowedInFourSeconds(limit));
    }
  }
}

// Guards against a router that spends a share at once when it starts.
TEST(UpstreamLimits, HoldWhileRoutersRestart) {
  LimitedFleet fleet(8, 88.0);
  fleet.limit = 1.6;
  const Instant from = fleet.now + kStablePeriod;
  fleet.Run(seconds(3));
  for (int number = 0; number < 24; ++number) {
    fleet.Restart(number % 8);
    fleet.Run(milliseconds(500));
  }
  CHECK_TRUE(fleet.MostInFourSeconds(from) <= AllowedInFourSeconds(1.6));
}

// Guards against limits that are followed too late when they fall, or never
// end at routers to which the upstream's responses do not go.
TEST(UpstreamLimits, FollowTheUpstreamsWord) {
  LimitedFleet fleet(85, 935.0);
  fleet.limit = 40.0;
  fleet.Run(seconds(6));
  fleet.limit = 1.0;
  fleet.Run(seconds(3));
  const Instant from = fleet.now;
  fleet.Run(seconds(8));
  CHECK_TRUE(fleet.MostInFourSeconds(from) <= AllowedInFourSeconds(1.0));
  fleet.limit.reset();
  fleet.Run(seconds(6));
  CHECK_EQUAL(0, fleet.CountLimiting());
  const Instant after = fleet.now;
  fleet.Run(seconds(2));
  CHECK_TRUE(fleet.CountArrivals(after) > 200);
}

// Guards against a report from each router at each response.
TEST(UpstreamLimits, AreReportedRarely) {
  LimitedFleet fleet(195, 2'145.0);
  fleet.limit = 1.6;
  fleet.Run(seconds(2));
  const std::size_t at_first = fleet.record_count;
  fleet.Run(seconds(30));
  CHECK_TRUE(at_first <= 195);
  CHECK_TRUE(fleet.record_count - at_first <= 12);
}

// Guards against a limit that ends by a response that was overtaken, and one
// that a restarted upstream inherits.
TEST(UpstreamLimits, BelongToAProcessUntilItsLaterResponse) {
  const Instant now = FromUnixMillis(1'000'000);
  UpstreamDirectory directory([](const UpstreamState&) {});
  directory.Put(MakeRecord("u"));
  UpstreamLimits limits("router#1", directory);
  using Change = UpstreamLimits::Change;
  const auto record = [&](std::optional<double> limit, Duration sent,
                          Duration answered) {
    return limits.Record({"u", 1}, limit, now + sent, now + answered);
  };
  CHECK_TRUE(record(1.0, seconds(0), seconds(2)) == Change::kNamed);
  CHECK_TRUE(record(std::nullopt, seconds(1), seconds(3)) == Change::kNone);
  CHECK_TRUE(limits.LimitOf({"u", 1}) == 1.0);
  CHECK_FALSE(limits.LimitOf({"u", 2}).has_value());
  const auto upstream = directory.UpstreamsOfService("s").front();
  CHECK_TRUE(upstream->is_limited());
  CHECK_TRUE(record(std::nullopt, seconds(3), seconds(4)) == Change::kEnded);
  CHECK_FALSE(upstream->is_limited());
  CHECK_TRUE(record(2.0, seconds(4), seconds(5)) == Change::kNamed);
  UpstreamRecord restarted = MakeRecord("u");
  restarted.started_at_ms = 2;
  directory.Put(restarted);
  CHECK_FALSE(upstream->is_limited());
}

// Guards against a limit that is forgotten when the upstream's record expires
// in an outage of the log and returns.
TEST(UpstreamLimits, OutliveARecordThatReturns) {
  const Instant now = FromUnixMillis(1'000'000);
  UpstreamDirectory directory([](const UpstreamState&) {});
  directory.Put(MakeRecord("u"));
  UpstreamLimits limits("router#1", directory);
  limits.Record({"u", 1}, 1.0, now, now);
  directory.Remove("u", now);
  directory.Put(MakeRecord("u"));
  CHECK_TRUE(directory.UpstreamsOfService("s").front()->is_limited());
}

// Guards against callers that are told to return at once, or never, where all
// upstreams of a service are limited.
TEST(UpstreamLimits, TellWhenCallersMayReturn) {
  const Instant now = FromUnixMillis(1'000'000);
  for (const bool is_sender : {false, true}) {
    UpstreamDirectory directory([](const UpstreamState&) {});
    directory.Put(MakeRecord("u"));
    UpstreamLimits limits("router#1", directory);
    UpstreamLimits::Fleet fleet;
    fleet.routers = 8;
    fleet.is_among_first = [is_sender](std::string_view, int) {
      return is_sender;
    };
    limits.Update(fleet, now);
    CHECK_FALSE(directory.EarliestReturn("s", now).has_value());
    limits.Record({"u", 1}, 2.0, now, now);
    const auto returns = directory.EarliestReturn("s", now);
    CHECK_TRUE(returns && *returns > now + seconds(1));
    CHECK_TRUE(returns && *returns <= now + seconds(10));
  }
}

// Guards against prompts whose shared parts keep their home at an engine that
// takes only few of their requests. Load pattern: one shared part in each
// request.
TEST(UpstreamLimits, MoveTheHomeOfPrompts) {
  Instant now = FromUnixMillis(1'000'000);
  UpstreamDirectory directory([](const UpstreamState&) {});
  for (const char* const id : {"u0", "u1", "u2"}) {
    directory.Put(MakeRecord(id));
  }
  UpstreamLimits limits("router#1", directory);
  UpstreamSelector selector(directory, "a");
  GenerationMetadata prompt;
  prompt.prompt_tokens = 5'010;
  prompt.parts = {{"shared", 5'000}, {"own", 10}};
  const auto choose = [&] {
    ChoiceQuery query;
    query.service = "s";
    query.generation = &prompt;
    return selector.Choose(query, now)->upstream->record().id;
  };
  const std::string home = choose();
  limits.Record({home, 1}, 1.0, now, now);
  std::set<std::string> homes;
  for (int number = 0; number < 50; ++number) {
    now += milliseconds(200);
    homes.insert(choose());
  }
  CHECK_EQUAL(1, homes.size());
  CHECK_FALSE(homes.contains(home));
}

// Guards against values of the header that are not a limit.
TEST(UpstreamLimits, AreReadFromValidNumbersOnly) {
  CHECK_TRUE(LimitIn("1.6") == 1.6);
  CHECK_TRUE(LimitIn(" 3 ") == 3.0);
  CHECK_TRUE(LimitIn("0") == 0.0);
  for (const std::string_view text :
       {"", "-1", "nan", "inf", "1e999", "soon", "5 s", "1,5"}) {
    CHECK_FALSE(LimitIn(text).has_value());
  }
}
