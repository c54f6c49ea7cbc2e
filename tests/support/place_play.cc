#include "support/place_play.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "al_gateway/admission/connection_share.h"

namespace auburnloft::testing {

namespace {

using gateway::PlaceQueue;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Interval at which a router looks after the requests that wait. */
constexpr Duration kServeInterval = milliseconds(10);

/** As the router waits after all upstreams refused a request. */
constexpr int kFullWaitDivisor = 6;
constexpr Duration kMinFullWait = milliseconds(25);

constexpr Duration kBurstEvery = seconds(2);
constexpr Duration kBurstLength = milliseconds(250);

/** As ExecutionCounter. */
constexpr int kMaxAttempts = 3;

/** As upstream_dispatch divides connections equally. */
constexpr double kUsableFraction = 0.9;
constexpr int kMinConnections = 4;

}  // namespace

struct PlacePlay::Request {
  std::size_t router = 0;
  int tries = 0;
  int attempts = 0;  ///< Of this try.
  Instant arrived_at{};
  Instant sent_at{};
  Instant taken_at{};
  PlaceQueue::Ticket ticket = 0;
  std::set<std::size_t> tried;
  std::size_t upstream = 0;
};

struct PlacePlay::Upstream {
  int running = 0;
  int connections = 0;
  std::deque<RequestPtr> waiting;
};

struct PlacePlay::Router {
  PlaceQueue places;
  std::map<PlaceQueue::Ticket, RequestPtr> waiting;
  std::vector<int> open;  ///< By upstream.
  int bound = 1;          ///< Connections to one upstream.
  double retries = 0.0;   ///< That this router may make.
};

auto PlacePlay::Tally::operator+=(const Tally& other) -> Tally& {
  this->requests += other.requests;
  this->in_time += other.in_time;
  this->late += other.late;
  this->refused += other.refused;
  this->refused_tries += other.refused_tries;
  this->refused_upstream += other.refused_upstream;
  this->most_connections =
      std::max(this->most_connections, other.most_connections);
  return *this;
}

PlacePlay::PlacePlay(const Settings& settings)
    : settings(settings),
      queue(Instant(seconds(1'000))),
      begin(this->queue.Now()),
      random(this->settings.seed) {
  const int count = this->settings.routers;
  for (int number = 0; number < count; ++number) {
    auto router = std::make_unique<Router>();
    router->open.resize(static_cast<std::size_t>(this->settings.upstreams));
    const double share =
        number < this->settings.busy_routers
            ? 0.5 / this->settings.busy_routers
            : 0.5 / std::max(1, count - this->settings.busy_routers);
    router->bound =
        this->settings.policy == Policy::kPlaceQueue
            ? gateway::ConnectionShare(this->settings.max_connections, count,
                                       share * count)
            : std::max(kMinConnections,
                       static_cast<int>(this->settings.max_connections *
                                        kUsableFraction) /
                           count);
    router->retries = this->settings.retry_slack / count;
    router->places.SetMaximum(router->bound * this->settings.upstreams);
    this->routers.push_back(std::move(router));
  }
  for (int number = 0; number < this->settings.upstreams; ++number) {
    this->upstreams.push_back(std::make_unique<Upstream>());
  }
}

PlacePlay::~PlacePlay() = default;

auto PlacePlay::Run() -> void {
  this->ScheduleArrival();
  const Instant end = this->begin + this->settings.length;
  while (this->queue.Step(end)) {
  }
}

auto PlacePlay::ScheduleArrival() -> void {
  constexpr double kMicros = 1e6;
  const bool in_burst =
      (this->queue.Now() - this->begin) % kBurstEvery < kBurstLength;
  const double rate =
      this->settings.per_second * (in_burst ? this->settings.burst : 1.0);
  const double gap = -std::log(1.0 - this->random.UniformDouble()) / rate;
  this->queue.After(Duration(static_cast<std::int64_t>(gap * kMicros)), [this] {
    constexpr double kBusyPart = 0.5;
    auto request = std::make_shared<Request>();
    const int busy = this->settings.busy_routers;
    request->router =
        this->random.Bernoulli(kBusyPart)
            ? this->random.UniformBelow(static_cast<std::uint64_t>(busy))
            : busy + this->random.UniformBelow(static_cast<std::uint64_t>(
                         this->settings.routers - busy));
    // Later ones can't end before the play does.
    if (this->queue.Now() < this->begin + this->settings.length - seconds(3)) {
      ++this->sums.requests;
      this->Arrive(request);
    }
    this->ScheduleArrival();
  });
}

auto PlacePlay::Arrive(const RequestPtr& request) -> void {
  ++request->tries;
  request->arrived_at = this->queue.Now();
  request->tried.clear();
  request->attempts = 0;
  Router& router = *this->routers[request->router];
  router.retries += this->settings.retry_ratio;
  if (this->settings.policy == Policy::kAtOnce) {
    if (!this->Send(request)) {
      this->Refuse(request);
    }
    return;
  }
  const PlaceQueue::Answer answer = router.places.Ask(
      {"team", 5, request->arrived_at, this->settings.objective},
      this->queue.Now());
  if (answer.begins) {
    request->taken_at = this->queue.Now();
    if (!this->Send(request)) {
      this->WaitAgain(request);
    }
  } else if (answer.ticket != 0) {
    request->ticket = answer.ticket;
    router.waiting[answer.ticket] = request;
    this->queue.After(kServeInterval, [this, number = request->router] {
      this->ServeQueue(number);
    });
  } else {
    this->Refuse(request);
  }
}

auto PlacePlay::Send(const RequestPtr& request) -> bool {
  Router& router = *this->routers[request->router];
  std::optional<std::size_t> best;
  const std::size_t first = this->random.UniformBelow(router.open.size());
  for (std::size_t step = 0; step < router.open.size(); ++step) {
    const std::size_t number = (first + step) % router.open.size();
    if (router.open[number] < router.bound &&
        !request->tried.contains(number) &&
        (!best || router.open[number] < router.open[*best])) {
      best = number;
    }
  }
  if (!best) {
    return false;
  }
  request->upstream = *best;
  request->tried.insert(*best);
  ++request->attempts;
  ++router.open[*best];
  Upstream& upstream = *this->upstreams[*best];
  this->sums.most_connections =
      std::max(this->sums.most_connections, ++upstream.connections);
  if (static_cast<int>(upstream.waiting.size()) >=
      this->settings.queue_length) {
    ++this->sums.refused_upstream;
    this->queue.After(milliseconds(1), [this, request] {
      --this->upstreams[request->upstream]->connections;
      --this->routers[request->router]->open[request->upstream];
      this->OnFull(request);
    });
    return true;
  }
  upstream.waiting.push_back(request);
  this->StartNext(*best);
  return true;
}

auto PlacePlay::StartNext(std::size_t number) -> void {
  Upstream& upstream = *this->upstreams[number];
  while (upstream.running < this->settings.slots && !upstream.waiting.empty()) {
    const RequestPtr request = upstream.waiting.front();
    upstream.waiting.pop_front();
    ++upstream.running;
    this->queue.After(this->settings.work, [this, request, number] {
      Upstream& upstream = *this->upstreams[number];
      --upstream.running;
      --upstream.connections;
      --this->routers[request->router]->open[number];
      this->OnAnswer(request);
      this->StartNext(number);
    });
  }
}

auto PlacePlay::OnAnswer(const RequestPtr& request) -> void {
  const Instant now = this->queue.Now();
  const bool in_time = now - request->arrived_at <= this->settings.objective;
  ++(in_time ? this->sums.in_time : this->sums.late);
  if (this->settings.policy == Policy::kPlaceQueue) {
    this->routers[request->router]->places.Release(
        PlaceQueue::Result::kAnswered,
        {"team", 5, request->arrived_at, this->settings.objective},
        request->taken_at, now);
    this->ServeQueue(request->router);
  }
}

auto PlacePlay::OnFull(const RequestPtr& request) -> void {
  Router& router = *this->routers[request->router];
  const bool may_retry =
      request->attempts < kMaxAttempts && router.retries >= 1.0;
  router.retries -= may_retry ? 1.0 : 0.0;
  // The last attempt waits, as in RequestHandler.
  const bool is_last = this->settings.policy == Policy::kPlaceQueue &&
                       request->attempts + 1 >= kMaxAttempts;
  if (may_retry && !is_last && this->Send(request)) {
    return;
  }
  if (may_retry && this->settings.policy == Policy::kPlaceQueue) {
    this->WaitAgain(request);
    return;
  }
  if (this->settings.policy == Policy::kPlaceQueue) {
    router.places.Release(
        PlaceQueue::Result::kFull,
        {"team", 5, request->arrived_at, this->settings.objective},
        request->taken_at, this->queue.Now());
  }
  this->Refuse(request);
}

auto PlacePlay::WaitAgain(const RequestPtr& request) -> void {
  const Instant now = this->queue.Now();
  Router& router = *this->routers[request->router];
  const PlaceQueue::Item item = {"team", 5, request->arrived_at,
                                 this->settings.objective};
  router.places.Release(request->tried.empty() ? PlaceQueue::Result::kEnded
                                               : PlaceQueue::Result::kFull,
                        item, request->taken_at, now);
  request->tried.clear();
  const Duration wait = std::max(
      kMinFullWait, (request->arrived_at + this->settings.objective - now) /
                        kFullWaitDivisor);
  request->ticket = router.places.AskAgain(item, now + wait, now);
  if (request->ticket == 0) {
    this->Refuse(request);
    return;
  }
  router.waiting[request->ticket] = request;
  this->queue.After(
      wait, [this, number = request->router] { this->ServeQueue(number); });
}

auto PlacePlay::ServeQueue(std::size_t number) -> void {
  Router& router = *this->routers[number];
  const Instant now = this->queue.Now();
  const auto take = [&router](PlaceQueue::Ticket ticket) {
    return router.waiting.extract(ticket).mapped();
  };
  for (const PlaceQueue::Ticket ticket : router.places.TakeExpired(now)) {
    this->Refuse(take(ticket));
  }
  while (const auto ticket = router.places.TakeNext(now)) {
    const RequestPtr request = take(*ticket);
    request->taken_at = now;
    if (!this->Send(request)) {
      this->WaitAgain(request);
    }
  }
  if (!router.waiting.empty()) {
    this->queue.After(kServeInterval,
                      [this, number] { this->ServeQueue(number); });
  }
}

auto PlacePlay::Refuse(const RequestPtr& request) -> void {
  ++this->sums.refused_tries;
  if (request->tries >= this->settings.tries) {
    ++this->sums.refused;
    return;
  }
  constexpr double kSpread = 0.5;
  this->queue.After(
      this->settings.retry_after +
          Duration(static_cast<std::int64_t>(
              static_cast<double>(this->settings.retry_after.count()) *
              kSpread * this->random.UniformDouble())),
      [this, request] { this->Arrive(request); });
}

}  // namespace auburnloft::testing
