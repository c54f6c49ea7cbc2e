#include "al_router/core/router_core.h"

#include <algorithm>
#include <utility>

#include "al_core/text/digest.h"

namespace auburnloft {

namespace {

/** Interval at which the router looks for expired incarnations that still hold
 * tokens or claims.
 */
constexpr Duration kExpiryCheckInterval = std::chrono::seconds(2);

/** Interval at which the witnesses are chosen again, without routers that have
 * become silent. */
constexpr Duration kWitnessChoiceInterval = std::chrono::milliseconds(500);

/** Interval at which a draining router repeats the request to take over its
 * partitions.
 */
constexpr Duration kHandoverInterval = std::chrono::seconds(2);

/** A router is chosen as a witness only if it sent a message within this time.
 */
constexpr Duration kWitnessFreshness = std::chrono::milliseconds(2500);

/** Time that a draining router has, after it stops accepting requests, to
 * record its tokens and bills. During an outage of the log service it cannot
 * record them, and exits after this time. */
constexpr Duration kDrainTimeout = std::chrono::seconds(30);

/** Maximum number of rounds in which one event delivers the messages that the
 * router sends to itself. */
constexpr int kMaxSelfDeliveries = 16;

auto PolicyOf(const AllowanceSettings& settings) -> AnyAllowancePolicy {
  switch (settings.policy) {
    case AllowancePolicyKind::kFixedChunk:
      return FixedChunkPolicy(settings.chunk);
    case AllowancePolicyKind::kFixedSplit:
      return FixedSplitPolicy();
    case AllowancePolicyKind::kDemandLed:
      break;
  }
  return DemandLedPolicy(settings.cover, settings.transfers);
}

auto KeeperSettingsOf(const Defaults& defaults, std::size_t routers)
    -> KeeperSettings {
  KeeperSettings settings;
  settings.commit_interval = Duration(std::chrono::seconds(1)) *
                             defaults.ledger.partitions /
                             defaults.ledger.appends_per_second;
  settings.snapshot_every = defaults.ledger.snapshot_every;
  settings.policy = PolicyOf(defaults.allowance);
  settings.routers = routers;
  return settings;
}

}  // namespace

RouterCore::LedgerComponents::LedgerComponents(RouterCore& core,
                                               PartitionIndex partition_count)
    : partitions(partition_count),
      witness(partitions,
              core.queue,
              core.entry_outbox,
              [&core] { return core.witness_address; }),
      draw_limits(core.queue,
                  [&core](const IncarnationId& id) {
                    return core.fleet.AddressOf(RouterOf(id));
                  }),
      budget(
          core.own_settings.incarnation,
          partitions,
          DemandLedPolicy(AllowanceSettings{}.cover, true),
          core.entry_outbox,
          core.transfers,
          witness,
          draw_limits,
          [&core] { return core.witness_candidates(); },
          [&core](const TeamId& team) { return core.LikelyHolders(team); }),
      request_manager(core.own_settings.incarnation,
                      partitions,
                      core.queue,
                      budget,
                      core.entry_outbox,
                      witness,
                      core.upstreams),
      reclaim(core.queue, core.host, [&core](const IncarnationId& id) {
        return core.fleet.AddressOf(RouterOf(id));
      }) {}

RouterCore::RouterCore(RouterSettings settings)
    : own_settings(std::move(settings)),
      random(own_settings.seed),
      fleet(own_settings.incarnation, own_settings.vm),
      config(queue, random),
      upstreams(own_settings.name, own_settings.vm.domain, random),
      host(own_settings.incarnation,
           own_settings.vm.peer_address,
           queue,
           keeper_directory,
           KeeperSettings{}),
      announcer(own_settings.incarnation,
                queue,
                fleet,
                keeper_directory,
                config),
      transfers(own_settings.incarnation,
                queue,
                [this](const RouterId& router) {
                  return this->fleet.AddressOf(router);
                }) {}

//==============================================================================
// Callers and upstreams

auto RouterCore::OnRequest(Instant now,
                           RequestHandle handle,
                           IncomingRequest incoming) -> void {
  if (this->ledger_components == nullptr || !this->AcceptsRequests(now)) {
    const RefusalCode code = this->ledger_components == nullptr
                                 ? RefusalCode::kNotReady
                                 : RefusalCode::kDraining;
    this->queue.Push(RefuseRequest{
        handle,
        {code, ExecutionState::kNotExecuted,
         "this router takes no requests now; ask for other addresses",
         std::chrono::seconds(1)}});
    return;
  }
  this->ledger_components->request_manager.OnRequest(now, handle,
                                                     std::move(incoming));
  this->ProcessActions(now);
}

auto RouterCore::OnUpstreamCompleted(Instant now, const UpstreamCompleted& done)
    -> void {
  this->ledger_components->request_manager.OnDone(now, done);
  this->ProcessActions(now);
}

auto RouterCore::OnUpstreamFailed(Instant now, const UpstreamFailed& failed)
    -> void {
  this->ledger_components->request_manager.OnFailed(now, failed);
  this->ProcessActions(now);
}

auto RouterCore::OnCallerDisconnected(Instant now,
                                      const CallerDisconnected& disconnected)
    -> void {
  if (this->ledger_components != nullptr) {
    this->ledger_components->request_manager.OnCallerDisconnected(now,
                                                                  disconnected);
    this->ProcessActions(now);
  }
}

auto RouterCore::OnLoadReport(Instant now,
                              const UpstreamId& upstream,
                              const LoadReport& report) -> void {
  this->upstreams.RecordLoadReport(now, upstream, report);
}

auto RouterCore::OnCacheEvent(const UpstreamId& upstream,
                              std::span<const PrefixDigest> cached,
                              std::span<const PrefixDigest> dropped) -> void {
  this->upstreams.RecordCached(upstream, cached);
  for (const PrefixDigest digest : dropped) {
    this->upstreams.RecordEvicted(upstream, digest);
  }
}

//==============================================================================
// Peers

auto RouterCore::OnPeer(Instant now, const wire::PeerMessage& message) -> void {
  const IncarnationId from(message.from());
  const PeerAddress from_address(message.from_address());
  if (from != this->own_settings.incarnation) {
    this->announcer.RecordContact(now, from);
  }
  switch (message.body_case()) {
    case wire::PeerMessage::kHeartbeat:
      this->announcer.OnHeartbeat(now, from, from_address, message.heartbeat());
      break;
    case wire::PeerMessage::kConfigPull:
      this->config.OnPull(from_address, message.config_pull());
      break;
    case wire::PeerMessage::kConfigPush:
      this->config.OnPush(message.config_push());
      this->ApplyConfiguration();
      break;
    case wire::PeerMessage::kSubmit:
      this->host.OnSubmit(now, from_address, message.submit(),
                          !this->IsDraining());
      break;
    default:
      this->OnLedgerMessage(now, message);
      break;
  }
  this->ProcessActions(now);
}

auto RouterCore::OnLedgerMessage(Instant now, const wire::PeerMessage& message)
    -> void {
  if (this->ledger_components == nullptr) {
    return;
  }
  const IncarnationId from(message.from());
  const PeerAddress from_address(message.from_address());
  switch (message.body_case()) {
    case wire::PeerMessage::kVerdicts:
      this->OnVerdicts(now, from, message.verdicts());
      break;
    case wire::PeerMessage::kNotKeeper:
      this->OnNotKeeper(now, message.not_keeper());
      break;
    case wire::PeerMessage::kTransferAsk:
      this->ledger_components->budget.OnTransferAsk(now, from, from_address,
                                                    message.transfer_ask());
      break;
    case wire::PeerMessage::kTransferGive:
      this->ledger_components->budget.OnTransferGive(now, from, from_address,
                                                     message.transfer_give());
      break;
    case wire::PeerMessage::kTransferAck:
      this->transfers.OnAck(message.transfer_ack());
      break;
    case wire::PeerMessage::kEntryNote:
      this->ledger_components->witness.OnNote(now, from, from_address,
                                              message.entry_note());
      break;
    case wire::PeerMessage::kEntryNoteAck:
      this->ledger_components->witness.OnAck(message.entry_note_ack());
      break;
    case wire::PeerMessage::kEntryNoteDone:
      this->ledger_components->witness.OnDone(from, message.entry_note_done());
      break;
    case wire::PeerMessage::kDrawNote:
      this->ledger_components->draw_limits.OnNote(from, from_address,
                                                  message.draw_note());
      break;
    case wire::PeerMessage::kDrawAck:
      this->ledger_components->budget.OnDrawAck(now, message.draw_ack());
      break;
    case wire::PeerMessage::kDrawAsk:
      this->ledger_components->draw_limits.OnAsk(from_address,
                                                 message.draw_ask());
      break;
    case wire::PeerMessage::kDrawReply:
      this->ledger_components->reclaim.OnReply(now, from, message.draw_reply());
      break;
    default:
      break;
  }
}

auto RouterCore::OnVerdicts(Instant now,
                            const IncarnationId& from,
                            const wire::Verdicts& verdicts) -> void {
  const PartitionIndex partition = verdicts.partition();
  this->keeper_directory.RecordReply(partition, verdicts.stalled());
  if (!verdicts.stalled()) {
    this->announcer.RecordKeeper(partition, from, verdicts.epoch());
  }
  for (const wire::EntryVerdict& verdict : verdicts.verdicts()) {
    const std::optional<wire::LedgerEntry> entry =
        this->entry_outbox.Remove(verdict.entry_id());
    if (!entry) {
      continue;
    }
    const bool is_final = verdict.verdict() != wire::VERDICT_INSUFFICIENT;
    if (is_final) {
      this->ledger_components->witness.OnRecorded(entry->entry_id());
    }
    if (entry->has_claim() || entry->has_outcome()) {
      this->ledger_components->request_manager.OnVerdict(now, *entry, verdict);
    } else {
      this->ledger_components->budget.OnVerdict(now, *entry, verdict);
    }
  }
  this->entry_outbox.RecordReply(now, partition, !verdicts.verdicts().empty());
}

auto RouterCore::OnNotKeeper(Instant now, const wire::NotKeeper& not_keeper)
    -> void {
  const IncarnationId keeper(not_keeper.keeper());
  const KeeperDirectory::KeeperInfo before =
      this->keeper_directory.Find(not_keeper.partition())
          .value_or(KeeperDirectory::KeeperInfo{});
  this->announcer.RecordKeeper(not_keeper.partition(), keeper,
                               not_keeper.epoch());
  if (not_keeper.epoch() > before.epoch) {
    this->entry_outbox.ResendNow(now, not_keeper.partition());
  }
}

//==============================================================================
// The platform

auto RouterCore::OnLogRecords(Instant now, const LogRecords& records) -> void {
  const std::optional<StreamId> stream = this->host.log().Close(records.tag);
  if (!stream) {
    return;
  }
  if (*stream == ConfigFollower::Stream()) {
    this->config.OnRecords(now, records);
    this->ApplyConfiguration();
  } else {
    this->host.OnRecords(now, records);
    this->AnnounceKeepers();
  }
  this->ProcessActions(now);
}

auto RouterCore::OnLogAppended(Instant now, const LogAppended& appended)
    -> void {
  if (this->host.log().Close(appended.tag)) {
    this->host.OnAppended(now, appended);
    this->AnnounceKeepers();
    this->ProcessActions(now);
  }
}

auto RouterCore::OnLogFailed(Instant now, const LogFailed& failed) -> void {
  const std::optional<StreamId> stream = this->host.log().Close(failed.tag);
  if (!stream) {
    return;
  }
  if (*stream == ConfigFollower::Stream()) {
    this->config.OnFailed(now, failed);
  } else {
    this->host.OnFailed(now, failed);
  }
}

auto RouterCore::OnVmList(Instant now, const VmList& list) -> void {
  for (const RouterId& expired : this->fleet.OnVmList(now, list)) {
    this->announcer.AnnounceExpired(expired);
  }
  this->upstreams.SetLeaving(now, [this](const UpstreamId& upstream) {
    return this->fleet.IsUpstreamLeaving(upstream);
  });
  if (this->fleet.IsSelfLeaving()) {
    this->BeginDrain(now);
  }
  this->ApplyConfiguration();
}

auto RouterCore::ApplyConfiguration() -> void {
  const Configuration* const current = this->config.configuration();
  const std::vector<RouterId> active = this->fleet.ActiveRouters();
  const bool is_applied = current != nullptr &&
                          current->version == this->applied_version &&
                          active == this->applied_routers;
  if (current == nullptr || is_applied) {
    return;
  }
  this->applied_version = current->version;
  this->applied_routers = active;
  if (this->ledger_components == nullptr) {
    this->ledger_components = std::make_unique<LedgerComponents>(
        *this, current->defaults.ledger.partitions);
  }
  this->host.SetSettings(
      KeeperSettingsOf(current->defaults, this->fleet.routers().size()));
  this->upstreams.SetConfiguration(*current, active);
  this->ledger_components->budget.SetPolicy(
      PolicyOf(current->defaults.allowance),
      current->defaults.allowance.reclaim);
  this->ledger_components->request_manager.SetRetry(current->defaults.retry);
}

//==============================================================================
// Time

auto RouterCore::Tick(Instant now) -> void {
  this->TickConfig(now);
  this->TickOutbox(now);
  this->ChooseWitness(now);
  this->host.Tick(now);
  if (this->ledger_components != nullptr) {
    this->ledger_components->budget.Tick(now);
    this->ledger_components->request_manager.Tick(now);
    this->ledger_components->witness.Tick(now);
    this->ledger_components->draw_limits.Tick(now);
    this->HandleExpiredIncarnations(now);
    this->TickDrain(now);
  }
  this->transfers.Tick(now);
  const std::size_t open =
      this->ledger_components == nullptr
          ? 0
          : this->ledger_components->request_manager.open();
  this->announcer.Tick(now, static_cast<std::uint32_t>(open),
                       this->IsDraining());
  this->ProcessActions(now);
}

auto RouterCore::TickConfig(Instant now) -> void {
  LogCallTracker& log = this->host.log();
  const auto may_snapshot = [this] {
    const std::vector<RouterId> active = this->fleet.ActiveRouters();
    return !active.empty() &&
           KeeperDirectory::RankCandidates(0, active).front() ==
               this->own_settings.name;
  };
  this->config.Tick(
      now, may_snapshot,
      [&](LogOffset from) { return log.Read(ConfigFollower::Stream(), from); },
      [&](std::string bytes) {
        log.Append(ConfigFollower::Stream(), std::move(bytes));
      });
}

auto RouterCore::ChooseWitness(Instant now) -> void {
  if (now < this->next_witness_choice) {
    return;
  }
  this->next_witness_choice = now + kWitnessChoiceInterval;
  const Membership::Router* same_domain = nullptr;
  const Membership::Router* other_domain = nullptr;
  for (const auto& [name, router] : this->fleet.routers()) {
    const bool is_fresh = now < router.last_contact + kWitnessFreshness;
    if (name == this->own_settings.name || router.incarnation.empty() ||
        !is_fresh || router.draining) {
      continue;
    }
    const auto weight = [this](const Membership::Router& item) {
      return StableHash(this->own_settings.name.value(), item.vm.name);
    };
    const bool is_other_domain =
        router.vm.domain != this->own_settings.vm.domain;
    const Membership::Router*& best =
        is_other_domain ? other_domain : same_domain;
    if (best == nullptr || weight(router) > weight(*best)) {
      best = &router;
    }
  }
  this->witness_address.reset();
  this->witness_ids.clear();
  for (const Membership::Router* const router : {other_domain, same_domain}) {
    if (router == nullptr) {
      continue;
    }
    if (!this->witness_address) {
      this->witness_address = router->vm.peer_address;
    }
    this->witness_ids.push_back(router->incarnation);
  }
}

auto RouterCore::witness_candidates() const -> std::vector<IncarnationId> {
  return this->witness_ids;
}

auto RouterCore::AnnounceKeepers() -> void {
  for (const auto& [partition, keeper] : this->host.keepers()) {
    const PartitionLedger& ledger = keeper->ledger();
    if (ledger.ready() && ledger.epoch() > 0) {
      this->announcer.RecordKeeper(partition, ledger.keeper(), ledger.epoch());
    }
  }
}

auto RouterCore::HandleExpiredIncarnations(Instant now) -> void {
  if (now < this->next_expiry_check) {
    return;
  }
  this->next_expiry_check = now + kExpiryCheckInterval;
  const auto is_expired = [this](const IncarnationId& incarnation) {
    return this->fleet.IsExpired(incarnation);
  };
  this->ledger_components->witness.OnHolderExpired(now, is_expired);
  this->host.OnHoldersExpired(now, is_expired);
  this->ledger_components->reclaim.QueryWitnesses(is_expired);
}

auto RouterCore::TickDrain(Instant now) -> void {
  if (!this->IsDraining()) {
    return;
  }
  if (now >= this->next_handover) {
    this->next_handover = now + kHandoverInterval;
    this->host.HandOver(
        this->fleet.ActiveRouters(),
        [this](const RouterId& name) { return this->fleet.AddressOf(name); });
  }
  if (!this->AcceptsRequests(now) &&
      this->ledger_components->request_manager.open() == 0) {
    this->ledger_components->budget.ReturnAll(now);
  }
}

auto RouterCore::BeginDrain(Instant now) -> void {
  if (this->IsDraining()) {
    return;
  }
  this->drain_start = now;
  this->announcer.AnnounceDraining();
}

auto RouterCore::TickOutbox(Instant now) -> void {
  if (this->entry_outbox.size() == 0) {
    return;
  }
  const std::vector<RouterId> active = this->fleet.ActiveRouters();
  for (const PartitionIndex partition : this->entry_outbox.Partitions()) {
    const RouterId last_target = this->keeper_directory.LastTarget(partition);
    const std::optional<KeeperTarget> target =
        this->keeper_directory.SelectTarget(now, partition, active);
    if (!last_target.empty() && target && target->router != last_target) {
      this->entry_outbox.ResendNow(now, partition);
    }
  }
}

auto RouterCore::SendOutbox(Instant now) -> void {
  std::vector<EntryOutbox::DueBatch> due = this->entry_outbox.TakeDue(now);
  if (due.empty()) {
    return;
  }
  const std::vector<RouterId> active = this->fleet.ActiveRouters();
  for (EntryOutbox::DueBatch& batch : due) {
    const std::optional<KeeperTarget> target =
        this->keeper_directory.SelectTarget(now, batch.partition, active);
    const std::optional<PeerAddress> address =
        target ? this->fleet.AddressOf(target->router) : std::nullopt;
    if (!address) {
      continue;
    }
    wire::PeerMessage message;
    wire::Submit& submit = *message.mutable_submit();
    submit.set_partition(batch.partition);
    submit.set_suspected_epoch(target->suspected_epoch);
    for (wire::LedgerEntry& entry : batch.entries) {
      *submit.add_entries() = std::move(entry);
    }
    this->keeper_directory.RecordSend(now, batch.partition, *target);
    this->queue.Push(SendPeerMessage{*address, std::move(message)});
  }
}

auto RouterCore::ProcessActions(Instant now) -> void {
  for (int round = 0; round < kMaxSelfDeliveries; ++round) {
    if (this->ledger_components != nullptr) {
      this->ledger_components->request_manager.Advance(now);
    }
    this->SendOutbox(now);
    if (this->queue.empty()) {
      return;
    }
    this->DeliverActions(now);
  }
}

auto RouterCore::SetSender(wire::PeerMessage& message) const -> void {
  message.set_from(this->own_settings.incarnation.value());
  message.set_from_address(this->own_settings.vm.peer_address.value());
}

auto RouterCore::DeliverActions(Instant now) -> void {
  std::vector<wire::PeerMessage> local_messages;
  for (Action& action : this->queue.Take()) {
    SendPeerMessage* const send = std::get_if<SendPeerMessage>(&action);
    if (send == nullptr) {
      this->external_actions.push_back(std::move(action));
      continue;
    }
    this->SetSender(send->message);
    if (send->to == this->own_settings.vm.peer_address) {
      local_messages.push_back(std::move(send->message));
    } else {
      this->external_actions.push_back(std::move(action));
    }
  }
  for (const wire::PeerMessage& message : local_messages) {
    if (message.has_submit()) {
      this->host.OnSubmit(now, this->own_settings.vm.peer_address,
                          message.submit(), !this->IsDraining());
    } else {
      this->OnLedgerMessage(now, message);
    }
  }
}

auto RouterCore::TakeActions() -> std::vector<Action> {
  for (Action& action : this->queue.Take()) {
    if (SendPeerMessage* const send = std::get_if<SendPeerMessage>(&action)) {
      this->SetSender(send->message);
    }
    this->external_actions.push_back(std::move(action));
  }
  return std::exchange(this->external_actions, {});
}

//==============================================================================
// Queries

auto RouterCore::request_manager() const -> const RequestManager* {
  return this->ledger_components == nullptr
             ? nullptr
             : &this->ledger_components->request_manager;
}

auto RouterCore::budget() const -> const BudgetCoordinator* {
  return this->ledger_components == nullptr ? nullptr
                                            : &this->ledger_components->budget;
}

auto RouterCore::witness() const -> const WitnessManager* {
  return this->ledger_components == nullptr ? nullptr
                                            : &this->ledger_components->witness;
}

auto RouterCore::AcceptsRequests(Instant now) const -> bool {
  if (!this->drain_start) {
    return true;
  }
  const Configuration* const current = this->config.configuration();
  const Duration hold =
      current == nullptr ? Duration{0} : current->defaults.entries.hold;
  return now < *this->drain_start + hold;
}

auto RouterCore::IsDrained(Instant now) const -> bool {
  if (!this->IsDraining() || this->AcceptsRequests(now)) {
    return false;
  }
  if (this->ledger_components == nullptr) {
    return true;
  }
  const bool has_tokens = std::ranges::any_of(
      this->ledger_components->budget.allowance_table().teams(),
      [](const auto& item) { return item.second.free > 0; });
  const bool has_no_open_work = this->entry_outbox.size() == 0 && !has_tokens &&
                                this->transfers.open_transfers() == 0;
  const Configuration* const current = this->config.configuration();
  const bool waited_enough = now >= *this->drain_start +
                                        current->defaults.entries.hold +
                                        kDrainTimeout;
  return this->ledger_components->request_manager.open() == 0 &&
         (has_no_open_work || waited_enough);
}

auto RouterCore::LikelyHolders(const TeamId& team) const
    -> std::vector<RouterId> {
  std::vector<RouterId> holders;
  for (const Vm& vm :
       SelectEntryRouters(team, this->fleet, this->fleet.routers().size())) {
    holders.emplace_back(vm.name);
  }
  return holders;
}

}  // namespace auburnloft
