#include "support/virtual_fleet.h"

#include "al_core/text/digest.h"
#include "al_ledger/records/partition_map.h"

namespace auburnloft::testing {

namespace {

using nlohmann::json;

constexpr Duration kVmInterval = std::chrono::seconds(1);
constexpr Duration kVmLag = std::chrono::seconds(2);
constexpr Duration kCallerWait = std::chrono::milliseconds(300);
constexpr std::int64_t kStartMs = 1'700'000'000'000;

auto DefaultConfiguration(std::span<const std::string> teams) -> json {
  json document = json::parse(R"({
    "defaults": {"chat_class": "quick", "ledger": {"partitions": 2, "appends_per_second": 100,
                 "snapshot_every_records": 40}, "entries": {"count": 2, "hold_seconds": 3}},
    "classes": {"quick": {"patience": "quick", "queue_limit_ms": 4000, "deadline_ms": 30000}},
    "upstreams": {"engine": {"address": "10.0.0.1:1", "domain": "a", "models": ["m"], "slots": 1000},
                  "engine-2": {"address": "10.0.0.1:3", "domain": "b", "models": ["m"], "slots": 1000},
                  "pay": {"kind": "service", "address": "10.0.0.1:2", "domain": "a", "service": "pay",
                          "slots": 1000}},
    "services": {"pay": {"calls": [{"method": "POST", "path": "/pay", "at_most_once": true,
                                    "class": "quick"}]}}
  })");
  for (const std::string& team : teams) {
    document["teams"][team]["key_sha256"] = Sha256Hex(team);
  }
  return document;
}

}  // namespace

VirtualFleet::VirtualFleet(Options given)
    : queue(FromUnixMillis(kStartMs)),
      random(given.seed),
      log(queue, random),
      upstreams(queue, random),
      options(std::move(given)) {
  std::vector<std::string> teams;
  for (const auto& [team, tokens] : this->options.budgets) {
    teams.push_back(team);
  }
  json document = DefaultConfiguration(teams);
  document.merge_patch(this->options.configuration.is_object()
                           ? this->options.configuration
                           : json::object());
  this->Publish(0, document);
  for (const auto& [team, tokens] : this->options.budgets) {
    if (tokens > 0) {
      this->TopUp(TeamId(team), tokens, "first");
    }
  }
  constexpr std::array<const char*, 3> kDomains = {"a", "b", "c"};
  for (std::size_t i = 0; i < this->options.routers; ++i) {
    Node& node = this->nodes.emplace_back();
    node.name = RouterId("r" + std::to_string(i));
    node.vm.name = node.name.value();
    node.vm.role = "router";
    node.vm.domain = DomainId(kDomains.at(i % kDomains.size()));
    node.vm.http_address = "h" + std::to_string(i);
    node.vm.peer_address = PeerAddress("p" + std::to_string(i));
  }
  this->vm_versions.emplace_back(Instant{}, this->ListVms());
  for (std::size_t i = 0; i < this->options.routers; ++i) {
    this->Start(i);
  }
}

//==============================================================================
// Faults and operators

auto VirtualFleet::Start(std::size_t index) -> void {
  Node& node = this->nodes[index];
  const std::uint64_t incarnation_number = ++node.incarnation_number;
  RouterSettings settings;
  settings.name = node.name;
  settings.incarnation =
      MakeIncarnation(node.name, ToUnixMillis(this->queue.Now()),
                      std::to_string(incarnation_number));
  settings.vm = node.vm;
  settings.seed = this->random.UniformBelow(1'000'000);
  node.core = std::make_unique<RouterCore>(settings);
  node.paused = false;
  node.inbox.clear();
  node.handles.clear();
  this->FetchVms(index, incarnation_number);
  this->Tick(index, incarnation_number);
}

auto VirtualFleet::Kill(std::size_t index) -> void {
  Node& node = this->nodes[index];
  ++node.incarnation_number;
  node.core.reset();
  const std::map<RequestHandle, std::size_t> open =
      std::exchange(node.handles, {});
  for (const auto& [handle, caller] : open) {
    this->queue.After(kCallerWait, [this, caller = caller] {
      this->StartTry(caller, this->random.UniformBelow(this->nodes.size()));
    });
  }
}

auto VirtualFleet::Pause(std::size_t index) -> void {
  this->nodes[index].paused = true;
}

