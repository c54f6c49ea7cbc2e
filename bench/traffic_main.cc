#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "al_core/text/digest.h"
#include "al_edge/settings/settings_reader.h"
#include "bench/engine_farm.h"

namespace {

using namespace auburnloft;         // NOLINT(google-build-using-namespace)
using namespace auburnloft::bench;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using testing::VirtualFleet;

constexpr std::size_t kRouters = 6;
constexpr Duration kWarmUp = std::chrono::seconds(20);
constexpr Duration kMeasuredTime = std::chrono::seconds(120);
constexpr JobSize kQuickSize{4, 20};
constexpr JobSize kPatientSize{8, 300};
constexpr std::size_t kPrefixGroups = 60;
constexpr std::size_t kSharedBlocks = 16;

/** The load of one row of the table. */
struct Load {
  std::string name;
  double quick_fraction =
      0.2;  ///< Offered quick load, as a share of all slots.
  double patient_fraction =
      0.1;                   ///< Offered patient load, as a share of all slots.
  bool slow_engine = false;  ///< One engine takes four times as long.
  bool engine_fails = false;  ///< One engine fails halfway.
  bool shared_prefixes = false;
};

/** Measured results of a simulation: times to the first token and counts. */
struct Measurements {
  std::vector<double> quick_ms;
  std::vector<double> patient_ms;
  double hit_rate = 0.0;
  double sent_per_offered = 0.0;
  std::size_t refused = 0;
  std::size_t offered = 0;
};

/** Simulates one upstream chooser under one load, with a random schedule from
 * the seed. */
class TrafficBench {
 public:
  TrafficBench(const std::string& chooser, Load load, std::uint64_t seed)
      : load(std::move(load)),
        random(seed),
        fleet(FleetOptions(chooser, seed)),
        farm(this->fleet, {}) {}

  auto Run() -> Measurements {
    this->farm.SetOnFirstPiece(
        [this](std::size_t caller) { this->OnFirstPiece(caller); });
    this->fleet.RunFor(std::chrono::seconds(3));
    this->start = this->fleet.queue.Now();
    if (this->load.slow_engine) {
      this->farm.SetSlowdown(0, 4.0);
    }
    if (this->load.engine_fails) {
      this->fleet.queue.After(kWarmUp + kMeasuredTime / 2,
                              [this] { this->farm.SetUnavailable(0); });
    }
    const double slots = static_cast<double>(EngineFarm::Options{}.engines *
                                             EngineFarm::Options{}.slots);
    this->quick_rate =
        slots * this->load.quick_fraction / SlotSeconds(kQuickSize);
    this->patient_rate =
        slots * this->load.patient_fraction / SlotSeconds(kPatientSize);
    this->Schedule(LatencyClass::kInteractive, this->quick_rate);
    this->Schedule(LatencyClass::kBackground, this->patient_rate);
    this->fleet.RunFor(kWarmUp + kMeasuredTime + std::chrono::seconds(30));
    this->measurements.hit_rate = this->farm.PrefixHitRate();
    this->measurements.offered = this->fleet.callers.size();
    this->measurements.sent_per_offered =
        static_cast<double>(this->farm.sent()) /
        static_cast<double>(this->measurements.offered);
    for (const testing::CallerRecord& caller : this->fleet.callers) {
      this->measurements.refused += caller.refusal ? 1 : 0;
    }
    return this->measurements;
  }

 private:
  static auto SlotSeconds(const JobSize& size) -> double {
    const EngineFarm::Options options;
    return ToSeconds(options.prefill_per_block) *
               static_cast<double>(size.prompt_blocks) +
           ToSeconds(options.piece_interval) * static_cast<double>(size.pieces);
  }

