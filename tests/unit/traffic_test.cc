#include "al_traffic/al_traffic.h"
#include "support/test_harness.h"

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Traffic) {
  RandomSource random{7};
  UpstreamPool pool{RouterId("r0"), DomainId("a"), random};
  std::vector<RouterId> routers{RouterId("r0")};
  Configuration configuration;
  Instant now = FromUnixMillis(1'700'000'000'000);
  UpstreamQuery quick;
  UpstreamQuery patient;

  auto setup()->void override {
    for (const char* const name : {"e1", "e2", "e3"}) {
      Upstream engine;
      engine.id = UpstreamId(name);
      engine.domain = DomainId("a");
      engine.models = {"m"};
      engine.slots = 4;
      this->configuration.upstreams.push_back(engine);
    }
    this->configuration.defaults.traffic.background_share = 0.5;
    this->pool.SetConfiguration(this->configuration, this->routers);
    this->quick.model = "m";
    this->patient.model = "m";
    this->patient.latency_class = LatencyClass::kBackground;
  }
};

TEST(Traffic, LimitsPatientWorkToItsShareAndLeavesSlotsForQuickWork) {
  int acquired = 0;
  while (this->pool.TryAcquire(this->now, this->patient)) {
    ++acquired;
  }
  CHECK_EQUAL(3 * 2, acquired);
  CHECK_TRUE(this->pool.TryAcquire(this->now, this->quick).has_value());
}

TEST(Traffic, SharesThePatientSlotsOfAnEngineAmongAllRouters) {
  // Together, all routers acquire no more than the patient share of the slots
  // of busy engines, however each router balances its requests.
  this->routers = {RouterId("r0"), RouterId("r1"), RouterId("r2")};
  LoadReport busy;
  busy.background_running = 2;
  int acquired = 0;
  for (const RouterId& router : this->routers) {
    UpstreamPool router_pool{router, DomainId("a"), this->random};
    router_pool.SetConfiguration(this->configuration, this->routers);
    for (const char* const name : {"e1", "e2", "e3"}) {
      router_pool.RecordLoadReport(this->now, UpstreamId(name), busy);
    }
    while (router_pool.TryAcquire(this->now, this->patient)) {
      ++acquired;
    }
  }
  CHECK_EQUAL(3 * 2, acquired);
}

TEST(Traffic, SendsNothingNewToALeavingUpstream) {
  this->pool.SetLeaving(
      this->now, [](const UpstreamId& id) { return id.value() != "e2"; });
  for (int i = 0; i < 5; ++i) {
    CHECK_EQUAL(std::string("e2"),
                this->pool.TryAcquire(this->now, this->quick)->value());
  }
  LoadReport report;
  report.leaving = true;
  this->pool.RecordLoadReport(this->now, UpstreamId("e2"), report);
  CHECK_FALSE(this->pool.TryAcquire(this->now, this->quick).has_value());
}

TEST(Traffic, RampsUpAnUpstreamThatReturns) {
  const auto all_but_e1_leaving = [](const UpstreamId& id) {
    return id.value() != "e1";
  };
  this->pool.SetLeaving(this->now, [](const UpstreamId&) { return true; });
  this->pool.SetLeaving(this->now, all_but_e1_leaving);
  int acquired_at_once = 0;
  while (this->pool.TryAcquire(this->now, this->quick)) {
    ++acquired_at_once;
  }
  CHECK_EQUAL(1, acquired_at_once);
  int acquired_later = 0;
  while (this->pool.TryAcquire(this->now + std::chrono::seconds(10),
                               this->quick)) {
    ++acquired_later;
  }
  CHECK_TRUE(acquired_later >= 4);
}

TEST(Traffic, EjectsAnUpstreamAfterFailuresInARow) {
  for (int i = 0; i < 3; ++i) {
    this->pool.RecordFailure(this->now, UpstreamId("e1"));
  }
  std::set<std::string> used;
  for (int i = 0; i < 12; ++i) {
    if (const std::optional<UpstreamId> id =
            this->pool.TryAcquire(this->now, this->quick)) {
      used.insert(id->value());
    }
  }
  CHECK_FALSE(used.contains("e1"));
  CHECK_TRUE(used.contains("e2"));
}

TEST(Traffic, PrefersAnEstimatedPrefixHitUntilTheUpstreamIsBusy) {
  const std::string prompt(1024, 'p');
  const std::vector<PrefixDigest> digests = PrefixDigestsOf(prompt);
  CHECK_EQUAL(4U, digests.size());
  this->pool.RecordCached(UpstreamId("e3"), digests);
  this->quick.prefix = digests;
  CHECK_EQUAL(std::string("e3"),
              this->pool.TryAcquire(this->now, this->quick)->value());
  LoadReport busy;
  busy.running = 4;
  busy.waiting = 4;
  this->pool.RecordLoadReport(this->now, UpstreamId("e3"), busy);
  CHECK_TRUE(this->pool.TryAcquire(this->now, this->quick)->value() != "e3");
}

TEST(Traffic, LetsAnOldLoadReportDecay) {
  LoadReport busy;
  busy.running = 50;
  for (const char* const name : {"e1", "e2", "e3"}) {
    this->pool.RecordLoadReport(this->now, UpstreamId(name), busy);
  }
  CHECK_FALSE(this->pool.TryAcquire(this->now, this->quick).has_value());
  CHECK_TRUE(
      this->pool.TryAcquire(this->now + std::chrono::seconds(30), this->quick)
          .has_value());
}

TEST(Traffic, EvictsTheLeastRecentlyUsedPrefix) {
  PrefixCacheEstimate estimate;
  const std::vector<PrefixDigest> old{1};
  estimate.RecordCached(old);
  for (PrefixDigest digest = 2; digest < 2 + PrefixCacheEstimate::kMaxBlocks;
       ++digest) {
    const std::vector<PrefixDigest> next{digest};
    estimate.RecordCached(next);
  }
  DOUBLES_EQUAL(0.0, estimate.MatchFraction(old), 0.0);
  CHECK_EQUAL(PrefixCacheEstimate::kMaxBlocks, estimate.size());
}

TEST(Traffic, BoundsRetriesByAShareOfTheRequests) {
  RetryBudget budget(0.1);
  int retries = 0;
  for (int request = 0; request < 1000; ++request) {
    budget.RecordRequest();
    retries += budget.TryTake() ? 1 : 0;  // Every request fails.
  }
  CHECK_TRUE(retries <= 110);
  CHECK_TRUE(retries >= 100);
}

TEST(Traffic, OffersQuickRequestsFirstAndSkipsThoseWithoutAnUpstream) {
  DispatchQueue queue;
  queue.Add(1, LatencyClass::kBackground, this->now,
            this->now + std::chrono::seconds(9));
  queue.Add(2, LatencyClass::kInteractive, this->now,
            this->now + std::chrono::seconds(1));
  queue.Add(3, LatencyClass::kInteractive, this->now,
            this->now + std::chrono::seconds(1));
  std::vector<RequestHandle> order;
  queue.TryDispatchAll([&](RequestHandle handle) {
    order.push_back(handle);
    return handle == 3;
  });
  CHECK_TRUE((order == std::vector<RequestHandle>{2, 3, 1}));
  CHECK_TRUE((queue.TakeExpired(this->now + std::chrono::seconds(1)) ==
              std::vector<RequestHandle>{2}));
  CHECK_EQUAL(1U, queue.size());
}
