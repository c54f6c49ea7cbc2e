#include "al_router/core/router_core.h"

#include <algorithm>
#include <utility>

#include "al_core/text/digest.h"

namespace auburnloft {

namespace {

/** How often dead holders are looked for in the ledgers that this router keeps.
 */
constexpr Duration kDeadCheckInterval = std::chrono::seconds(2);

/** How often a witness is chosen anew, and one that has fallen silent is given
 * up. */
constexpr Duration kWitnessChoiceInterval = std::chrono::milliseconds(500);

/** A draining router asks again this often that its partitions be taken over.
 */
constexpr Duration kHandOverInterval = std::chrono::seconds(2);

/** A witness has spoken within this time. */
constexpr Duration kWitnessFreshness = std::chrono::milliseconds(2500);

/** A draining router that cannot record what it holds, as in an outage of the
   log, waits this long for it beyond its last request. */
constexpr Duration kDrainPatience = std::chrono::seconds(30);

/** Messages that a router sends itself are delivered in at most this many turns
 * of one event. */
constexpr int kMostSelfDeliveries = 16;

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

RouterCore::Ledgered::Ledgered(RouterCore& core, PartitionIndex partition_count)
    : partitions(partition_count),
      witness(partitions,
              core.queue,
              core.entries,
              [&core] { return core.witness_address; }),
      draw_limits(core.queue,
                  [&core](const IncarnationId& id) {
                    return core.fleet.AddressOf(RouterOf(id));
                  }),
      budget(
          core.own.incarnation,
          partitions,
          DemandLedPolicy(AllowanceSettings{}.cover, true),
          core.entries,
          core.transfers,
          witness,
          draw_limits,
          [&core] { return core.ChooseWitnesses(); },
          [&core](const TeamId& team) { return core.LikelyHolders(team); }),
      request_manager(core.own.incarnation,
                      partitions,
                      core.queue,
                      budget,
                      core.entries,
                      witness,
                      core.upstreams),
      reclaim(core.queue, core.host, [&core](const IncarnationId& id) {
        return core.fleet.AddressOf(RouterOf(id));
      }) {}

RouterCore::RouterCore(RouterSettings settings)
    : own(std::move(settings)),
      random(own.seed),
      fleet(own.incarnation, own.vm),
      config(queue, random),
      upstreams(own.name, own.vm.domain, random),
      host(own.incarnation,
           own.vm.peer_address,
           queue,
           keeper_directory,
           KeeperSettings{}),
      announcer(own.incarnation, queue, fleet, keeper_directory, config),
      transfers(own.incarnation, queue, [this](const RouterId& router) {
        return this->fleet.AddressOf(router);
      }) {}

//==============================================================================
// Callers and upstreams

auto RouterCore::OnRequest(Instant now,
                           RequestHandle handle,
                           IncomingRequest incoming) -> void {
  if (this->ledgered == nullptr || !this->AcceptsRequests(now)) {
    const RefusalCode code = this->ledgered == nullptr ? RefusalCode::kNotReady
                                                       : RefusalCode::kDraining;
    this->queue.Push(RefuseRequest{
        handle,
        {code, ExecutionState::kNotExecuted,
         "this router takes no requests now; ask for other addresses",
         std::chrono::seconds(1)}});
    return;
  }
  this->ledgered->request_manager.OnRequest(now, handle, std::move(incoming));
  this->Settle(now);
}

auto RouterCore::OnUpstreamCompleted(Instant now, const UpstreamCompleted& done)
    -> void {
  this->ledgered->request_manager.OnDone(now, done);
  this->Settle(now);
}

auto RouterCore::OnUpstreamFailed(Instant now, const UpstreamFailed& failed)
    -> void {
  this->ledgered->request_manager.OnFailed(now, failed);
  this->Settle(now);
}

auto RouterCore::OnCallerDisconnected(Instant now,
                                      const CallerDisconnected& gone) -> void {
  if (this->ledgered != nullptr) {
    this->ledgered->request_manager.OnCallerDisconnected(now, gone);
    this->Settle(now);
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
  if (from != this->own.incarnation) {
    this->announcer.OnHeard(now, from);
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
  this->Settle(now);
}

auto RouterCore::OnLedgerMessage(Instant now, const wire::PeerMessage& message)
    -> void {
  if (this->ledgered == nullptr) {
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
      this->ledgered->budget.OnTransferAsk(now, from, from_address,
                                           message.transfer_ask());
      break;
    case wire::PeerMessage::kTransferGive:
      this->ledgered->budget.OnTransferGive(now, from, from_address,
                                            message.transfer_give());
      break;
    case wire::PeerMessage::kTransferAck:
      this->transfers.OnAck(message.transfer_ack());
      break;
    case wire::PeerMessage::kEntryNote:
      this->ledgered->witness.OnNote(now, from, from_address,
                                     message.entry_note());
      break;
    case wire::PeerMessage::kEntryNoteAck:
      this->ledgered->witness.OnAck(message.entry_note_ack());
      break;
    case wire::PeerMessage::kEntryNoteDone:
      this->ledgered->witness.OnDone(from, message.entry_note_done());
      break;
    case wire::PeerMessage::kDrawNote:
      this->ledgered->draw_limits.OnNote(from, from_address,
                                         message.draw_note());
      break;
    case wire::PeerMessage::kDrawAck:
      this->ledgered->budget.OnDrawAck(now, message.draw_ack());
      break;
    case wire::PeerMessage::kDrawAsk:
      this->ledgered->draw_limits.OnAsk(from_address, message.draw_ask());
      break;
    case wire::PeerMessage::kDrawReply:
      this->ledgered->reclaim.OnReply(now, from, message.draw_reply());
      break;
    default:
      break;
  }
}

auto RouterCore::OnVerdicts(Instant now,
                            const IncarnationId& from,
                            const wire::Verdicts& verdicts) -> void {
  const PartitionIndex partition = verdicts.partition();
  this->keeper_directory.NoteAnswer(partition, verdicts.stalled());
  if (!verdicts.stalled()) {
    this->announcer.RecordKeeper(partition, from, verdicts.epoch());
  }
  for (const wire::EntryVerdict& verdict : verdicts.verdicts()) {
    const std::optional<wire::LedgerEntry> entry =
        this->entries.Remove(verdict.entry_id());
    if (!entry) {
      continue;
    }
    const bool is_final = verdict.verdict() != wire::VERDICT_INSUFFICIENT;
    if (is_final) {
      this->ledgered->witness.OnRecorded(entry->entry_id());
    }
    if (entry->has_claim() || entry->has_outcome()) {
      this->ledgered->request_manager.OnVerdict(now, *entry, verdict);
    } else {
      this->ledgered->budget.OnVerdict(now, *entry, verdict);
    }
  }
  this->entries.NoteAnswer(now, partition, !verdicts.verdicts().empty());
}

auto RouterCore::OnNotKeeper(Instant now, const wire::NotKeeper& not_keeper)
    -> void {
  const IncarnationId keeper(not_keeper.keeper());
  const KeeperDirectory::Known before =
      this->keeper_directory.Find(not_keeper.partition())
          .value_or(KeeperDirectory::Known{});
  this->announcer.RecordKeeper(not_keeper.partition(), keeper,
                               not_keeper.epoch());
  if (not_keeper.epoch() > before.epoch) {
    this->entries.ResendNow(now, not_keeper.partition());
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
    this->PublishKeepers();
  }
  this->Settle(now);
}

auto RouterCore::OnLogAppended(Instant now, const LogAppended& appended)
    -> void {
  if (this->host.log().Close(appended.tag)) {
    this->host.OnAppended(now, appended);
    this->PublishKeepers();
    this->Settle(now);
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
  for (const RouterId& gone : this->fleet.OnVmList(now, list)) {
    this->announcer.AnnounceExpired(gone);
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
  const std::vector<RouterId> live = this->fleet.Live();
  const bool is_applied = current != nullptr &&
                          current->version == this->applied_version &&
                          live == this->applied_routers;
  if (current == nullptr || is_applied) {
    return;
  }
  this->applied_version = current->version;
  this->applied_routers = live;
  if (this->ledgered == nullptr) {
    this->ledgered =
        std::make_unique<Ledgered>(*this, current->defaults.ledger.partitions);
  }
  this->host.SetSettings(
      KeeperSettingsOf(current->defaults, this->fleet.routers().size()));
  this->upstreams.SetConfiguration(*current, live);
  this->ledgered->budget.SetPolicy(PolicyOf(current->defaults.allowance),
                                   current->defaults.allowance.reclaim);
  this->ledgered->request_manager.SetRetry(current->defaults.retry);
}

//==============================================================================
// Time

auto RouterCore::Tick(Instant now) -> void {
  this->TickConfig(now);
  this->TickOutbox(now);
  this->ChooseWitness(now);
  this->host.Tick(now);
  if (this->ledgered != nullptr) {
    this->ledgered->budget.Tick(now);
    this->ledgered->request_manager.Tick(now);
    this->ledgered->witness.Tick(now);
    this->ledgered->draw_limits.Tick(now);
    this->TickDead(now);
    this->TickDrain(now);
  }
  this->transfers.Tick(now);
  const std::size_t open =
      this->ledgered == nullptr ? 0 : this->ledgered->request_manager.open();
  this->announcer.Tick(now, static_cast<std::uint32_t>(open),
                       this->IsDraining());
  this->Settle(now);
}

auto RouterCore::TickConfig(Instant now) -> void {
  LogPort& log = this->host.log();
  const auto may_snapshot = [this] {
    const std::vector<RouterId> live = this->fleet.Live();
    return !live.empty() &&
           KeeperDirectory::Rank(0, live).front() == this->own.name;
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
  const Membership::Router* near = nullptr;
  const Membership::Router* far = nullptr;
  for (const auto& [name, router] : this->fleet.routers()) {
    const bool is_fresh = now < router.last_heard + kWitnessFreshness;
    if (name == this->own.name || router.incarnation.empty() || !is_fresh ||
        router.draining) {
      continue;
    }
    const auto weight = [this](const Membership::Router& item) {
      return StableHash(this->own.name.value(), item.vm.name);
    };
    const bool is_far = router.vm.domain != this->own.vm.domain;
    const Membership::Router*& best = is_far ? far : near;
    if (best == nullptr || weight(router) > weight(*best)) {
      best = &router;
    }
  }
  this->witness_address.reset();
  this->witness_ids.clear();
  for (const Membership::Router* const router : {far, near}) {
    if (router == nullptr) {
      continue;
    }
    if (!this->witness_address) {
      this->witness_address = router->vm.peer_address;
    }
    this->witness_ids.push_back(router->incarnation);
  }
}

auto RouterCore::ChooseWitnesses() const -> std::vector<IncarnationId> {
  return this->witness_ids;
}

auto RouterCore::PublishKeepers() -> void {
  for (const auto& [partition, keeper] : this->host.keepers()) {
    const PartitionLedger& ledger = keeper->ledger();
    if (ledger.ready() && ledger.epoch() > 0) {
      this->announcer.RecordKeeper(partition, ledger.keeper(), ledger.epoch());
    }
  }
}

auto RouterCore::TickDead(Instant now) -> void {
  if (now < this->next_dead_check) {
    return;
  }
  this->next_dead_check = now + kDeadCheckInterval;
  const auto is_dead = [this](const IncarnationId& incarnation) {
    return this->fleet.IsDead(incarnation);
  };
  this->ledgered->witness.OnHolderDead(now, is_dead);
  this->host.OnHoldersDead(now, is_dead);
  this->ledgered->reclaim.Look(is_dead);
}

auto RouterCore::TickDrain(Instant now) -> void {
  if (!this->IsDraining()) {
    return;
  }
  if (now >= this->next_hand_over) {
    this->next_hand_over = now + kHandOverInterval;
    this->host.HandOver(this->fleet.Live(), [this](const RouterId& name) {
      return this->fleet.AddressOf(name);
    });
  }
  if (!this->AcceptsRequests(now) &&
      this->ledgered->request_manager.open() == 0) {
    this->ledgered->budget.ReturnAll(now);
  }
}

auto RouterCore::BeginDrain(Instant now) -> void {
  if (this->IsDraining()) {
    return;
  }
  this->drain_began = now;
  this->announcer.AnnounceDraining();
}

auto RouterCore::TickOutbox(Instant now) -> void {
  if (this->entries.size() == 0) {
    return;
  }
  const std::vector<RouterId> live = this->fleet.Live();
  for (const PartitionIndex partition : this->entries.Partitions()) {
    const RouterId asked = this->keeper_directory.LastTarget(partition);
    const std::optional<KeeperTarget> target =
        this->keeper_directory.Target(now, partition, live);
    if (!asked.empty() && target && target->router != asked) {
      this->entries.ResendNow(now, partition);
    }
  }
}

auto RouterCore::SendOutbox(Instant now) -> void {
  std::vector<EntryOutbox::DueBatch> due = this->entries.TakeDue(now);
  if (due.empty()) {
    return;
  }
  const std::vector<RouterId> live = this->fleet.Live();
  for (EntryOutbox::DueBatch& batch : due) {
    const std::optional<KeeperTarget> target =
        this->keeper_directory.Target(now, batch.partition, live);
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
    this->keeper_directory.NoteSent(now, batch.partition, *target);
    this->queue.Push(SendPeerMessage{*address, std::move(message)});
  }
}

auto RouterCore::Settle(Instant now) -> void {
  for (int turn = 0; turn < kMostSelfDeliveries; ++turn) {
    if (this->ledgered != nullptr) {
      this->ledgered->request_manager.Advance(now);
    }
    this->SendOutbox(now);
    if (this->queue.empty()) {
      return;
    }
    this->Deliver(now);
  }
}

auto RouterCore::Sign(wire::PeerMessage& message) const -> void {
  message.set_from(this->own.incarnation.value());
  message.set_from_address(this->own.vm.peer_address.value());
}

auto RouterCore::Deliver(Instant now) -> void {
  std::vector<wire::PeerMessage> to_self;
  for (Action& action : this->queue.Take()) {
    SendPeerMessage* const send = std::get_if<SendPeerMessage>(&action);
    if (send == nullptr) {
      this->ready.push_back(std::move(action));
      continue;
    }
    this->Sign(send->message);
    if (send->to == this->own.vm.peer_address) {
      to_self.push_back(std::move(send->message));
    } else {
      this->ready.push_back(std::move(action));
    }
  }
  for (const wire::PeerMessage& message : to_self) {
    if (message.has_submit()) {
      this->host.OnSubmit(now, this->own.vm.peer_address, message.submit(),
                          !this->IsDraining());
    } else {
      this->OnLedgerMessage(now, message);
    }
  }
}

auto RouterCore::TakeActions() -> std::vector<Action> {
  for (Action& action : this->queue.Take()) {
    if (SendPeerMessage* const send = std::get_if<SendPeerMessage>(&action)) {
      this->Sign(send->message);
    }
    this->ready.push_back(std::move(action));
  }
  return std::exchange(this->ready, {});
}

//==============================================================================
// Queries

auto RouterCore::request_manager() const -> const RequestManager* {
  return this->ledgered == nullptr ? nullptr : &this->ledgered->request_manager;
}

auto RouterCore::budget() const -> const BudgetCoordinator* {
  return this->ledgered == nullptr ? nullptr : &this->ledgered->budget;
}

auto RouterCore::witness() const -> const WitnessDesk* {
  return this->ledgered == nullptr ? nullptr : &this->ledgered->witness;
}

auto RouterCore::AcceptsRequests(Instant now) const -> bool {
  if (!this->drain_began) {
    return true;
  }
  const Configuration* const current = this->config.configuration();
  const Duration hold =
      current == nullptr ? Duration{0} : current->defaults.entries.hold;
  return now < *this->drain_began + hold;
}

auto RouterCore::IsDrained(Instant now) const -> bool {
  if (!this->IsDraining() || this->AcceptsRequests(now)) {
    return false;
  }
  if (this->ledgered == nullptr) {
    return true;
  }
  const bool has_tokens = std::ranges::any_of(
      this->ledgered->budget.book().teams(),
      [](const auto& item) { return item.second.free > 0; });
  const bool is_clean = this->entries.size() == 0 && !has_tokens &&
                        this->transfers.open_gifts() == 0;
  const Configuration* const current = this->config.configuration();
  const bool waited_enough = now >= *this->drain_began +
                                        current->defaults.entries.hold +
                                        kDrainPatience;
  return this->ledgered->request_manager.open() == 0 &&
         (is_clean || waited_enough);
}

auto RouterCore::LikelyHolders(const TeamId& team) const
    -> std::vector<RouterId> {
  std::vector<RouterId> holders;
  for (const Vm& vm :
       PlanEntries(team, this->fleet, this->fleet.routers().size())) {
    holders.emplace_back(vm.name);
  }
  return holders;
}

}  // namespace auburnloft
