#include "bench/engine_farm.h"

#include <algorithm>

namespace auburnloft::bench {

namespace {

using nlohmann::json;

constexpr Duration kNetworkDelay = std::chrono::milliseconds(1);
constexpr Duration kSampleInterval = std::chrono::milliseconds(50);

/** One cache event in this many is never reported. */
constexpr std::uint64_t kLostEventInterval = 10;

auto NameOf(std::size_t engine) -> std::string {
  return "e" + std::to_string(engine);
}

}  // namespace

EngineFarm::EngineFarm(testing::VirtualFleet& fleet, Options options)
    : fleet(fleet),
      options(options),
      engines(options.engines, Engine(options.cache_blocks)) {
  fleet.send_upstream = [this](std::size_t node,
                               const SendUpstreamRequest& action,
                               const IncomingRequest& arrival) {
    this->Send(node, action, arrival);
  };
  this->Sample();
  this->Report();
}

auto EngineFarm::Upstreams(const Options& options) -> json {
  json upstreams = {{"engine", nullptr}, {"engine-2", nullptr}};
  const std::array<const char*, 3> domains = {"a", "b", "c"};
  for (std::size_t i = 0; i < options.engines; ++i) {
    upstreams[NameOf(i)] = {{"address", "10.0.1." + std::to_string(i) + ":1"},
                            {"domain", domains.at(i % domains.size())},
                            {"models", {"m"}},
                            {"slots", options.slots}};
  }
  return upstreams;
}

auto EngineFarm::SetUnavailable(std::size_t engine) -> void {
  Engine& target = this->engines[engine];
  target.is_unavailable = true;
  for (const Job& job : target.running) {
    this->Fail(job, true);
  }
  for (const Job& job : target.waiting) {
    this->Fail(job, true);
  }
  target.running.clear();
  target.waiting.clear();
}

auto EngineFarm::Fail(const Job& job, bool sent) -> void {
  UpstreamFailed failed;
  failed.handle = job.done.handle;
  failed.attempt = job.done.attempt;
  failed.sent = sent;
  failed.text = "engine unavailable";
  this->fleet.queue.After(kNetworkDelay, [this, job, failed] {
    this->fleet.ReportFailed(job.node, job.node_incarnation, failed);
  });
}

auto EngineFarm::Send(std::size_t node,
                      const SendUpstreamRequest& action,
                      const IncomingRequest& arrival) -> void {
  ++this->sent_count;
  const auto engine =
      static_cast<std::size_t>(std::stoi(action.upstream.value().substr(1)));
  Job job;
  job.node = node;
  job.node_incarnation = this->fleet.nodes[node].incarnation_number;
  job.caller = this->fleet.nodes[node].handles.at(action.handle);
  job.done.handle = action.handle;
  job.done.attempt = action.attempt;
  job.done.spent = arrival.upper;
  job.priority = action.priority;
  job.is_patient =
      arrival.request_class.latency_class == LatencyClass::kBackground;
  job.prefix = arrival.prefix;
  job.size = this->sizes[job.caller];
  this->fleet.queue.After(kNetworkDelay, [this, engine, job] {
    Engine& target = this->engines[engine];
    if (target.is_unavailable) {
      this->Fail(job, false);
      return;
    }
    const auto position = std::ranges::find_if(
        target.waiting,
        [&](const Job& item) { return item.priority < job.priority; });
    target.waiting.insert(position, job);
    this->StartNext(engine);
  });
}

auto EngineFarm::StartNext(std::size_t engine) -> void {
  Engine& target = this->engines[engine];
  while (target.running.size() < this->options.slots &&
         !target.waiting.empty()) {
    const Job job = target.waiting.front();
    target.waiting.pop_front();
    target.running.push_back(job);
    const std::size_t cached = target.cache.Use(job.prefix);
    const auto blocks = static_cast<double>(
        job.size.prompt_blocks - std::min(cached, job.size.prompt_blocks));
    const auto scaled = [&](Duration duration, double factor) {
      return Duration(static_cast<std::int64_t>(
          static_cast<double>(duration.count()) * factor * target.slowdown));
    };
    const Duration prefill = scaled(this->options.prefill_per_block, blocks);
    const Duration decode = scaled(this->options.piece_interval,
                                   static_cast<double>(job.size.pieces));
    this->fleet.queue.After(prefill + kNetworkDelay, [this, job] {
      if (this->on_first_piece) {
        this->on_first_piece(job.caller);
      }
    });
    this->fleet.queue.After(prefill + decode,
                            [this, engine, handle = job.done.handle] {
                              this->Finish(engine, handle);
                            });
  }
}

auto EngineFarm::Finish(std::size_t engine, RequestHandle handle) -> void {
  Engine& target = this->engines[engine];
  const auto found = std::ranges::find_if(
      target.running,
      [handle](const Job& job) { return job.done.handle == handle; });
  if (found == target.running.end()) {
    return;
  }
  const Job job = *found;
  target.running.erase(found);
  this->fleet.queue.After(kNetworkDelay, [this, job] {
    this->fleet.ReportDone(job.node, job.node_incarnation, job.done);
  });
  this->StartNext(engine);
}

auto EngineFarm::Sample() -> void {
  const Instant now = this->fleet.queue.Now();
  for (Engine& engine : this->engines) {
    LoadReport report;
    report.running = static_cast<std::uint32_t>(engine.running.size());
    report.waiting = static_cast<std::uint32_t>(engine.waiting.size());
    report.background_running = static_cast<std::uint32_t>(
        std::ranges::count(engine.running, true, &Job::is_patient));
    engine.load_samples.emplace_back(now, report);
    while (engine.load_samples.size() > 1 &&
           engine.load_samples[1].first + this->options.report_lag <= now) {
      engine.load_samples.pop_front();
    }
  }
  this->fleet.queue.After(kSampleInterval, [this] { this->Sample(); });
}

auto EngineFarm::Report() -> void {
  const Instant now = this->fleet.queue.Now();
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    Engine& engine = this->engines[i];
    if (engine.is_unavailable) {
      continue;
    }
    for (std::size_t node = 0; node < this->fleet.nodes.size(); ++node) {
      RouterCore* const core = this->fleet.nodes[node].core.get();
      if (core == nullptr) {
        continue;
      }
      const UpstreamId id(NameOf(i));
      core->OnLoadReport(now, id, engine.load_samples.front().second);
      std::vector<PrefixDigest> cached;
      std::vector<PrefixDigest> dropped;
      std::uint64_t& read = engine.events_read[node];
      for (const standins::PrefixCache::Event& event :
           engine.cache.EventsAfter(read)) {
        read = event.sequence;
        if (event.sequence % kLostEventInterval != 0) {
          (event.stored ? cached : dropped).push_back(event.digest);
        }
      }
      core->OnCacheEvent(id, cached, dropped);
    }
  }
  this->fleet.queue.After(this->options.report_interval,
                          [this] { this->Report(); });
}

auto EngineFarm::PrefixHitRate() const -> double {
  double hits = 0.0;
  double lookups = 0.0;
  for (const Engine& engine : this->engines) {
    hits += static_cast<double>(engine.cache.hits());
    lookups += static_cast<double>(engine.cache.lookups());
  }
  return lookups == 0.0 ? 0.0 : hits / lookups;
}

}  // namespace auburnloft::bench
