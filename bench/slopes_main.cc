#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

#include "al_core/text/digest.h"
#include "al_edge/settings/settings_reader.h"
#include "al_router/al_router.h"
#include "bench/slope.h"

namespace {

using namespace auburnloft;         // NOLINT(google-build-using-namespace)
using namespace auburnloft::bench;  // NOLINT(google-build-using-namespace)

auto HeapBytes() -> double {
  return static_cast<double>(mallinfo2().uordblks);
}

/** Returns the processor time of `work` in microseconds, the minimum of three
 * runs.
 */
auto MinCpuMicros(const std::function<void()>& work) -> double {
  double min_micros = 1e18;
  for (int run = 0; run < 3; ++run) {
    const std::clock_t begin = std::clock();
    work();
    const double micros =
        1e6 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    min_micros = std::min(min_micros, micros);
  }
  return min_micros;
}

/** Measures at each size and fits the line. */
auto Measure(std::string name,
             std::string per,
             std::string unit,
             const std::vector<int>& sizes,
             const std::function<double(int size)>& measure) -> Slope {
  Slope slope{std::move(name), std::move(per), std::move(unit), {}, 0, 0, 0};
  for (const int size : sizes) {
    slope.points.push_back({static_cast<double>(size), measure(size)});
  }
  FitLine(slope);
  return slope;
}

auto TeamName(int number) -> std::string {
  return "team-" + std::to_string(number);
}

auto HolderName(int number) -> std::string {
  return "router-" + std::to_string(number) + "#1700000000000-9f2c01aa";
}

auto TopUpBatch(int team) -> wire::LedgerBatch {
  wire::LedgerBatch batch;
  batch.set_kind(wire::BATCH_OPERATOR);
  wire::TopUp& top_up = *batch.add_entries()->mutable_top_up();
  top_up.set_team(TeamName(team));
  top_up.set_top_up_id("0123456789abcdef");
  top_up.set_tokens(1'000'000'000);
  return batch;
}

auto FillBill(wire::LedgerEntry& entry, int number) -> void {
  entry.set_entry_id("bill/" + HolderName(7) + "/" + std::to_string(number));
  wire::Bill& bill = *entry.mutable_bill();
  bill.set_team(TeamName(0));
  bill.set_request_key("017f22e2-79b0-7cc3-98c4-" +
                       std::to_string(100'000'000'000 + number));
  bill.set_holder(HolderName(7));
  bill.set_run_id(HolderName(7) + "/" + std::to_string(number));
  bill.set_tokens(100);
  bill.set_request_class("quick_answer");
  bill.set_issued_at_ms(1'700'000'000'000);
}

/** Returns a ledger with the budgets of `teams` teams, each with two holders.
 */
auto MakeLedger(int teams) -> PartitionLedger {
  PartitionLedger ledger;
  wire::LedgerBatch take_over;
  take_over.set_kind(wire::BATCH_TAKE_OVER);
  take_over.set_writer("k");
  take_over.set_epoch(1);
  ledger.Apply(take_over);
  wire::LedgerBatch grants;
  grants.set_writer("k");
  grants.set_epoch(1);
  grants.set_seq(1);
  for (int team = 0; team < teams; ++team) {
    ledger.Apply(TopUpBatch(team));
    for (int holder = 0; holder < 2; ++holder) {
      wire::Grant& grant = *grants.add_entries()->mutable_grant();
      grant.set_team(TeamName(team));
      grant.set_holder(HolderName(holder));
      grant.set_op_seq(1);
      grant.set_tokens(100'000'000);
    }
  }
  ledger.Apply(grants);
  return ledger;
}

auto BillBatch(int bills, std::uint64_t seq) -> wire::LedgerBatch {
  wire::LedgerBatch batch;
  batch.set_writer("k");
  batch.set_epoch(1);
  batch.set_seq(seq);
  batch.set_written_at_ms(1'700'000'000'000);
  for (int i = 0; i < bills; ++i) {
    FillBill(*batch.add_entries(), i);
  }
  return batch;
}

auto ConfigurationText(int teams, int upstreams) -> std::string {
  nlohmann::json json = {{"defaults", {{"chat_class", "quick"}}},
                         {"classes", {{"quick", {{"patience", "quick"}}}}}};
  for (int i = 0; i < teams; ++i) {
    json["teams"][TeamName(i)]["key_sha256"] = Sha256Hex(TeamName(i));
  }
  for (int i = 0; i < upstreams; ++i) {
    json["upstreams"]["engine-" + std::to_string(i)] = {
        {"address", "10.0.0.1:80"},
        {"domain", "domain-a"},
        {"models", {"assistant"}},
        {"slots", 8}};
  }
  return json.dump();
}

auto LedgerSlopes() -> std::vector<Slope> {
  std::vector<Slope> slopes;
  slopes.push_back(Measure("ledger memory of a budget with 2 holders", "budget",
                           "bytes", {1000, 3000, 10'000}, [](int size) {
                             const double before = HeapBytes();
                             const PartitionLedger ledger = MakeLedger(size);
                             return HeapBytes() - before;
                           }));
  slopes.push_back(Measure("ledger memory of a remembered bill", "bill",
                           "bytes", {10'000, 30'000, 100'000}, [](int size) {
                             PartitionLedger ledger = MakeLedger(1);
                             const double before = HeapBytes();
                             ledger.Apply(BillBatch(size, 2));
                             return HeapBytes() - before;
                           }));
  slopes.push_back(Measure(
      "processor time of a bill in the fold", "bill", "microseconds",
      {10'000, 30'000, 100'000}, [](int size) {
        const std::string bytes = BillBatch(size, 2).SerializeAsString();
        return MinCpuMicros([&] {
          PartitionLedger ledger = MakeLedger(1);
          ledger.ApplyBytes(bytes);
        });
      }));
  slopes.push_back(Measure("record bytes of a bill", "bill", "bytes",
                           {1, 10, 100, 500}, [](int size) {
                             return static_cast<double>(
                                 BillBatch(size, 2).ByteSizeLong());
                           }));
  slopes.push_back(Measure("snapshot bytes of a budget with 2 holders",
                           "budget", "bytes", {1000, 3000, 10'000},
                           [](int size) {
                             return static_cast<double>(
                                 MakeLedger(size).ToSnapshot().ByteSizeLong());
                           }));
  slopes.push_back(Measure("snapshot bytes of a remembered bill", "bill",
                           "bytes", {10'000, 30'000, 100'000}, [](int size) {
                             PartitionLedger ledger = MakeLedger(1);
                             ledger.Apply(BillBatch(size, 2));
                             return static_cast<double>(
                                 ledger.ToSnapshot().ByteSizeLong());
                           }));
  slopes.push_back(Measure("processor time to load a snapshot", "budget",
                           "microseconds", {1000, 3000, 10'000}, [](int size) {
                             wire::LedgerBatch batch;
                             batch.set_kind(wire::BATCH_SNAPSHOT);
                             *batch.mutable_snapshot() =
                                 MakeLedger(size).ToSnapshot();
                             const std::string bytes =
                                 batch.SerializeAsString();
                             return MinCpuMicros([&] {
                               PartitionLedger ledger;
                               ledger.StartAt(batch.snapshot().next_offset());
                               ledger.ApplyBytes(bytes);
                             });
                           }));
  return slopes;
}

auto ConfigSlopes() -> std::vector<Slope> {
  std::vector<Slope> slopes;
  const auto memory = [](int teams, int upstreams) {
    const std::string text = ConfigurationText(teams, upstreams);
    const double before = HeapBytes();
    ConfigStateMachine fold;
    fold.Adopt(1, 1, text);
    Findings findings;
    const std::optional<Configuration> parsed =
        ParseConfiguration(text, findings);
    return HeapBytes() - before;
  };
  slopes.push_back(Measure("configuration memory of a team", "team", "bytes",
                           {500, 1500, 5000},
                           [&](int size) { return memory(size, 10); }));
  slopes.push_back(Measure("configuration memory of an upstream", "upstream",
                           "bytes", {100, 300, 600},
                           [&](int size) { return memory(10, size); }));
  slopes.push_back(Measure("processor time of a configuration change", "team",
                           "microseconds", {500, 1500, 5000}, [](int size) {
                             const std::string text =
                                 ConfigurationText(size, 600);
                             return MinCpuMicros([&] {
                               Findings findings;
                               const auto parsed =
                                   ParseConfiguration(text, findings);
                             });
                           }));
  return slopes;
}

/** A router core with a configuration of `teams` teams and 12 engines, and
 * `peers` other routers in its VM list. */
class CoreBench {
 public:
  explicit CoreBench(int teams, int peers = 0) {
    RouterSettings settings;
    settings.name = RouterId("r0");
    settings.incarnation = MakeIncarnation(settings.name, 1, "aa");
    settings.vm.name = "r0";
    settings.vm.domain = DomainId("domain-a");
    settings.vm.peer_address = PeerAddress("10.0.0.1:1");
    this->core = std::make_unique<RouterCore>(settings);
    VmList list;
    for (int i = 1; i <= peers; ++i) {
      Vm vm = settings.vm;
      vm.name = "r" + std::to_string(i);
      vm.peer_address = PeerAddress("10.0." + std::to_string(i / 250) + "." +
                                    std::to_string(i % 250) + ":1");
      vm.domain = DomainId("domain-" + std::to_string(i % 6));
      list.push_back(vm);
    }
    this->core->OnVmList(this->now, list);
    wire::PeerMessage push;
    push.set_from("r1#1-bb");
    push.set_from_address("10.0.0.2:1");
    push.mutable_config_push()->set_version(1);
    push.mutable_config_push()->set_next_offset(1);
    push.mutable_config_push()->set_document(ConfigurationText(teams, 12));
    this->core->OnPeer(this->now, push);
    (void)this->core->TakeActions();
  }

  auto Tick(Duration step) -> std::vector<Action> {
    this->now += step;
    this->core->Tick(this->now);
    return this->core->TakeActions();
  }

  /** Adds tokens of `team` to the router with a transfer message from a peer.
   */
  auto Fund(const std::string& team, Tokens tokens) -> void {
    wire::PeerMessage message;
    message.set_from("r1#1-bb");
    message.set_from_address("10.0.0.2:1");
    message.mutable_transfer_give()->set_team(team);
    message.mutable_transfer_give()->set_transfer_id("x-" + team);
    message.mutable_transfer_give()->set_tokens(tokens);
    message.mutable_transfer_give()->set_to("r0#1-aa");
    this->core->OnPeer(this->now, message);
    (void)this->core->TakeActions();
  }

  auto OpenRequest(RequestHandle handle) -> void {
    IncomingRequest arrival;
    arrival.team = TeamId(TeamName(0));
    arrival.key = RequestKey("key-" + std::to_string(handle));
    arrival.issued_at_ms = ToUnixMillis(this->now);
    arrival.request_class = {"quick", LatencyClass::kBackground, 0,
                             std::chrono::seconds(600),
                             std::chrono::seconds(600)};
    arrival.model = "assistant";
    arrival.upper = 100;
    this->core->OnRequest(this->now, handle, std::move(arrival));
    (void)this->core->TakeActions();
  }

  Instant now = FromUnixMillis(1'700'000'000'000);
  std::unique_ptr<RouterCore> core;
};

auto RouterMemorySlopes() -> std::vector<Slope> {
  std::vector<Slope> slopes;
  slopes.push_back(Measure("router memory of an allowance", "team", "bytes",
                           {100, 300, 1000}, [](int size) {
                             CoreBench bench(10);
                             const double before = HeapBytes();
                             for (int i = 0; i < size; ++i) {
                               bench.Fund(TeamName(i), 1000);
                             }
                             return HeapBytes() - before;
                           }));
  slopes.push_back(Measure("router memory of an open request", "request",
                           "bytes", {100, 300, 1000}, [](int size) {
                             CoreBench bench(10);
                             bench.Fund(TeamName(0), 1'000'000'000);
                             const double before = HeapBytes();
                             for (int i = 1; i <= size; ++i) {
                               bench.OpenRequest(static_cast<RequestHandle>(i));
                             }
                             return HeapBytes() - before;
                           }));
  slopes.push_back(Measure("router memory of a listed router", "router",
                           "bytes", {60, 200, 420}, [](int size) {
                             const double before = HeapBytes();
                             const CoreBench bench(10, size);
                             return HeapBytes() - before;
                           }));
  return slopes;
}

auto RouterTimeSlopes() -> std::vector<Slope> {
  std::vector<Slope> slopes;
  slopes.push_back(
      Measure("processor time of decisions on a request", "request",
              "microseconds", {1000, 3000, 10'000}, [](int size) {
                return MinCpuMicros([&] {
                  CoreBench bench(10);
                  bench.Fund(TeamName(0), 1'000'000'000);
                  for (int i = 1; i <= size; ++i) {
                    const auto handle = static_cast<RequestHandle>(i);
                    bench.OpenRequest(handle);
                    bench.core->OnUpstreamCompleted(
                        bench.now, {handle, 1, 50, 200, "", ""});
                    (void)bench.core->TakeActions();
                  }
                });
              }));
  slopes.push_back(Measure("processor time of an idle second",
                           "router in the fleet", "microseconds",
                           {60, 200, 420}, [](int size) {
                             CoreBench bench(1500, size);
                             const double micros = MinCpuMicros([&] {
                               for (int tick = 0; tick < 500; ++tick) {
                                 bench.Tick(RouterCore::kTickInterval);
                               }
                             });
                             return micros / 10.0;
                           }));
  slopes.push_back(Measure(
      "peer bytes sent in an idle second", "router in the fleet", "bytes",
      {60, 200, 420}, [](int size) {
        CoreBench bench(1500, size);
        std::size_t bytes = 0;
        for (int tick = 0; tick < 5000; ++tick) {
          for (const Action& action : bench.Tick(RouterCore::kTickInterval)) {
            if (const SendPeerMessage* const send =
                    std::get_if<SendPeerMessage>(&action)) {
              bytes += send->message.ByteSizeLong();
            }
          }
        }
        return static_cast<double>(bytes) / 100.0;
      }));
  return slopes;
}

/** Reads slopes that were measured on real processes from lines of the form
 * `name|per|unit|size|value`, and fits their lines. */
auto ReadPoints(const std::string& path) -> std::vector<Slope> {
  std::vector<Slope> slopes;
  std::ifstream file(path);
  for (std::string text; std::getline(file, text);) {
    std::istringstream line(text);
    std::array<std::string, 5> fields;
    for (std::string& field : fields) {
      std::getline(line, field, '|');
    }
    auto found = std::ranges::find(slopes, fields[0], &Slope::name);
    if (found == slopes.end()) {
      slopes.push_back({fields[0], fields[1], fields[2], {}, 0, 0, 0});
      found = slopes.end() - 1;
    }
    found->points.push_back({std::stod(fields[3]), std::stod(fields[4])});
  }
  for (Slope& slope : slopes) {
    FitLine(slope);
  }
  return slopes;
}

auto FileName(const std::string& name) -> std::string {
  std::string file = name;
  std::ranges::replace(file, ' ', '-');
  return file + ".svg";
}

}  // namespace

/** Measures the slopes on which the figures of docs/CAPACITY.md are based. */
auto main(int argc, char** argv) -> int {
  SettingsReader settings(
      "Measures how memory, processor time and messages grow with the fleet.");
  settings.DeclareText("points", "file of points measured on real processes",
                       "");
  settings.DeclareText("plots", "folder for a plot of each slope", "");
  if (!settings.Read(argc, argv)) {
    std::cerr << settings.findings().ToText();
    return 2;
  }
  std::vector<Slope> slopes = LedgerSlopes();
  for (std::vector<Slope> more :
       {ConfigSlopes(), RouterMemorySlopes(), RouterTimeSlopes(),
        ReadPoints(settings.Text("points"))}) {
    slopes.insert(slopes.end(), more.begin(), more.end());
  }
  std::cout << "| quantity | slope | intercept | residual | points "
               "|\n|---|---|---|---|---|\n";
  for (const Slope& slope : slopes) {
    std::cout << "| " << slope.name << " | " << std::setprecision(4)
              << slope.slope << " " << slope.unit << " per " << slope.per
              << " | " << slope.intercept << " " << slope.unit << " | "
              << std::setprecision(2) << slope.residual * 100.0 << "% | ";
    for (const Point& point : slope.points) {
      std::cout << std::setprecision(6) << point.size << ": " << point.value
                << "; ";
    }
    std::cout << "|\n";
    if (!settings.Text("plots").empty()) {
      std::ofstream(settings.Text("plots") + "/" + FileName(slope.name))
          << ToSvg(slope);
    }
  }
  return 0;
}