  static auto FleetOptions(const std::string& chooser, std::uint64_t seed)
      -> VirtualFleet::Options {
    VirtualFleet::Options options;
    options.seed = seed;
    options.routers = kRouters;
    options.budgets = {{"team", 1'000'000'000}};
    options.configuration["upstreams"] = EngineFarm::Upstreams({});
    options.configuration["defaults"]["traffic"] = {{"chooser", chooser},
                                                    {"patient_share", 0.7}};
    return options;
  }

  auto Schedule(LatencyClass latency_class, double rate) -> void {
    if (rate <= 0.0) {
      return;
    }
    const double gap = -std::log(1.0 - this->random.UniformDouble()) / rate;
    this->fleet.queue.After(
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(gap)),
        [this, latency_class, rate] {
          if (this->fleet.queue.Now() - this->start < kWarmUp + kMeasuredTime) {
            this->SendOne(latency_class);
            this->Schedule(latency_class, rate);
          }
        });
  }

  auto SendOne(LatencyClass latency_class) -> void {
    const bool quick = latency_class == LatencyClass::kInteractive;
    IncomingRequest arrival = this->fleet.MakeRequest(
        "team", "key-" + std::to_string(this->next_key++), 100, false);
    arrival.request_class.latency_class = latency_class;
    arrival.request_class.priority = quick ? 10 : 0;
    arrival.request_class.queue_limit =
        quick ? std::chrono::seconds(4) : std::chrono::seconds(60);
    arrival.request_class.deadline = std::chrono::seconds(300);
    JobSize size = quick ? kQuickSize : kPatientSize;
    if (this->load.shared_prefixes) {
      const std::string group =
          std::to_string(this->random.UniformBelow(kPrefixGroups));
      for (std::size_t block = 0; block < kSharedBlocks; ++block) {
        arrival.prefix.push_back(StableHash(group, std::to_string(block)));
      }
      size.prompt_blocks += kSharedBlocks;
    }
    this->farm.SetJobSize(this->fleet.callers.size(), size);
    this->fleet.Send(this->random.UniformBelow(kRouters), std::move(arrival));
  }

  auto OnFirstPiece(std::size_t caller) -> void {
    const testing::CallerRecord& record = this->fleet.callers[caller];
    if (record.began - this->start < kWarmUp ||
        !this->seen_callers.insert(caller).second) {
      return;
    }
    const double ms = ToSeconds(this->fleet.queue.Now() - record.began) * 1e3;
    const bool quick = record.arrival.request_class.latency_class ==
                       LatencyClass::kInteractive;
    (quick ? this->measurements.quick_ms : this->measurements.patient_ms)
        .push_back(ms);
  }

  Load load;
  RandomSource random;
  VirtualFleet fleet;
  EngineFarm farm;
  Instant start;
  double quick_rate = 0.0;
  double patient_rate = 0.0;
  int next_key = 1;
  std::set<std::size_t> seen_callers;
  Measurements measurements;
};

auto Quantile(std::vector<double> values, double fraction) -> double {
  if (values.empty()) {
    return 0.0;
  }
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1))];
}

auto FormatQuantiles(const std::vector<double>& values) -> std::string {
  std::ostringstream out;
  out << std::fixed << std::setprecision(0) << Quantile(values, 0.5) << "/"
      << Quantile(values, 0.95) << "/" << Quantile(values, 0.99);
  return out.str();
}

auto Loads() -> std::vector<Load> {
  std::vector<Load> loads;
  loads.push_back({"calm, quick only", 0.25, 0.0, false, false, false});
  loads.push_back({"calm", 0.25, 0.15, false, false, false});
  loads.push_back({"quick 15% only", 0.15, 0.0, false, false, false});
  loads.push_back({"quick 15%, patient load above its share", 0.15, 0.9, false,
                   false, false});
  loads.push_back({"quick 25%, patient load above its share", 0.25, 0.9, false,
                   false, false});
  loads.push_back({"85% utilisation", 0.35, 0.5, false, false, false});
  loads.push_back({"one slow engine", 0.3, 0.3, true, false, false});
  loads.push_back({"one engine fails", 0.3, 0.3, false, true, false});
  loads.push_back({"many shared prefixes", 0.3, 0.2, false, false, true});
  return loads;
}

}  // namespace

/** Prints the table of upstream choosers and loads of docs/DESIGN.md. */
auto main(int argc, char** argv) -> int {
  SettingsReader settings("Compares upstream choosers in virtual time.");
  settings.DeclareInteger("seed", "seed of the random request schedule", 1, 0,
                          1'000'000'000);
  settings.DeclareText("chooser", "the only chooser to run; default: all", "");
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return 2;
  }
  std::cout << "| load | chooser | quick first token p50/p95/p99 ms | patient "
               "p50/p95/p99 ms | prefix hits | "
               "sent/offered | refused |\n|---|---|---|---|---|---|---|\n";
  for (const Load& load : Loads()) {
    for (const char* const chooser :
         {"scored", "random", "round_robin", "least_in_flight"}) {
      const std::string only = settings.Text("chooser");
      if (!only.empty() && only != chooser) {
        continue;
      }
      TrafficBench bench(chooser, load,
                         static_cast<std::uint64_t>(settings.Integer("seed")));
      const Measurements measurements = bench.Run();
      std::cout << "| " << load.name << " | " << chooser << " | "
                << FormatQuantiles(measurements.quick_ms) << " | "
                << FormatQuantiles(measurements.patient_ms) << " | "
                << std::fixed << std::setprecision(1)
                << measurements.hit_rate * 100.0 << "% | "
                << std::setprecision(3) << measurements.sent_per_offered
                << " | " << measurements.refused << " of "
                << measurements.offered << " |" << std::endl;
    }
  }
  return 0;
}
