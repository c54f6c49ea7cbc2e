#include "support/restart_play.h"

#include <algorithm>
#include <utility>

namespace auburnloft::testing {

namespace {

using gateway::RouterAnnouncement;
using gateway::RouterRegistry;
using gateway::StreamOriginReplicas;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(500);
constexpr Duration kGracePeriod = seconds(8);
constexpr Duration kStreamLength = seconds(12);
/** Steps after which the caller of a broken stream comes back, on average. */
constexpr unsigned kMeanPauseSteps = 4;
constexpr Duration kMaxStreamAge = seconds(15);
constexpr Duration kStreamLifetime = seconds(16);

}  // namespace

struct RestartPlay::Router {
  RouterAnnouncement announcement;
  bool runs = false;
  int starts = 0;
  Instant stops_at{};
  Instant announced_at{};
  std::unique_ptr<RouterRegistry> registry;
  std::unique_ptr<StreamOriginReplicas> replicas;
  std::vector<Stream> streams;

  [[nodiscard]] auto stays() const -> bool {
    return this->runs && !this->announcement.leaving;
  }
};

RestartPlay::RestartPlay(const Settings& settings) : settings(settings) {
  const std::vector<std::string> domains = {"a", "b", "c"};
  this->routers.resize(settings.routers);
  for (std::size_t i = 0; i < settings.routers; ++i) {
    Router& router = this->routers[i];
    router.announcement.name = "r" + std::to_string(i);
    router.announcement.domain = domains[i % domains.size()];
    router.announcement.peer_address = router.announcement.name;
    router.stops_at = this->now + seconds(6) +
                      static_cast<int>(i / settings.at_a_time) * settings.gap;
    this->Start(router);
  }
}

RestartPlay::~RestartPlay() = default;

auto RestartPlay::Run() -> Result {
  const Instant start = this->now;
  const Instant end = this->routers.back().stops_at + kGracePeriod + seconds(4);
  for (; this->now < end; this->now += kStep) {
    for (Router& router : this->routers) {
      this->StartOrStop(router);
    }
    this->AnnounceAll();
    for (const Stream& stream : std::exchange(this->broken, {})) {
      if (this->random() % kMeanPauseSteps == 0) {
        this->TakeUp(stream);
      } else {
        this->broken.push_back(stream);
      }
    }
    for (Router& router : this->routers) {
      if (router.runs) {
        this->Serve(router);
      }
    }
  }
  this->result.told_per_second =
      static_cast<double>(this->told) /
      static_cast<double>(this->routers.size()) /
      std::chrono::duration<double>(end - start).count();
  return this->result;
}

auto RestartPlay::StartOrStop(Router& router) -> void {
  const bool is_first_process = router.starts == 1;
  if (!router.runs && is_first_process) {
    this->Start(router);
  } else if (router.stays() && is_first_process &&
             this->now >= router.stops_at) {
    router.announcement.leaving = true;
    router.announced_at = {};
    router.replicas->BeginLeaving();
  } else if (router.announcement.leaving &&
             this->now >= router.stops_at + kGracePeriod) {
    this->End(router);
  }
}

auto RestartPlay::Serve(Router& router) -> void {
  std::erase_if(router.streams, [this](const Stream& stream) {
    return this->now - stream.began_at >= kStreamLength;
  });
  if (router.stays()) {
    this->Begin(router,
                {"s" + std::to_string(this->stream_count++), this->now});
  }
  router.replicas->Update([](const std::string&) { return true; }, this->now,
                          this->now);
  this->SendNews(router);
}

auto RestartPlay::Start(Router& router) -> void {
  router.runs = true;
  ++router.starts;
  router.announcement.leaving = false;
  router.announcement.incarnation =
      router.announcement.name + "#" + std::to_string(router.starts);
  router.announced_at = {};
  router.registry = std::make_unique<RouterRegistry>(router.announcement.name);
  router.replicas =
      std::make_unique<StreamOriginReplicas>(*router.registry, kStreamLifetime);
  for (const Router& other : this->routers) {
    if (!other.announcement.incarnation.empty()) {
      router.registry->Apply(other.announcement, this->now);
    }
  }
}

auto RestartPlay::End(Router& router) -> void {
  router.runs = false;
  router.announcement.leaving = false;
  std::ranges::move(std::exchange(router.streams, {}),
                    std::back_inserter(this->broken));
}

auto RestartPlay::AnnounceAll() -> void {
  const Duration interval = gateway::AnnouncementInterval(this->routers.size());
  for (Router& router : this->routers) {
    if (!router.runs || this->now - router.announced_at < interval) {
      continue;
    }
    router.announced_at = this->now;
    for (Router& reader : this->routers) {
      if (reader.runs) {
        reader.registry->Apply(router.announcement, this->now);
      }
    }
  }
}

auto RestartPlay::Begin(Router& router, const Stream& stream) -> void {
  router.streams.push_back(stream);
  router.replicas->RecordOwn({stream.id, "engines", "v1"}, true, this->now,
                             this->now);
  this->SendNews(router);
}

auto RestartPlay::SendNews(Router& router) -> void {
  for (const auto& item : router.replicas->TakeNews()) {
    this->told += item.second.size();
    const Router& receiver = this->RouterAt(item.first);
    for (const StreamOriginReplicas::News& news : item.second) {
      if (receiver.runs) {
        receiver.replicas->RecordTold(news.origin, this->now - news.recorded_at,
                                      router.announcement.incarnation,
                                      this->now);
      }
    }
  }
}

auto RestartPlay::RouterAt(const std::string& address) const -> const Router& {
  return *std::ranges::find_if(
      this->routers, [&address](const Router& candidate) {
        return candidate.announcement.peer_address == address;
      });
}

auto RestartPlay::TakeUp(const Stream& stream) -> void {
  std::vector<Router*> staying;
  for (Router& router : this->routers) {
    if (router.stays()) {
      staying.push_back(&router);
    }
  }
  if (staying.empty()) {
    if (this->now - stream.began_at < kMaxStreamAge) {
      this->broken.push_back(stream);
    }
    return;
  }
  Router& router = *staying[this->random() % staying.size()];
  ++this->result.taken_up;
  bool is_known = router.replicas->Find(stream.id, this->now) != nullptr;
  const auto sources = router.replicas->SourcesOf(stream.id, this->now);
  for (const auto& addresses : {sources.staying, sources.leaving}) {
    for (const std::string& address : addresses) {
      const Router& asked = this->RouterAt(address);
      is_known = is_known ||
                 (asked.runs && asked.replicas->Find(stream.id, this->now));
    }
  }
  if (is_known) {
    ++this->result.known;
    this->Begin(router, stream);
  }
}

}  // namespace auburnloft::testing
