// Cold upstreams, in virtual time: how many requests all routers of a fleet
// together send to one, how the routers learn that it is cold, and when its
// full capacity is used again.
#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include "al_core/random/random_source.h"
#include "al_gateway/al_gateway.h"
#include "al_gateway/upstreams/upstream_limits.h"
#include "platform/config_codec.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kLatency = milliseconds(100);  ///< Of responses.
constexpr Duration kTick = milliseconds(500);
constexpr Duration kAnnouncementPeriod = milliseconds(2'500);

/** Until a router has read a new record: from a reader that reads each 400 ms,
    which it asks each 400 ms. */
constexpr Duration kMaxReadDelay = milliseconds(800);

constexpr double kRate = 9.3;  ///< Of a cold upstream, requests a second.
constexpr Duration kWarmUp = seconds(3);
constexpr int kAllowedInOneSecond = static_cast<int>(kRate * 1.5 + 5.0);
constexpr std::array<int, 3> kFleetSizes = {8, 76, 195};
constexpr std::array<std::string_view, 3> kDomains = {"a", "b", "c"};

/** Routers that send requests to the upstreams of one service in three domains,
    of which some are cold. */
class ColdFleet {
 public:
  explicit ColdFleet(int routers, Duration warm_up = kWarmUp)
      : upstream_count(std::max(3, routers / 3)) {
    this->rule.name = "s";
    this->rule.warm_up = warm_up;
    this->rule.warm_up_per_second = kRate;
    for (int number = 0; number < this->upstream_count; ++number) {
      this->records.push_back(this->MakeRecord(number));
    }
    for (int number = 0; number < routers; ++number) {
      this->routers.push_back(std::make_unique<Router>(*this, number));
      this->ReadAll(*this->routers.back());
    }
    this->Announce();
    this->Tick();
    this->Run(seconds(4));
  }

  auto Run(Duration span) -> void {
    const Instant end = this->now + span;
    while (this->now < end) {
      this->now += kStep;
      this->Read();
      this->Respond();
      this->SendRequests();
      if (this->now - this->announced_at >= kAnnouncementPeriod) {
        this->Announce();
      }
      if (this->now - this->ticked_at >= kTick) {
        this->Tick();
      }
    }
  }

  /** Replaces an upstream by a new process that is cold. */
  auto RestartCold(int number) -> void {
    UpstreamRecord& record = this->records[static_cast<std::size_t>(number)];
    ++record.started_at_ms;
    record.warm_up_left = this->rule.warm_up;
    this->Write(record);
  }

  /** As RestartCold() for each upstream of a domain. */
  auto RestartDomainCold(std::string_view domain) -> void {
    for (const int number : this->UpstreamsOf(domain)) {
      this->RestartCold(number);
    }
  }

  /** Begins or ends an evacuation, which routers learn of as of records. */
  auto Evacuate(const std::string& domain, bool is_evacuated) -> void {
    for (const auto& router : this->routers) {
      this->news.push_back({this->now + this->ReadDelay(), router.get(),
                            std::nullopt, domain, is_evacuated});
    }
  }

  /** Lets a router start anew, which first reads all records. */
  auto RestartRouter(int number) -> void {
    auto& router = this->routers[static_cast<std::size_t>(number)];
    std::erase_if(this->exchanges, [&](const Exchange& exchange) {
      return exchange.router == router.get();
    });
    std::erase_if(this->news, [&](const News& item) {
      return item.router == router.get();
    });
    router = std::make_unique<Router>(*this, number);
    this->UpdateMembers(*router);  // None is known at the start.
    this->ReadAll(*router);
    this->Announce();
  }

  auto CutOff(int count) -> void {
    for (int number = 0; number < count; ++number) {
      this->routers[static_cast<std::size_t>(number)]->is_cut = true;
    }
  }

  /** Returns the most requests that one of the upstreams got in some second
      within the time. */
  [[nodiscard]] auto MostInOneSecond(const std::set<int>& upstreams,
                                     Instant from,
                                     Instant until) const -> int {
    std::size_t most = 0;
    for (const auto& [upstream, times] : this->arrivals) {
      for (std::size_t first = 0, next = 0;
           upstreams.contains(upstream) && first < times.size(); ++first) {
        while (next < times.size() && times[next] < times[first] + seconds(1) &&
               times[next] < until) {
          ++next;
        }
        if (times[first] >= from && times[first] < until) {
          most = std::max(most, next - first);
        }
      }
    }
    return static_cast<int>(most);
  }

  /** Returns the upstreams of a domain. */
  [[nodiscard]] auto UpstreamsOf(std::string_view domain) const
      -> std::set<int> {
    std::set<int> found;
    for (int number = 0; number < this->upstream_count; ++number) {
      if (this->DomainOf(number) == domain) {
        found.insert(number);
      }
    }
    return found;
  }

  /** Requests that an upstream got. */
  [[nodiscard]] auto CountArrivals(int upstream, Instant from, Instant until)
      -> int {
    const auto& times = this->arrivals[upstream];
    return static_cast<int>(std::ranges::count_if(
        times, [&](Instant at) { return at >= from && at < until; }));
  }

  [[nodiscard]] auto DomainOf(int upstream) const -> std::string_view {
    return kDomains[static_cast<std::size_t>(upstream) % 3];
  }

  [[nodiscard]] auto count() const -> int { return this->upstream_count; }

  Instant now = FromUnixMillis(1'000'000'000);
  std::set<int> unreachable;          ///< Upstreams that accept no connection.
  int refused = 0;                    ///< Requests without an upstream.
  double requests_per_router = 11.0;  ///< A second.

 private:
  struct Router {
    Router(ColdFleet& fleet, int number)
        : name("router-" + std::to_string(number)),
          registry(this->name),
          directory([](const UpstreamState&) {}),
          limits(this->name + "#1", this->directory),
          cold(
              this->limits,
              [&fleet](std::string_view) { return &fleet.rule; },
              [](const ColdUpstreams::Change&) {}),
          selector(this->directory, "elsewhere") {}

    std::string name;
    RouterRegistry registry;
    UpstreamDirectory directory;
    UpstreamLimits limits;
    ColdUpstreams cold;
    UpstreamSelector selector;
    bool is_cut = false;
    Instant log_read_at{};
  };

  struct News {
    Instant at{};
    Router* router = nullptr;
    std::optional<UpstreamRecord> record;
    std::string domain;
    bool is_evacuated = false;
  };

  struct Exchange {
    Instant ends_at{};
    Router* router = nullptr;
    UpstreamDirectory::State upstream;
    bool is_reached = false;
  };

  [[nodiscard]] auto MakeRecord(int number) const -> UpstreamRecord {
    UpstreamRecord record;
    record.id = "u" + std::to_string(number);
    record.service = "s";
    record.address = "127.0.0.1:1";
    record.domain = std::string(this->DomainOf(number));
    record.slots = 64;
    record.started_at_ms = 1;
    return record;
  }

  auto ReadDelay() -> Duration {
    return Duration(static_cast<std::int64_t>(
        this->random.UniformDouble() *
        static_cast<double>(Duration(kMaxReadDelay).count())));
  }

  auto Write(const UpstreamRecord& record) -> void {
    for (const auto& router : this->routers) {
      this->news.push_back(
          {this->now + this->ReadDelay(), router.get(), record, {}, false});
    }
  }

  auto ReadAll(Router& router) -> void {
    for (const UpstreamRecord& record : this->records) {
      router.directory.Put(record);
      router.cold.RecordWarmUp(record, this->now);
    }
  }

  auto Read() -> void {
    for (const News& item : this->news) {
      if (item.at > this->now || item.router->is_cut) {
        continue;
      }
      if (item.record) {
        item.router->directory.Put(*item.record);
        item.router->cold.RecordWarmUp(*item.record, this->now);
        continue;
      }
      const auto concerned =
          item.router->directory.SetEvacuated(item.domain, item.is_evacuated);
      if (!item.is_evacuated) {
        item.router->cold.RecordEvacuationEnd(concerned, this->now);
      }
    }
    std::erase_if(this->news,
                  [this](const News& item) { return item.at <= this->now; });
  }

  auto SendRequests() -> void {
    this->due += this->requests_per_router *
                 static_cast<double>(this->routers.size()) * ToSeconds(kStep);
    for (; this->due >= 1.0; this->due -= 1.0) {
      Router& router = *this->routers[static_cast<std::size_t>(
          this->random.UniformDouble() *
          static_cast<double>(this->routers.size()))];
      const auto choice = this->Choose(router);
      if (!choice) {
        ++this->refused;
        continue;
      }
      const UpstreamRecord& record = choice->upstream->record();
      const int number = std::stoi(record.id.substr(1));
      const bool is_reached = !this->unreachable.contains(number);
      const bool is_misdirected =
          record.started_at_ms !=
          this->records[static_cast<std::size_t>(number)].started_at_ms;
      choice->upstream->RecordSent(0, this->now);
      if (is_misdirected) {
        choice->upstream->RecordEnd(0, UpstreamResult::kReplaced, this->now);
        continue;  // Answered with 421: it does not count.
      }
      if (is_reached) {
        this->arrivals[number].push_back(this->now);
      }
      this->exchanges.push_back(
          {this->now + kLatency, &router, choice->upstream, is_reached});
    }
  }

  /** Chooses one of two upstreams, or if neither takes a request, of all: so
     the demand is about the same for each. */
  auto Choose(Router& router) -> std::optional<UpstreamChoice> {
    std::vector<std::string> others;
    const auto pick = [this] {
      return static_cast<int>(this->random.UniformDouble() *
                              this->upstream_count);
    };
    const std::set<int> wanted = {pick(), pick()};
    for (int number = 0; number < this->upstream_count; ++number) {
      if (!wanted.contains(number)) {
        others.push_back("u" + std::to_string(number));
      }
    }
    ChoiceQuery query;
    query.service = "s";
    query.excluded = others;
    const auto choice = router.selector.Choose(query, this->now);
    query.excluded = {};
    return choice ? choice : router.selector.Choose(query, this->now);
  }

  auto Respond() -> void {
    while (!this->exchanges.empty() &&
           this->exchanges.front().ends_at <= this->now) {
      const Exchange exchange = this->exchanges.front();
      this->exchanges.pop_front();
      const UpstreamRecord& record = exchange.upstream->record();
      if (exchange.is_reached) {
        exchange.router->cold.RecordResponse(record.process(), this->now);
      } else {
        exchange.router->cold.RecordUnreachable(record, this->now);
      }
      exchange.upstream->RecordEnd(0,
                                   exchange.is_reached
                                       ? UpstreamResult::kSucceeded
                                       : UpstreamResult::kUnreachable,
                                   this->now);
    }
  }

  auto Announce() -> void {
    this->announced_at = this->now;
    for (const auto& reader : this->routers) {
      for (const auto& writer : this->routers) {
        if (!writer->is_cut && !reader->is_cut) {
          RouterAnnouncement announcement;
          announcement.name = writer->name;
          reader->registry.Apply(announcement, this->now);
          reader->log_read_at = this->now;
        }
      }
    }
  }

  auto UpdateMembers(Router& router) -> void {
    UpstreamLimits::Fleet fleet;
    fleet.routers = router.registry.CountActive(router.log_read_at);
    fleet.is_log_reachable = !router.is_cut;
    fleet.is_among_first = [&router](std::string_view item, int count) {
      return router.registry.IsAmongHighestRanked(item, count,
                                                  router.log_read_at);
    };
    router.limits.Update(fleet, this->now);
  }

  auto Tick() -> void {
    this->ticked_at = this->now;
    for (UpstreamRecord& record : this->records) {
      record.warm_up_left =
          std::max(Duration(0), record.warm_up_left - Duration(kTick));
    }
    for (const auto& router : this->routers) {
      if (!router->is_cut) {
        router->log_read_at = this->now;
      }
      router->cold.Update(this->now);
      this->UpdateMembers(*router);
    }
  }

  int upstream_count;
  ServiceRule rule;
  std::vector<UpstreamRecord> records;
  std::vector<std::unique_ptr<Router>> routers;
  std::vector<News> news;
  std::deque<Exchange> exchanges;
  std::map<int, std::vector<Instant>> arrivals;
  RandomSource random{1};
  double due = 0.0;
  Instant announced_at{};
  Instant ticked_at{};
};

}  // namespace

TEST_GROUP(ColdUpstreams){};

// Guards against routers that each send a cold upstream what they would send a
// warm one, and against one that gets nothing, or too little once it is warm.
// Load pattern: 11 requests a second to each router, 29 to 33 to an upstream.
TEST(ColdUpstreams, GetFewRequestsFromFleetsOfAnySize) {
  for (const int routers : kFleetSizes) {
    ColdFleet fleet(routers);
    const Instant start = fleet.now;
    fleet.RestartCold(1);
    fleet.Run(kWarmUp);
    const Instant warm = fleet.now;
    const int most = fleet.MostInOneSecond({1}, start, warm);
    CHECK_TRUE_TEXT(most <= kAllowedInOneSecond, std::to_string(most).c_str());
    // In a large fleet, the few senders have few requests for it.
    const int cold = fleet.CountArrivals(1, start, warm);
    CHECK_TRUE_TEXT(cold >= (routers == 8 ? 12 : 1),
                    std::to_string(cold).c_str());
    fleet.Run(kMaxReadDelay + seconds(2));
    CHECK_TRUE(fleet.CountArrivals(1, fleet.now - seconds(2), fleet.now) >
               2 * kAllowedInOneSecond);
    CHECK_EQUAL(0, fleet.refused);
  }
}

// Guards against a domain whose upstreams all start at the same time, as after
// a loss of power, and get what they tolerate warm.
TEST(ColdUpstreams, GetFewRequestsWhenTheirDomainReturns) {
  for (const int routers : kFleetSizes) {
    ColdFleet fleet(routers);
    const Instant start = fleet.now;
    fleet.RestartDomainCold("b");
    fleet.Run(kWarmUp);
    const int most =
        fleet.MostInOneSecond(fleet.UpstreamsOf("b"), start, fleet.now);
    CHECK_TRUE_TEXT(most <= kAllowedInOneSecond, std::to_string(most).c_str());
    CHECK_EQUAL(0, fleet.refused);
  }
}

// Guards against a domain that gets its full load at the moment at which its
// evacuation ends, as its records do not tell that its upstreams are cold.
TEST(ColdUpstreams, AreThoseOfADomainWhoseEvacuationEnded) {
  for (const int routers : kFleetSizes) {
    ColdFleet fleet(routers);
    fleet.Evacuate("b", true);
    fleet.Run(seconds(5));
    const Instant start = fleet.now;
    const std::set<int> upstreams = fleet.UpstreamsOf("b");
    CHECK_EQUAL(0, fleet.MostInOneSecond(upstreams, start - seconds(3), start));
    fleet.Evacuate("b", false);
    fleet.Run(kWarmUp);
    const int most = fleet.MostInOneSecond(upstreams, start, fleet.now);
    CHECK_TRUE_TEXT(most <= kAllowedInOneSecond, std::to_string(most).c_str());
    CHECK_TRUE(most > 0);
    fleet.Run(kMaxReadDelay + seconds(2));
    CHECK_TRUE(fleet.CountArrivals(1, fleet.now - seconds(2), fleet.now) >
               2 * kAllowedInOneSecond);
  }
}

// Guards against routers that start while an upstream is cold, do not know the
// other routers yet, and send as if they were alone.
TEST(ColdUpstreams, GetFewRequestsWhileRoutersRestart) {
  constexpr Duration kLongWarmUp = seconds(8);
  for (const int routers : kFleetSizes) {
    ColdFleet fleet(routers, kLongWarmUp);
    const Instant start = fleet.now;
    fleet.RestartCold(1);
    for (int number = 0; number < 24; ++number) {
      fleet.Run(milliseconds(250));
      fleet.RestartRouter(number % routers);
    }
    const int most = fleet.MostInOneSecond({1}, start, start + kLongWarmUp);
    CHECK_TRUE_TEXT(most <= kAllowedInOneSecond, std::to_string(most).c_str());
  }
}

// Guards against a loss of all routers, after which each sends as if it were
// alone.
TEST(ColdUpstreams, GetFewRequestsWhenAllRoutersRestart) {
  for (const int routers : kFleetSizes) {
    ColdFleet fleet(routers);
    fleet.requests_per_router = 30.0;
    const Instant start = fleet.now;
    fleet.RestartCold(1);
    fleet.Run(milliseconds(1'100));
    for (int number = 0; number < routers; ++number) {
      fleet.RestartRouter(number);
    }
    fleet.Run(kWarmUp - milliseconds(1'100));
    const int most = fleet.MostInOneSecond({1}, start, fleet.now);
    CHECK_TRUE_TEXT(most <= kAllowedInOneSecond, std::to_string(most).c_str());
  }
}

// Guards against routers behind a cut that go on as senders while the others
// choose new ones.
TEST(ColdUpstreams, GetFewRequestsFromBothSidesOfACut) {
  constexpr Duration kLongWarmUp = seconds(12);
  for (const int routers : kFleetSizes) {
    for (const int part : {8, 2}) {
      ColdFleet fleet(routers, kLongWarmUp);
      const Instant start = fleet.now;
      fleet.RestartCold(1);
      fleet.Run(kMaxReadDelay);
      fleet.CutOff(routers / part);
      fleet.Run(kLongWarmUp - kMaxReadDelay);
      const int most = fleet.MostInOneSecond({1}, start, fleet.now);
      CHECK_TRUE_TEXT(most <= kAllowedInOneSecond,
                      std::to_string(most).c_str());
    }
  }
}

// Guards against an upstream that gets its full load with its first response
// after it could not be reached, before its record tells that it is cold. Load
// pattern: 80 requests a second to the upstream from 8 routers, which all
// notice.
TEST(ColdUpstreams, AreThoseThatCouldNotBeReached) {
  ColdFleet fleet(8);
  fleet.requests_per_router = 30.0;
  fleet.unreachable = {1};
  fleet.Run(milliseconds(1'500));
  fleet.unreachable.clear();
  const Instant start = fleet.now;
  fleet.Run(kWarmUp);
  const int most = fleet.MostInOneSecond({1}, start, start + kWarmUp);
  CHECK_TRUE_TEXT(most <= kAllowedInOneSecond, std::to_string(most).c_str());
  fleet.Run(seconds(10));
  CHECK_TRUE(fleet.CountArrivals(1, fleet.now - seconds(2), fleet.now) > 5);
}

// Guards against a router that has no upstream to send to after its own
// connection was away.
TEST(ColdUpstreams, AreNotThoseThatAnIslandedRouterMissed) {
  const Instant now = FromUnixMillis(1'000'000);
  ServiceRule rule;
  rule.warm_up = kWarmUp;
  rule.warm_up_per_second = kRate;
  UpstreamDirectory directory([](const UpstreamState&) {});
  UpstreamLimits limits("router#1", directory);
  ColdUpstreams cold(
      limits, [&](std::string_view) { return &rule; },
      [](const ColdUpstreams::Change&) {});
  for (const std::string_view domain : {"a", "b"}) {
    UpstreamRecord record;
    record.id = domain;
    record.service = "s";
    record.domain = domain;
    directory.Put(record);
    cold.RecordUnreachable(record, now);
  }
  CHECK_EQUAL(0, cold.CountCold(now));
  for (const auto& upstream : directory.UpstreamsOfService("s")) {
    CHECK_FALSE(upstream->is_limited());
  }
}

// Guards against a limit that an upstream names and that is lost with the end
// of its warm-up, and a warm-up's limit that lasts.
TEST(ColdUpstreams, KeepTheLimitThatTheyName) {
  const Instant now = FromUnixMillis(1'000'000);
  UpstreamDirectory directory([](const UpstreamState&) {});
  UpstreamRecord record;
  record.id = "u";
  record.service = "s";
  record.started_at_ms = 1;
  directory.Put(record);
  const auto upstream = directory.UpstreamsOfService("s").front();
  UpstreamLimits limits("router#1", directory);
  limits.SetTemporary({"u", 1}, 0.5, now + seconds(1), now);
  CHECK_TRUE(upstream->is_limited());
  upstream->RecordSent(0, now);
  CHECK_FALSE(upstream->is_usable(now + milliseconds(990)));
  CHECK_TRUE(upstream->is_usable(now + seconds(1)));
  upstream->RecordEnd(0, UpstreamResult::kSucceeded, now);
  limits.Record({"u", 1}, 0.6, now, now + seconds(1));
  upstream->RecordSent(0, now + seconds(3));
  CHECK_FALSE(upstream->is_usable(now + seconds(4)));
  limits.Update({}, now + seconds(4));
  CHECK_TRUE(upstream->is_limited());
  CHECK_FALSE(limits.TakeReport(now + seconds(4))->limits.empty());
  limits.Record({"u", 1}, std::nullopt, now + seconds(5), now + seconds(5));
  CHECK_FALSE(upstream->is_limited());
}

// Guards against limits in services whose configuration names none: they are
// served as before.
TEST(ColdUpstreams, AreNotLimitedWithoutARate) {
  const Instant now = FromUnixMillis(1'000'000);
  ServiceRule rule;
  UpstreamDirectory directory([](const UpstreamState&) {});
  UpstreamLimits limits("router#1", directory);
  ColdUpstreams cold(
      limits, [&](std::string_view) { return &rule; },
      [](const ColdUpstreams::Change&) {});
  UpstreamRecord record;
  record.id = "u";
  record.service = "s";
  record.warm_up_left = seconds(3);
  directory.Put(record);
  cold.RecordWarmUp(record, now);
  cold.RecordUnreachable(record, now);
  CHECK_TRUE(cold.WasColdAt(record.process(), now + seconds(1)));
  CHECK_FALSE(directory.UpstreamsOfService("s").front()->is_limited());
  // The rate of a new configuration applies at once.
  rule.warm_up = kWarmUp;
  rule.warm_up_per_second = kRate;
  cold.Update(now + seconds(1));
  CHECK_TRUE(directory.UpstreamsOfService("s").front()->is_limited());
}

// Guards against values of the configuration that are misread.
TEST(ColdUpstreams, HaveTheirRateInTheConfiguration) {
  Findings findings;
  const auto config = platform::ReadConfig(
      R"({"Version":1,"Services":[{"Name":"s","WarmupS":3,"WarmupPerS":9.3},
          {"Name":"t"}]})",
      findings);
  CHECK_TRUE(config.has_value());
  CHECK_TRUE(config->services[0].warm_up == seconds(3));
  DOUBLES_EQUAL(9.3, config->services[0].warm_up_per_second, 1e-9);
  CHECK_TRUE(config->services[1].warm_up == Duration(0));
  DOUBLES_EQUAL(0.0, config->services[1].warm_up_per_second, 1e-9);
}