auto VirtualFleet::Resume(std::size_t index) -> void {
  Node& node = this->nodes[index];
  if (!std::exchange(node.paused, false)) {
    return;
  }
  for (EventQueue::Event& event : std::exchange(node.inbox, {})) {
    this->queue.After(Duration{0}, std::move(event));
  }
}

auto VirtualFleet::SetListed(std::size_t index, bool listed) -> void {
  this->nodes[index].listed = listed;
  this->vm_versions.emplace_back(this->queue.Now(), this->ListVms());
}

auto VirtualFleet::RestoreLinks() -> void {
  this->cut_links.clear();
  this->cut_logs.clear();
}

auto VirtualFleet::TopUp(const TeamId& team,
                         Tokens tokens,
                         const std::string& id) -> void {
  const json configured =
      this->options.configuration.is_object()
          ? this->options.configuration.value("defaults", json::object())
                .value("ledger", json::object())
          : json::object();
  const PartitionMap partitions(configured.value("partitions", 2U));
  wire::LedgerBatch batch;
  batch.set_kind(wire::BATCH_OPERATOR);
  batch.set_writer("operator");
  wire::LedgerEntry& entry = *batch.add_entries();
  entry.set_entry_id("topup/" + team.value() + "/" + id);
  entry.mutable_top_up()->set_team(team.value());
  entry.mutable_top_up()->set_top_up_id(id);
  entry.mutable_top_up()->set_tokens(tokens);
  this->log.Store(PartitionMap::StreamOf(partitions.PartitionOf(team)),
                  batch.SerializeAsString());
}

auto VirtualFleet::Publish(std::uint64_t base, const json& patch) -> void {
  wire::ConfigRecord record;
  record.set_base_version(base);
  record.set_merge_patch(patch.dump());
  record.set_author("operator");
  record.set_reason("test");
  this->log.Store(ConfigFollower::Stream(), record.SerializeAsString());
}

auto VirtualFleet::ListVms() -> VmList {
  VmList list;
  for (const Node& node : this->nodes) {
    if (node.listed) {
      list.push_back(node.vm);
    }
  }
  return list;
}

//==============================================================================
// Callers

auto VirtualFleet::MakeRequest(const std::string& team,
                               const std::string& key,
                               Tokens upper,
                               bool at_most_once) -> IncomingRequest {
  IncomingRequest arrival;
  arrival.team = TeamId(team);
  arrival.key = RequestKey(key);
  arrival.issued_at_ms = ToUnixMillis(this->queue.Now());
  arrival.at_most_once = at_most_once;
  arrival.request_class = {"quick", LatencyClass::kInteractive, 0,
                           std::chrono::seconds(4), std::chrono::seconds(30)};
  arrival.model = at_most_once ? "" : "m";
  arrival.service = at_most_once ? "pay" : "";
  arrival.upper = upper;
  return arrival;
}

auto VirtualFleet::Send(std::size_t node, IncomingRequest arrival)
    -> std::size_t {
  CallerRecord& caller = this->callers.emplace_back();
  caller.arrival = std::move(arrival);
  caller.began = this->queue.Now();
  this->StartTry(this->callers.size() - 1, node);
  return this->callers.size() - 1;
}

auto VirtualFleet::StartTry(std::size_t number, std::size_t index) -> void {
  CallerRecord& caller = this->callers[number];
  Node& node = this->nodes[index];
  if (++caller.tries > this->max_tries) {
    caller.done = true;
    caller.ended = this->queue.Now();
    return;
  }
  if (node.core == nullptr) {
    this->queue.After(kCallerWait, [this, number] {
      this->StartTry(number, this->random.UniformBelow(this->nodes.size()));
    });
    return;
  }
  caller.router = index;
  caller.sent_in_this_try = false;
  const RequestHandle handle = this->next_handle++;
  node.handles[handle] = number;
  this->Deliver(index, node.incarnation_number,
                [this, index, handle, arrival = caller.arrival] {
                  this->nodes[index].core->OnRequest(this->queue.Now(), handle,
                                                     arrival);
                  this->ExecuteActions(index);
                });
}

//==============================================================================
// Time

auto VirtualFleet::RunUntil(Instant end) -> void {
  while (!this->stopped && this->queue.Step(end)) {
    ++this->steps;
    if (this->after_step && !this->after_step()) {
      this->stopped = true;
    }
  }
}

