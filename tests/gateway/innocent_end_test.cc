// Ends of upstreams that are no evidence against the requests that they held:
// of cold upstreams, and of the upstreams of a lost failure domain.
#include <algorithm>
#include <array>
#include <memory>
#include <set>

#include "al_core/random/random_source.h"
#include "al_gateway/al_gateway.h"
#include "gateway/fleet_records.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kUpstreamsInDomain = 15;
constexpr int kMaxCrashesUntilFound = 5;
constexpr std::array<int, 3> kFleetSizes = {8, 76, 195};
constexpr std::array<std::string_view, 4> kDomains = {"a", "b", "c", "d"};

/** Routers that report failures to each other each 400 ms, with reports that
    are read up to 600 ms late. */
class ReportingFleet {
 public:
  explicit ReportingFleet(int routers) {
    for (int number = 0; number < routers; ++number) {
      this->routers.push_back(std::make_unique<CrashQuarantine>(
          "router-" + std::to_string(number) + "#1",
          [this](const CrashQuarantine::Change& change) {
            if (change.kind == CrashQuarantine::Change::Kind::kQuarantined) {
              this->quarantined.insert(change.suspect);
            }
          }));
    }
  }

  /** An upstream ends under a request that was sent `after` ago. */
  auto Fail(int router,
            std::string_view domain,
            int upstream,
            const std::vector<std::string>& suspects,
            Duration after) -> void {
    CrashQuarantine& at = *this->routers[static_cast<std::size_t>(router)];
    const UpstreamProcess process{
        std::string(domain) + "-" + std::to_string(upstream), 1};
    at.RecordFailure(process, suspects, this->now - after, this->now, domain);
    at.ConfirmEnd(process, this->now);
  }

  auto IsAllowed(int router, const std::vector<std::string>& suspects) -> bool {
    CrashQuarantine& at = *this->routers[static_cast<std::size_t>(router)];
    at.Update(this->now);
    return at
        .Check(
            suspects, [](std::string_view) { return false; }, this->now)
        .is_allowed;
  }

  auto Advance(Duration span) -> void {
    const Instant end = this->now + span;
    while (this->now < end) {
      this->now += milliseconds(50);
      if (this->now - this->exchanged_at < milliseconds(400)) {
        continue;
      }
      this->exchanged_at = this->now;
      std::vector<KeyedRecord> records;
      for (const auto& router : this->routers) {
        router->Update(this->now);
        if (const auto report = router->TakeReport(false, this->now)) {
          records.push_back(ToRecord(*report, this->now));
        }
      }
      for (const KeyedRecord& record : records) {
        const Instant read_at =
            this->now + milliseconds(this->PickFrom(0, 600));
        if (const auto report = ReadCrashReport(record, false, read_at)) {
          for (const auto& router : this->routers) {
            router->Apply(*report, this->now);
          }
        }
      }
    }
  }

  /** Returns a random number from `min` to `max`. */
  auto PickFrom(int min, int max) -> int {
    return min + static_cast<int>(this->random.UniformBelow(
                     static_cast<std::uint64_t>(max - min) + 1));
  }

  Instant now = FromUnixMillis(1'000'000'000);
  RandomSource random{1};
  std::set<std::string> quarantined;

 private:
  std::vector<std::unique_ptr<CrashQuarantine>> routers;
  Instant exchanged_at{};
};

auto PlainRequest(const std::string& target) -> std::vector<std::string> {
  return {WholeRequestOf({"blue", "host", "GET", target, {}})};
}

auto Prompt(const std::string& part, const std::string& target)
    -> std::vector<std::string> {
  return {part, PlainRequest(target).front()};
}

}  // namespace

TEST_GROUP(InnocentEnds){};

