#include "al_budget/keeper/keeper_host.h"

#include <algorithm>
#include <utility>

namespace auburnloft {

KeeperHost::KeeperHost(IncarnationId self,
                       PeerAddress self_address,
                       ActionQueue& actions,
                       KeeperDirectory& directory,
                       const KeeperSettings& settings)
    : self(std::move(self)),
      self_address(std::move(self_address)),
      actions(actions),
      directory(directory),
      settings(settings),
      log_calls(actions) {}

//==============================================================================
// Commands

auto KeeperHost::SetSettings(const KeeperSettings& new_settings) -> void {
  this->settings = new_settings;
}

auto KeeperHost::KeeperOf(PartitionIndex partition) -> PartitionKeeper& {
  std::unique_ptr<PartitionKeeper>& keeper = this->all_keepers[partition];
  if (keeper == nullptr) {
    keeper = std::make_unique<PartitionKeeper>(
        partition, this->self, this->self_address, this->actions,
        this->log_calls, this->settings);
  }
  return *keeper;
}

auto KeeperHost::OnSubmit(Instant now,
                          const PeerAddress& from_address,
                          const wire::Submit& submit,
                          bool may_take_over) -> void {
  PartitionKeeper& keeper = this->KeeperOf(submit.partition());
  if (keeper.role() == PartitionKeeper::Role::kIdle) {
    const KeeperDirectory::KeeperInfo known =
        this->directory.Find(submit.partition())
            .value_or(KeeperDirectory::KeeperInfo{});
    const bool has_other_keeper = !known.keeper.empty() &&
                                  known.keeper != this->self &&
                                  known.epoch > submit.suspected_epoch();
    if (has_other_keeper || !may_take_over) {
      wire::PeerMessage message;
      wire::NotKeeper& not_keeper = *message.mutable_not_keeper();
      not_keeper.set_partition(submit.partition());
      not_keeper.set_epoch(known.epoch);
      not_keeper.set_keeper(known.keeper.value());
      this->actions.Push(SendPeerMessage{from_address, std::move(message)});
      return;
    }
    keeper.TakeOver(now);
  }
  keeper.OnSubmit(now, from_address, submit);
}

auto KeeperHost::OnRecords(Instant now, const LogRecords& records) -> void {
  for (auto& [partition, keeper] : this->all_keepers) {
    keeper->OnRecords(now, records);
  }
}

auto KeeperHost::OnAppended(Instant now, const LogAppended& appended) -> void {
  for (auto& [partition, keeper] : this->all_keepers) {
    keeper->OnAppended(now, appended);
  }
}

auto KeeperHost::OnFailed(Instant now, const LogFailed& failed) -> void {
  for (auto& [partition, keeper] : this->all_keepers) {
    keeper->OnFailed(now, failed);
  }
}

auto KeeperHost::Tick(Instant now) -> void {
  for (auto& [partition, keeper] : this->all_keepers) {
    keeper->Tick(now);
  }
}

auto KeeperHost::OnHoldersExpired(
    Instant now,
    const std::function<bool(const IncarnationId&)>& is_expired) -> void {
  for (auto& [partition, keeper] : this->all_keepers) {
    if (keeper->role() != PartitionKeeper::Role::kKeeping) {
      continue;
    }
    for (const auto& [id, team] : keeper->ledger().teams()) {
      for (const auto& [key, claim] : team.claims.all()) {
        if (claim.state() != wire::OUTCOME_IN_PROGRESS ||
            !is_expired(IncarnationId(claim.holder()))) {
          continue;
        }
        wire::LedgerEntry entry;
        entry.set_entry_id("unknown/" + claim.run_id());
        wire::Outcome& outcome = *entry.mutable_outcome();
        outcome.set_team(id.value());
        outcome.set_request_key(key.value());
        outcome.set_run_id(claim.run_id());
        outcome.set_state(wire::OUTCOME_UNKNOWN);
        keeper->AddOwnEntry(now, std::move(entry));
      }
    }
  }
}

auto KeeperHost::AddEntry(Instant now,
                          PartitionIndex partition,
                          wire::LedgerEntry entry) -> void {
  const auto found = this->all_keepers.find(partition);
  if (found != this->all_keepers.end()) {
    found->second->AddOwnEntry(now, std::move(entry));
  }
}

auto KeeperHost::HandOver(
    std::span<const RouterId> active,
    const std::function<std::optional<PeerAddress>(const RouterId&)>&
        address_of) -> void {
  const RouterId own_name = RouterOf(this->self);
  for (const PartitionIndex partition : this->KeptPartitions()) {
    std::vector<RouterId> candidates =
        KeeperDirectory::RankCandidates(partition, active);
    std::erase(candidates, own_name);
    if (candidates.empty()) {
      continue;
    }
    const std::optional<PeerAddress> address = address_of(candidates.front());
    if (!address) {
      continue;
    }
    wire::PeerMessage message;
    wire::Submit& submit = *message.mutable_submit();
    submit.set_partition(partition);
    submit.set_suspected_epoch(
        this->all_keepers.at(partition)->ledger().epoch());
    this->actions.Push(SendPeerMessage{*address, std::move(message)});
  }
}

//==============================================================================
// Queries

auto KeeperHost::KeptPartitions() const -> std::vector<PartitionIndex> {
  std::vector<PartitionIndex> kept;
  for (const auto& [partition, keeper] : this->all_keepers) {
    if (keeper->role() == PartitionKeeper::Role::kKeeping) {
      kept.push_back(partition);
    }
  }
  return kept;
}

auto KeeperHost::AppendCount() const -> std::uint64_t {
  std::uint64_t count = 0;
  for (const auto& [partition, keeper] : this->all_keepers) {
    count += keeper->appends();
  }
  return count;
}

}  // namespace auburnloft