auto VirtualFleet::Deliver(std::size_t index,
                           std::uint64_t incarnation_number,
                           const EventQueue::Event& event) -> void {
  Node& node = this->nodes[index];
  if (node.incarnation_number != incarnation_number || node.core == nullptr) {
    return;
  }
  if (node.paused) {
    node.inbox.emplace_back([this, index, incarnation_number, event] {
      this->Deliver(index, incarnation_number, event);
    });
    return;
  }
  event();
}

auto VirtualFleet::Tick(std::size_t index, std::uint64_t incarnation_number)
    -> void {
  if (this->nodes[index].incarnation_number != incarnation_number) {
    return;
  }
  if (!this->nodes[index].paused) {
    this->nodes[index].core->Tick(this->queue.Now());
    this->ExecuteActions(index);
  }
  this->queue.After(RouterCore::kTickInterval,
                    [this, index, incarnation_number] {
                      this->Tick(index, incarnation_number);
                    });
}

auto VirtualFleet::FetchVms(std::size_t index, std::uint64_t incarnation_number)
    -> void {
  if (this->nodes[index].incarnation_number != incarnation_number) {
    return;
  }
  const VmList* list = &this->vm_versions.front().second;
  for (const auto& [since, version] : this->vm_versions) {
    if (since + kVmLag <= this->queue.Now()) {
      list = &version;
    }
  }
  if (!this->cut_logs.contains(index)) {
    this->Deliver(index, incarnation_number, [this, index, copy = *list] {
      this->nodes[index].core->OnVmList(this->queue.Now(), copy);
      this->ExecuteActions(index);
    });
  }
  this->queue.After(kVmInterval, [this, index, incarnation_number] {
    this->FetchVms(index, incarnation_number);
  });
}

//==============================================================================
// Actions

auto VirtualFleet::ExecuteActions(std::size_t index) -> void {
  Node& node = this->nodes[index];
  for (std::vector<Action> actions = node.core->TakeActions(); !actions.empty();
       actions = node.core->TakeActions()) {
    for (const Action& action : actions) {
      if (this->on_action) {
        this->on_action(index, action);
      }
      std::visit([&](const auto& item) { this->Execute(index, item); }, action);
    }
  }
}

auto VirtualFleet::Execute(std::size_t index, const SendPeerMessage& action)
    -> void {
  this->nodes[index].peer_bytes += action.message.ByteSizeLong();
  for (std::size_t to = 0; to < this->nodes.size(); ++to) {
    if (this->nodes[to].vm.peer_address != action.to) {
      continue;
    }
    if (this->cut_links.contains({index, to}) ||
        this->random.Bernoulli(this->message_loss_probability)) {
      return;
    }
    const int copies =
        this->random.Bernoulli(this->message_repeat_probability) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      // Each message has its own delay, so that messages can be reordered.
      const Duration delay =
          this->link_delay +
          Duration(static_cast<std::int64_t>(this->random.UniformBelow(2000)));
      this->queue.After(delay, [this, to, message = action.message] {
        this->Deliver(
            to, this->nodes[to].incarnation_number, [this, to, message] {
              this->nodes[to].core->OnPeer(this->queue.Now(), message);
              this->ExecuteActions(to);
            });
      });
    }
  }
}

auto VirtualFleet::ReportLogFailure(std::size_t index,
                                    std::uint64_t incarnation_number,
                                    LogTag tag) -> void {
  this->Deliver(index, incarnation_number, [this, index, tag] {
    this->nodes[index].core->OnLogFailed(this->queue.Now(), {tag});
    this->ExecuteActions(index);
  });
}

auto VirtualFleet::Execute(std::size_t index, const AppendRecord& action)
    -> void {
  const std::uint64_t incarnation_number =
      this->nodes[index].incarnation_number;
  const LogTag tag = action.tag;
  const auto failed = [this, index, incarnation_number, tag] {
    this->ReportLogFailure(index, incarnation_number, tag);
  };
  if (this->cut_logs.contains(index)) {
    this->queue.After(this->link_delay, failed);
    return;
  }
  this->log.Append(
      action.stream, action.bytes,
      [this, index, incarnation_number, tag](LogOffset offset) {
        this->Deliver(index, incarnation_number, [this, index, tag, offset] {
          this->nodes[index].core->OnLogAppended(this->queue.Now(),
                                                 {tag, offset});
          this->ExecuteActions(index);
        });
      },
      failed);
}

