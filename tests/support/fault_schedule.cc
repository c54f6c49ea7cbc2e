#include "support/fault_schedule.h"

#include <array>

namespace auburnloft::testing {

namespace {

constexpr std::size_t kRouters = 4;
constexpr Duration kFaultSpan = std::chrono::seconds(40);
constexpr Duration kRecoverySpan = std::chrono::seconds(90);
constexpr Duration kRequestGap = std::chrono::milliseconds(35);
constexpr std::array<const char*, 3> kTeams = {"large", "small", "payer"};

auto FleetOptions(std::uint64_t seed) -> VirtualFleet::Options {
  VirtualFleet::Options options;
  options.seed = seed;
  options.routers = kRouters;
  options.budgets = {{"large", 200'000}, {"small", 2'500}, {"payer", 20'000}};
  options.configuration = nlohmann::json::parse(
      R"({"defaults": {"allowance": {"cover_seconds": 20}}})");
  return options;
}

}  // namespace

FaultSchedule::FaultSchedule(std::uint64_t seed)
    : seed(seed),
      random(seed * 7919 + 17),
      fleet(FleetOptions(seed)),
      checker(fleet),
      start(fleet.queue.Now()),
      faults_end(start + kFaultSpan) {}

auto FaultSchedule::RecordFault(std::string text) -> void {
  const double at = ToSeconds(this->fleet.queue.Now() - this->start);
  this->outcome.faults.push_back(std::to_string(at) + " s: " + std::move(text));
}

auto FaultSchedule::Run() -> Outcome {
  this->fleet.after_step = [this] { return this->checker.Check(); };
  this->fleet.RunFor(std::chrono::seconds(2));
  this->ScheduleFault();
  this->ScheduleRequest();
  this->fleet.RunUntil(this->faults_end);
  this->EndFaults();
  this->fleet.RunFor(kRecoverySpan);
  if (this->checker.violation().empty()) {
    this->checker.CheckFinalState();
  }
  this->outcome.violation = this->checker.violation();
  this->outcome.steps = this->fleet.steps;
  this->outcome.requests = this->fleet.callers.size();
  for (const CallerRecord& caller : this->fleet.callers) {
    this->outcome.answered += caller.answered ? 1 : 0;
  }
  this->outcome.unbilled = this->checker.Unbilled().size();
  this->outcome.stranded = this->checker.Stranded();
  return this->outcome;
}

auto FaultSchedule::ScheduleRequest() -> void {
  if (this->fleet.queue.Now() >= this->faults_end) {
    return;
  }
  this->SendRequest();
  this->fleet.queue.After(kRequestGap, [this] { this->ScheduleRequest(); });
}

auto FaultSchedule::SendRequest() -> void {
  const std::string team = kTeams.at(this->random.UniformBelow(kTeams.size()));
  const bool at_most_once = team == "payer";
  const std::string key =
      (at_most_once ? "once-" : "key-") + std::to_string(this->next_key++);
  const Tokens upper =
      at_most_once ? 1 : static_cast<Tokens>(5 + this->random.UniformBelow(40));
  const IncomingRequest arrival =
      this->fleet.MakeRequest(team, key, upper, at_most_once);
  const std::size_t node = this->random.UniformBelow(kRouters);
  this->fleet.Send(node, arrival);
  if (this->random.Bernoulli(
          0.1)) {  // The caller also sends the request to another router.
    const Duration wait =
        std::chrono::milliseconds(this->random.UniformBelow(400));
    const std::size_t other = this->random.UniformBelow(kRouters);
    this->fleet.queue.After(
        wait, [this, other, arrival] { this->fleet.Send(other, arrival); });
  }
}

auto FaultSchedule::ScheduleFault() -> void {
  const Duration gap =
      std::chrono::milliseconds(300 + this->random.UniformBelow(1500));
  this->fleet.queue.After(gap, [this] {
    if (this->fleet.queue.Now() < this->faults_end) {
      this->InjectFault();
      this->ScheduleFault();
    }
  });
}

auto FaultSchedule::InjectFault() -> void {
  const std::size_t node = this->random.UniformBelow(kRouters);
  const std::size_t other =
      (node + 1 + this->random.UniformBelow(kRouters - 1)) % kRouters;
  const Duration span =
      std::chrono::milliseconds(200 + this->random.UniformBelow(9000));
  constexpr std::uint64_t kKinds = 13;
  constexpr std::uint64_t kFirstLinkFault = 4;
  constexpr std::uint64_t kFirstLogFault = 7;
  constexpr std::uint64_t kFirstOperatorRace = 11;
  const std::uint64_t kind = this->random.UniformBelow(kKinds);
  if (kind < kFirstLinkFault) {
    this->InjectRouterFault(kind, node, span);
  } else if (kind < kFirstLogFault) {
    this->InjectLinkFault(kind, node, other, span);
  } else if (kind < kFirstOperatorRace) {
    this->InjectLogFault(kind, span);
  } else {
    this->InjectOperatorRace(kind);
  }
}

auto FaultSchedule::InjectRouterFault(std::uint64_t kind,
                                      std::size_t node,
                                      Duration span) -> void {
  const std::string router_name = " router " + std::to_string(node);
  EventQueue& queue = this->fleet.queue;
  switch (kind) {
    case 0:
      this->RecordFault("kill" + router_name);
      this->checker.BeforeKill(node);
      this->fleet.Kill(node);
      queue.After(span, [this, node] {
        if (this->fleet.nodes[node].core == nullptr) {
          this->fleet.Start(node);
        }
      });
      break;
    case 1:
      this->RecordFault("remove the VM of" + router_name);
      this->checker.BeforeKill(node);
      this->fleet.Kill(node);
      this->fleet.SetListed(node, false);
      queue.After(span + std::chrono::seconds(4), [this, node] {
        this->fleet.SetListed(node, true);
        if (this->fleet.nodes[node].core == nullptr) {
          this->fleet.Start(node);
        }
      });
      break;
    default:
      this->RecordFault("pause" + router_name);
      this->fleet.Pause(node);
      queue.After(span * 2, [this, node] { this->fleet.Resume(node); });
      break;
  }
}

auto FaultSchedule::InjectLinkFault(std::uint64_t kind,
                                    std::size_t node,
                                    std::size_t other,
                                    Duration span) -> void {
  const std::string router_name = " router " + std::to_string(node);
  EventQueue& queue = this->fleet.queue;
  switch (kind) {
    case 4:
      this->RecordFault("cut" + router_name + " off from router " +
                        std::to_string(other) + ", one way");
      this->fleet.CutLink(node, other);
      queue.After(span, [this] { this->fleet.RestoreLinks(); });
      break;
    case 5:
      this->RecordFault("cut routers 0 and 1 off from 2 and 3");
      for (const std::size_t left : {0U, 1U}) {
        for (const std::size_t right : {2U, 3U}) {
          this->fleet.CutLink(left, right);
          this->fleet.CutLink(right, left);
        }
      }
      queue.After(span, [this] { this->fleet.RestoreLinks(); });
      break;
    default:
      this->RecordFault("cut" + router_name + " off from the log");
      this->fleet.CutLog(node);
      queue.After(span, [this] { this->fleet.RestoreLinks(); });
      break;
  }
}

auto FaultSchedule::InjectLogFault(std::uint64_t kind, Duration span) -> void {
  EventQueue& queue = this->fleet.queue;
  switch (kind) {
    case 7:
      this->RecordFault("outage of the log");
      this->fleet.log.faults.outage = true;
      queue.After(span, [this] { this->fleet.log.faults.outage = false; });
      break;
    case 8:
      this->RecordFault("the log loses, delays and repeats appends");
      this->fleet.log.faults.reply_loss_probability = 0.3;
      this->fleet.log.faults.late_append_probability = 0.1;
      this->fleet.log.faults.repeat_probability = 0.1;
      queue.After(span, [this] { this->fleet.log.faults = {}; });
      break;
    case 9:
      this->RecordFault(
          "messages are lost and repeated; upstreams refuse connections "
          "and lose responses");
      this->fleet.message_loss_probability = 0.2;
      this->fleet.message_repeat_probability = 0.2;
      this->fleet.upstreams.faults = {0.1, 0.1};
      queue.After(span, [this] {
        this->fleet.message_loss_probability = 0.0;
        this->fleet.message_repeat_probability = 0.0;
        this->fleet.upstreams.faults = {};
      });
      break;
    default:
      this->RecordFault("the log drops old records");
      this->fleet.log.RetainNewest(120);
      break;
  }
}

auto FaultSchedule::InjectOperatorRace(std::uint64_t kind) -> void {
  constexpr std::uint64_t kTopUp = 11;
  if (kind == kTopUp) {
    this->RecordFault("top-up");
    const std::string id = "id-" + std::to_string(this->next_top_up++);
    this->fleet.TopUp(TeamId("small"), 500, id);
    this->fleet.TopUp(TeamId("small"), 500, id);  // Sent twice, counted once.
    return;
  }
  this->RecordFault("two operators publish at once");
  std::uint64_t newest = 0;
  for (const VirtualFleet::Node& item : this->fleet.nodes) {
    if (item.core != nullptr && item.core->configuration() != nullptr) {
      newest = std::max(newest, item.core->configuration()->version);
    }
  }
  this->fleet.Publish(newest,
                      {{"defaults", {{"max_output_tokens", 100 + newest}}}});
  this->fleet.Publish(newest,
                      {{"defaults", {{"max_output_tokens", 5000 + newest}}}});
}

auto FaultSchedule::EndFaults() -> void {
  this->fleet.RestoreLinks();
  this->fleet.log.faults = {};
  this->fleet.message_loss_probability = 0.0;
  this->fleet.message_repeat_probability = 0.0;
  this->fleet.upstreams.faults = {};
  for (std::size_t i = 0; i < kRouters; ++i) {
    this->fleet.Resume(i);
    this->fleet.SetListed(i, true);
    if (this->fleet.nodes[i].core == nullptr) {
      this->fleet.Start(i);
    }
  }
}

}  // namespace auburnloft::testing