// Guards against requests that are convicted because they waited at upstreams
// of a domain that lost its power, three times in a day: popular prompts at
// several upstreams, sent up to 3 s before. Seeded.
TEST(InnocentEnds, OfALostDomainConvictNothing) {
  for (const int routers : kFleetSizes) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      ReportingFleet fleet(routers);
      fleet.random = RandomSource(seed);
      for (int loss = 0; loss < 3; ++loss) {
        const std::string_view domain =
            kDomains[static_cast<std::size_t>(loss) % kDomains.size()];
        for (int upstream = 0; upstream < kUpstreamsInDomain; ++upstream) {
          for (int waiting = 0; waiting < 3; ++waiting) {
            const int router = fleet.PickFrom(0, routers - 1);
            const std::string part =
                "part-" + std::to_string(fleet.PickFrom(0, 3));
            fleet.Fail(router, domain, loss * 100 + upstream,
                       Prompt(part, part),
                       milliseconds(fleet.PickFrom(20, 3'000)));
          }
          fleet.now += milliseconds(fleet.PickFrom(0, 10));
        }
        fleet.Advance(seconds(8));
      }
      CHECK_EQUAL(0U, fleet.quarantined.size());
    }
  }
}

// Guards against a request that really crashes upstreams and is not found, as
// its crashes are in one domain and other requests wait there.
TEST(InnocentEnds, DoNotHideADeadlyRequest) {
  for (const int routers : kFleetSizes) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      ReportingFleet fleet(routers);
      fleet.random = RandomSource(seed);
      const auto deadly = PlainRequest("/deadly");
      int crashes = 0;
      for (int repeat = 0; repeat < 40; ++repeat) {
        const int router = fleet.PickFrom(0, routers - 1);
        if (!fleet.IsAllowed(router, deadly)) {
          break;
        }
        fleet.Advance(milliseconds(50));
        fleet.Fail(router, "a", crashes, deadly, milliseconds(50));
        for (int waiting = 0; waiting < 2; ++waiting) {
          fleet.Fail(fleet.PickFrom(0, routers - 1), "a", crashes,
                     PlainRequest(std::to_string(crashes * 2 + waiting)),
                     milliseconds(400));
        }
        ++crashes;
        fleet.Advance(milliseconds(fleet.PickFrom(1'000, 5'000)));
      }
      CHECK_TRUE_TEXT(crashes <= kMaxCrashesUntilFound,
                      std::to_string(crashes).c_str());
      CHECK_TRUE(crashes >= 3);
    }
  }
}

// Guards against a deadly request that is retried at once by its router, in one
// domain: only the first crash may be taken for a part of a domain's loss.
TEST(InnocentEnds, DoNotHideARequestThatIsRetriedAtOnce) {
  ReportingFleet fleet(8);
  const auto deadly = PlainRequest("/deadly");
  for (int crash = 0; crash < 4; ++crash) {
    fleet.Fail(1, "a", crash, deadly, milliseconds(50));
    fleet.now += milliseconds(100);
  }
  fleet.Advance(seconds(4));
  CHECK_EQUAL(1U, fleet.quarantined.size());
}

// Guards against failures at a cold upstream that count although its record
// told only later that it was cold.
TEST(InnocentEnds, OfUpstreamsKnownAsColdLaterAreDismissed) {
  for (const bool is_cold : {false, true}) {
    Instant now = FromUnixMillis(1'000'000);
    int quarantined = 0;
    CrashQuarantine quarantine(
        "router#1", [&](const CrashQuarantine::Change& change) {
          quarantined +=
              change.kind == CrashQuarantine::Change::Kind::kQuarantined;
        });
    const auto request = PlainRequest("/sound");
    for (const char* const id : {"u0", "u1", "u2"}) {
      const UpstreamProcess process{id, 1};
      quarantine.RecordFailure(process, request, now - milliseconds(50), now);
      quarantine.ConfirmEnd(process, now);
      if (is_cold) {
        quarantine.DismissFailures(process, now - seconds(1), now);
      }
      now += seconds(1);
    }
    now += seconds(3);
    quarantine.Update(now);
    CHECK_EQUAL(is_cold ? 0 : 1, quarantined);
  }
}