auto VirtualFleet::Execute(std::size_t index, const ReadRecords& action)
    -> void {
  const std::uint64_t incarnation_number =
      this->nodes[index].incarnation_number;
  const LogTag tag = action.tag;
  const auto failed = [this, index, incarnation_number, tag] {
    this->ReportLogFailure(index, incarnation_number, tag);
  };
  if (this->cut_logs.contains(index)) {
    this->queue.After(this->link_delay, failed);
    return;
  }
  this->log.Read(
      action.stream, action.from,
      [this, index, incarnation_number, tag](LogRecords records) {
        records.tag = tag;
        this->Deliver(index, incarnation_number, [this, index, records] {
          this->nodes[index].core->OnLogRecords(this->queue.Now(), records);
          this->ExecuteActions(index);
        });
      },
      failed);
}

auto VirtualFleet::ReportDone(std::size_t index,
                              std::uint64_t incarnation_number,
                              const UpstreamCompleted& done) -> void {
  this->Deliver(index, incarnation_number, [this, index, done] {
    const auto caller = this->nodes[index].handles.find(done.handle);
    if (caller != this->nodes[index].handles.end()) {
      this->callers[caller->second].spent = done.spent;
    }
    this->nodes[index].core->OnUpstreamCompleted(this->queue.Now(), done);
    this->ExecuteActions(index);
  });
}

auto VirtualFleet::ReportFailed(std::size_t index,
                                std::uint64_t incarnation_number,
                                const UpstreamFailed& failed) -> void {
  this->Deliver(index, incarnation_number, [this, index, failed] {
    this->nodes[index].core->OnUpstreamFailed(this->queue.Now(), failed);
    this->ExecuteActions(index);
  });
}

auto VirtualFleet::Execute(std::size_t index, const SendUpstreamRequest& action)
    -> void {
  const std::uint64_t incarnation_number =
      this->nodes[index].incarnation_number;
  const std::size_t number = this->nodes[index].handles.at(action.handle);
  const IncomingRequest& arrival = this->callers[number].arrival;
  if (this->send_upstream) {
    this->send_upstream(index, action, arrival);
    return;
  }
  this->upstreams.Send(
      action.handle, action.attempt, arrival,
      [this, number] { this->callers[number].sent_in_this_try = true; },
      [this, index, incarnation_number](const UpstreamCompleted& done) {
        this->ReportDone(index, incarnation_number, done);
      },
      [this, index, incarnation_number](const UpstreamFailed& failed) {
        this->ReportFailed(index, incarnation_number, failed);
      });
}

auto VirtualFleet::Execute(std::size_t /*index*/,
                           const ResumeUpstreamStream& /*action*/) -> void {}

auto VirtualFleet::Execute(std::size_t /*index*/,
                           const CancelUpstreamRequest& /*action*/) -> void {}

auto VirtualFleet::EndCaller(std::size_t index, RequestHandle handle)
    -> CallerRecord* {
  Node& node = this->nodes[index];
  const auto found = node.handles.find(handle);
  if (found == node.handles.end()) {
    return nullptr;
  }
  CallerRecord& caller = this->callers[found->second];
  caller.done = true;
  caller.ended = this->queue.Now();
  node.handles.erase(found);
  return &caller;
}

auto VirtualFleet::NotifyEnd(const CallerRecord& caller) -> void {
  if (this->on_end) {
    this->on_end(caller);
  }
}

auto VirtualFleet::Execute(std::size_t index, const RefuseRequest& action)
    -> void {
  if (CallerRecord* const caller = this->EndCaller(index, action.handle)) {
    caller->refusal = action.refusal;
    this->NotifyEnd(*caller);
  }
}

auto VirtualFleet::Execute(std::size_t index, const ReplayResponse& action)
    -> void {
  if (CallerRecord* const caller = this->EndCaller(index, action.handle)) {
    caller->answered = true;
    caller->replayed = true;
    this->NotifyEnd(*caller);
  }
}

auto VirtualFleet::Execute(std::size_t index, const ReleaseResponse& action)
    -> void {
  if (CallerRecord* const caller = this->EndCaller(index, action.handle)) {
    caller->answered = true;
    this->NotifyEnd(*caller);
  }
}

}  // namespace auburnloft::testing
