#include "support/invariant_checker.h"

#include <sstream>

namespace auburnloft::testing {

InvariantChecker::InvariantChecker(VirtualFleet& fleet) : fleet(fleet) {
  // Reads the records that were stored before the checker was created.
  for (const StreamId& stream : {StreamId("ledger-0"), StreamId("ledger-1")}) {
    fleet.log.Read(
        stream, 0,
        [this, stream](const LogRecords& records) {
          for (const std::string& record : records.records) {
            this->OnStored(stream, record);
          }
        },
        [] {});
  }
  fleet.RunFor(std::chrono::milliseconds(10));
  fleet.log.SetOnStored(
      [this](const StreamId& stream, const std::string& bytes) {
        if (stream != ConfigFollower::Stream()) {
          this->OnStored(stream, bytes);
        }
      });
}

auto InvariantChecker::RecordViolation(std::string text) -> void {
  if (this->first_violation.empty()) {
    this->first_violation = std::move(text);
  }
}

auto InvariantChecker::OnStored(const StreamId& stream,
                                const std::string& bytes) -> void {
  PartitionLedger& ledger = this->ledger_by_stream[stream];
  const BatchResult result = ledger.ApplyBytes(bytes);
  wire::LedgerBatch batch;
  batch.ParseFromString(bytes);
  for (std::size_t i = 0; i < result.verdicts.size(); ++i) {
    const wire::LedgerEntry& entry = batch.entries(static_cast<int>(i));
    if (entry.has_top_up() &&
        this->top_up_ids
            .insert(entry.top_up().team() + "/" + entry.top_up().top_up_id())
            .second) {
      this->topped_up_tokens[entry.top_up().team()] += entry.top_up().tokens();
    }
    if (entry.has_bill() &&
        result.verdicts[i].verdict() == wire::VERDICT_VALID) {
      const std::string key =
          entry.bill().team() + "/" + entry.bill().request_key();
      this->billed_tokens[entry.bill().team()] += entry.bill().tokens();
      this->billed_run_ids.insert(entry.bill().run_id());
      if (++this->bill_counts[key] > 1) {
        this->RecordViolation("request " + key + " is billed twice");
      }
    }
  }
  if (!ledger.AreTotalsConsistent()) {
    this->RecordViolation(
        "stream " + stream.value() +
        ": top-ups differ from billed + allowances + unallocated");
  }
}

auto InvariantChecker::CommittedBy(const RouterCore& core,
                                   const TeamId& team) const -> Tokens {
  if (core.budget() == nullptr) {
    return 0;
  }
  const TeamAllowance allowance =
      core.budget()->allowance_table().AllowanceOf(team);
  Tokens committed = allowance.free + allowance.reserved;
  for (const wire::LedgerEntry* const entry : core.outbox()->Entries()) {
    const bool counts =
        entry->has_bill() && entry->bill().team() == team.value() &&
        entry->bill().holder() == core.settings().incarnation.value() &&
        !this->billed_run_ids.contains(entry->bill().run_id());
    committed += counts ? entry->bill().tokens() : 0;
  }
  return committed;
}

auto InvariantChecker::CheckBudgets() -> void {
  for (const auto& [name, total] : this->topped_up_tokens) {
    const TeamId team(name);
    Tokens committed = this->billed_tokens[name];
    for (const VirtualFleet::Node& node : this->fleet.nodes) {
      committed +=
          node.core == nullptr ? 0 : this->CommittedBy(*node.core, team);
    }
    for (const wire::Bill& bill : this->unrecorded_bills_of_exited_routers) {
      const bool counts =
          bill.team() == name &&
          !this->billed_run_ids.contains(bill.run_id()) &&
          !this->bill_counts.contains(name + "/" + bill.request_key());
      committed += counts ? bill.tokens() : 0;
    }
    if (committed > total) {
      std::ostringstream text;
      text << "team " << name << " can spend " << committed << " of " << total
           << " tokens";
      this->RecordViolation(text.str());
    }
  }
}

auto InvariantChecker::CheckCallers() -> void {
  for (const CallerRecord& caller : this->fleet.callers) {
    if (caller.refusal &&
        caller.refusal->execution == ExecutionState::kNotExecuted &&
        caller.sent_in_this_try) {
      this->RecordViolation("request " + caller.arrival.key.value() +
                            " was refused as not executed, but was sent");
    }
  }
  for (const auto& [key, count] : this->fleet.upstreams.executions()) {
    if (count > 1 && key.find("once-") != std::string::npos) {
      this->RecordViolation("request " + key + " was executed " +
                            std::to_string(count) + " times");
    }
  }
}

auto InvariantChecker::CheckConfig() -> void {
  for (std::size_t i = 0; i < this->fleet.nodes.size(); ++i) {
    const VirtualFleet::Node& node = this->fleet.nodes[i];
    if (node.core == nullptr || node.core->configuration() == nullptr) {
      continue;
    }
    std::uint64_t& last = this->config_versions[{i, node.incarnation_number}];
    const std::uint64_t now = node.core->configuration()->version;
    if (now < last) {
      this->RecordViolation("router " + node.name.value() +
                            " went back from configuration version " +
                            std::to_string(last));
    }
    last = now;
  }
}

auto InvariantChecker::Check() -> bool {
  this->CheckBudgets();
  if (this->fleet.steps % 64 == 0) {
    this->CheckCallers();
    this->CheckConfig();
  }
  return this->first_violation.empty();
}

auto InvariantChecker::BillsHeldBy(const RouterCore& core)
    -> std::set<std::string> {
  std::set<std::string> held;
  std::vector<const wire::LedgerEntry*> entries = core.outbox()->Entries();
  if (core.witness() != nullptr) {
    const std::vector<const wire::LedgerEntry*> copies =
        core.witness()->HeldEntries();
    entries.insert(entries.end(), copies.begin(), copies.end());
  }
  for (const wire::LedgerEntry* const entry : entries) {
    if (entry->has_bill()) {
      held.insert(entry->bill().team() + "/" + entry->bill().request_key());
    }
  }
  return held;
}

auto InvariantChecker::BeforeKill(std::size_t index) -> void {
  if (this->fleet.nodes[index].core == nullptr) {
    return;
  }
  const RouterCore& core = *this->fleet.nodes[index].core;
  for (const wire::LedgerEntry* const entry : core.outbox()->Entries()) {
    if (entry->has_bill() &&
        entry->bill().holder() == core.settings().incarnation.value()) {
      this->unrecorded_bills_of_exited_routers.push_back(entry->bill());
    }
  }
  std::set<std::string> only_here = BillsHeldBy(*this->fleet.nodes[index].core);
  for (std::size_t other = 0; other < this->fleet.nodes.size(); ++other) {
    if (other != index && this->fleet.nodes[other].core != nullptr) {
      for (const std::string& key :
           BillsHeldBy(*this->fleet.nodes[other].core)) {
        only_here.erase(key);
      }
    }
  }
  this->requests_whose_bill_was_lost.insert(only_here.begin(), only_here.end());
}

auto InvariantChecker::Unbilled() const -> std::set<std::string> {
  std::set<std::string> missing;
  for (const CallerRecord& caller : this->fleet.callers) {
    const std::string key =
        caller.arrival.team.value() + "/" + caller.arrival.key.value();
    if (caller.answered && !this->bill_counts.contains(key)) {
      missing.insert(key);
    }
  }
  return missing;
}

auto InvariantChecker::Stranded() const -> Tokens {
  Tokens stranded = 0;
  for (const auto& [stream, ledger] : this->ledger_by_stream) {
    for (const auto& [id, team] : ledger.teams()) {
      for (const auto& [holder, balance] : team.account.holders()) {
        bool is_running = false;
        for (const VirtualFleet::Node& node : this->fleet.nodes) {
          is_running =
              is_running || (node.core != nullptr &&
                             node.core->settings().incarnation == holder);
        }
        stranded += is_running ? 0 : balance.tokens;
      }
    }
  }
  return stranded;
}

auto InvariantChecker::CheckFinalState() -> bool {
  this->Check();
  this->CheckCallers();
  for (const CallerRecord& caller : this->fleet.callers) {
    if (!caller.done) {
      this->RecordViolation("request " + caller.arrival.key.value() +
                            " never ended");
    }
  }
  for (const VirtualFleet::Node& node : this->fleet.nodes) {
    if (node.core == nullptr) {
      continue;
    }
    for (const wire::LedgerEntry* const entry :
         node.core->outbox()->Entries()) {
      // A holder keeps requesting refills at intervals while the budget is
      // exhausted.
      const bool is_refill = entry->has_grant() && entry->grant().need() == 0;
      if (!is_refill) {
        this->RecordViolation("router " + node.name.value() + " still has " +
                              entry->ShortDebugString());
      }
    }
  }
  for (const std::string& key : this->Unbilled()) {
    if (!this->requests_whose_bill_was_lost.contains(key)) {
      this->RecordViolation(
          "request " + key +
          " is answered and not billed, and its bill was not lost with a "
          "killed router");
    }
  }
  const std::uint64_t newest =
      this->fleet.nodes.front().core->configuration()->version;
  for (const VirtualFleet::Node& node : this->fleet.nodes) {
    if (node.core->configuration()->version != newest) {
      this->RecordViolation(
          "router " + node.name.value() +
          " does not use the first router's configuration version");
    }
  }
  return this->first_violation.empty();
}

}  // namespace auburnloft::testing
