#include "al_budget/allowance/budget_coordinator.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "al_core/ids/incarnation.h"

namespace auburnloft {

namespace {

/** If the keeper has not replied after this time, waiting requests request
    transfers from other holders. Longer than a keeper's commit interval and one
    retry, shorter than a driver waits at a garage gate. */
constexpr Duration kKeeperTimeout = std::chrono::milliseconds(1500);

/** How long replies to transfer requests may take: several round trips between
    regions. */
constexpr Duration kTransferTimeout = std::chrono::milliseconds(400);

/** The interval of transfer requests while the keeper does not reply, until the
    deadlines of the waiting requests. The keeper may still reply in the
    meantime. */
constexpr Duration kTransferRetryInterval = std::chrono::seconds(1);

/** After the keeper and all holders have refused, new requests without
    spendable tokens are refused at once for this long. */
constexpr Duration kExhaustedBackoff = std::chrono::milliseconds(200);

/** The delay before a refill is requested again if the keeper granted only part
    of it or refused it. The delay doubles with each refusal, so that the
    holders of a spent budget do not overload their keeper. */
constexpr Duration kInitialRefillBackoff = std::chrono::seconds(1);
constexpr Duration kMaxRefillBackoff = std::chrono::seconds(32);

/** The interval between checks for surplus tokens that should return to the
    budget for other routers. */
constexpr Duration kSurplusCheckInterval = std::chrono::seconds(10);

/** A draw limit is increased ahead of need by the spending of this duration, or
    by this many of the largest requests if that is more. A failed router
    strands about this many tokens. */
constexpr Duration kDrawLimitHeadroom = std::chrono::seconds(10);
constexpr Tokens kDrawLimitHeadroomRequests = 4;

/** If no witness acknowledges an increase of a draw limit within this time,
    other witnesses are requested. */
constexpr Duration kDrawLimitTimeout = std::chrono::seconds(1);

/** The minimum interval between changes of the witnesses. */
constexpr Duration kWitnessCheckInterval = std::chrono::seconds(3);

/** The maximum number of holders in one round of transfer requests; bounds the
    number of messages. */
constexpr std::size_t kMaxHoldersAsked = 8;

/** If the free tokens exceed the target by more than this factor, those beyond
    the target are returned. */
constexpr Tokens kSurplusFactor = 2;

}  // namespace

BudgetCoordinator::BudgetCoordinator(IncarnationId self,
                                     PartitionMap partitions,
                                     AnyAllowancePolicy policy,
                                     EntryOutbox& outbox,
                                     TransferManager& transfers,
                                     WitnessManager& witness,
                                     DrawLimitManager& draw_limits,
                                     ChooseWitnesses choose_witnesses,
                                     LikelyHolders likely_holders)
    : self(std::move(self)),
      partitions(partitions),
      policy(policy),
      outbox(outbox),
      transfers(transfers),
      witness(witness),
      draw_limits(draw_limits),
      choose_witnesses(std::move(choose_witnesses)),
      likely_holders(std::move(likely_holders)) {}

//==============================================================================
// Requests

auto BudgetCoordinator::SetPolicy(AnyAllowancePolicy new_policy, bool reclaim)
    -> void {
  this->policy = new_policy;
  this->reclaim_enabled = reclaim;
}

auto BudgetCoordinator::Reserve(Instant now,
                                RequestHandle handle,
                                const TeamId& team,
                                Tokens upper,
                                Instant deadline) -> ReserveResult {
  assert(upper >= 0);
  TeamState& state = this->team_states[team];
  const bool reserved = this->allowances.TryReserve(team, upper);
  if (!reserved && now < state.exhausted_until) {
    return ReserveResult::kRefused;
  }
  if (!reserved) {
    state.waiting.push_back({handle, upper, deadline});
  }
  this->RequestHigherDrawLimit(now, team, false);
  this->RequestGrant(now, team, state);
  return reserved ? ReserveResult::kReserved : ReserveResult::kWaiting;
}

auto BudgetCoordinator::CancelWaiting(RequestHandle handle) -> void {
  for (auto& [team, state] : this->team_states) {
    std::erase_if(state.waiting, [handle](const WaitingRequest& request) {
      return request.handle == handle;
    });
  }
}

auto BudgetCoordinator::Release(Instant now,
                                const TeamId& team,
                                Tokens reserved) -> void {
  this->allowances.Settle(now, team, reserved, 0);
  this->ServeWaitingRequests(now, team, this->team_states[team]);
}

auto BudgetCoordinator::Settle(Instant now, const SettledRequest& request)
    -> std::optional<wire::LedgerEntry> {
  const Tokens spent = std::clamp<Tokens>(request.spent, 0, request.reserved);
  this->allowances.Settle(now, request.team, request.reserved, spent);
  std::optional<wire::LedgerEntry> entry;
  if (spent > 0) {
    entry.emplace();
    entry->set_entry_id("bill/" + request.run_id.value());
    wire::Bill& bill = *entry->mutable_bill();
    bill.set_team(request.team.value());
    bill.set_request_key(request.key.value());
    bill.set_holder(this->self.value());
    bill.set_run_id(request.run_id.value());
    bill.set_tokens(spent);
    bill.set_request_class(request.request_class);
    bill.set_issued_at_ms(request.issued_at_ms);
    this->Submit(now, request.team, *entry, Urgency::kBatched);
  }
  this->ServeWaitingRequests(now, request.team,
                             this->team_states[request.team]);
  return entry;
}

auto BudgetCoordinator::ServeWaitingRequests(Instant now,
                                             const TeamId& team,
                                             TeamState& state) -> void {
  std::erase_if(state.waiting, [&](const WaitingRequest& request) {
    if (!this->allowances.TryReserve(team, request.upper)) {
      return false;
    }
    this->decisions.push_back({request.handle, team, request.upper, true,
                               RefusalCode::kBudgetExhausted});
    return true;
  });
  if (state.waiting.empty()) {
    state.transfer_round_deadline.reset();
  }
  this->RequestHigherDrawLimit(now, team, false);
  this->RequestGrant(now, team, state);
}

auto BudgetCoordinator::RefuseWaitingRequests(const TeamId& team,
                                              TeamState& state,
                                              RefusalCode code) -> void {
  for (const WaitingRequest& request : state.waiting) {
    this->decisions.push_back(
        {request.handle, team, request.upper, false, code});
  }
  state.waiting.clear();
  state.transfer_round_deadline.reset();
}

auto BudgetCoordinator::TakeDecisions() -> std::vector<BudgetDecision> {
  return std::exchange(this->decisions, {});
}

//==============================================================================
// Grants

auto BudgetCoordinator::NeedOf(const TeamId& team, const TeamState& state) const
    -> Tokens {
  Tokens waiting = 0;
  for (const WaitingRequest& request : state.waiting) {
    waiting += request.upper;
  }
  return std::max<Tokens>(0, waiting - this->allowances.AllowanceOf(team).free);
}

auto BudgetCoordinator::DemandOf(Instant now,
                                 const TeamId& team,
                                 Tokens need) const -> HolderDemand {
  const TeamAllowance allowance = this->allowances.AllowanceOf(team);
  return {allowance.free, allowance.reserved, need,
          this->allowances.RateOf(now, team), allowance.max_reservation};
}

auto BudgetCoordinator::RequestGrant(Instant now,
                                     const TeamId& team,
                                     TeamState& state) -> void {
  const Tokens need = this->NeedOf(team, state);
  const bool refill_backs_off = need == 0 && now < state.next_refill_at &&
                                !this->NeedsNewWitnesses(now, team, state);
  const bool returns_all = this->draining && need == 0;
  if (!state.pending_op_entry_id.empty() || state.transfer_round_deadline ||
      refill_backs_off || returns_all) {
    return;
  }
  const Tokens want = std::visit(
      [&](const auto& chosen) {
        return chosen.TokensToRequest(this->DemandOf(now, team, need));
      },
      this->policy);
  const bool needs_witnesses = this->NeedsNewWitnesses(now, team, state);
  if (want <= 0 && !needs_witnesses) {
    return;
  }
  wire::LedgerEntry entry;
  wire::Grant& grant = *entry.mutable_grant();
  grant.set_team(team.value());
  grant.set_holder(this->self.value());
  grant.set_op_seq(state.op_seq + 1);
  grant.set_tokens(want);
  grant.set_need(need);
  if (this->reclaim_enabled) {
    for (const IncarnationId& witness : this->choose_witnesses()) {
      grant.add_witnesses(witness.value());
    }
  }
  entry.set_entry_id("grant/" + team.value() + "/" + this->self.value() + "/" +
                     std::to_string(grant.op_seq()));
  state.pending_op_entry_id = entry.entry_id();
  state.grant_requested_at = now;
  state.keeper_refused = false;
  this->Submit(now, team, std::move(entry), Urgency::kImmediate);
}

//==============================================================================
// Draw limits

auto BudgetCoordinator::NeedsNewWitnesses(Instant now,
                                          const TeamId& team,
                                          const TeamState& state) const
    -> bool {
  if (!this->reclaim_enabled || this->draining ||
      now < state.next_witness_check) {
    return false;
  }
  const std::vector<IncarnationId> current_witnesses =
      this->draw_limits.WitnessesOf(team);
  const std::vector<IncarnationId> chosen_witnesses = this->choose_witnesses();
  const std::optional<Instant> unacknowledged_since =
      this->draw_limits.UnacknowledgedSince(team);
  const bool increase_timed_out =
      unacknowledged_since && now >= *unacknowledged_since + kDrawLimitTimeout;
  const bool has_replaced_witness =
      std::ranges::any_of(current_witnesses, [&](const IncarnationId& witness) {
        return std::ranges::find(chosen_witnesses, witness) ==
               chosen_witnesses.end();
      });
  const bool holds_tokens = this->allowances.AllowanceOf(team).free > 0;
  return holds_tokens && !chosen_witnesses.empty() &&
         (increase_timed_out || has_replaced_witness);
}

auto BudgetCoordinator::SetWitnesses(Instant now,
                                     const TeamId& team,
                                     std::uint64_t op_seq,
                                     const wire::EntryVerdict& verdict)
    -> void {
  std::vector<IncarnationId> witnesses;
  for (const std::string& witness : verdict.witnesses()) {
    witnesses.emplace_back(witness);
  }
  const TeamAllowance allowance = this->allowances.AllowanceOf(team);
  if (witnesses.empty()) {
    this->allowances.SetDrawLimit(team, TeamAllowance::kNoLimit);
  } else if (allowance.draw_limit == TeamAllowance::kNoLimit) {
    // Until a witness acknowledges a higher limit, no further tokens may be
    // drawn.
    this->allowances.SetDrawLimit(team, allowance.DrawnTokens());
  }
  this->draw_limits.SetWitnesses(team, op_seq, std::move(witnesses));
  this->team_states[team].next_witness_check = now + kWitnessCheckInterval;
  this->RequestHigherDrawLimit(now, team, true);
}

auto BudgetCoordinator::RequestHigherDrawLimit(Instant now,
                                               const TeamId& team,
                                               bool is_first) -> void {
  const TeamAllowance allowance = this->allowances.AllowanceOf(team);
  if (allowance.draw_limit == TeamAllowance::kNoLimit) {
    return;
  }
  Tokens waiting = 0;
  for (const WaitingRequest& request : this->team_states[team].waiting) {
    waiting += request.upper;
  }
  const auto by_rate = static_cast<Tokens>(this->allowances.RateOf(now, team) *
                                           ToSeconds(kDrawLimitHeadroom));
  const Tokens headroom =
      std::max(by_rate, kDrawLimitHeadroomRequests * allowance.max_reservation);
  const Tokens drawable = allowance.draw_limit - allowance.DrawnTokens();
  if (is_first || drawable < headroom / 2 + waiting) {
    this->draw_limits.RequestIncrease(
        now, team,
        std::max(allowance.draw_limit,
                 allowance.DrawnTokens() + waiting + headroom));
  }
}

auto BudgetCoordinator::OnDrawAck(Instant now, const wire::DrawAck& ack)
    -> void {
  const std::optional<Tokens> limit = this->draw_limits.OnAck(ack);
  if (!limit) {
    return;
  }
  const TeamId team(ack.team());
  this->allowances.SetDrawLimit(
      team, std::max(*limit, this->allowances.AllowanceOf(team).draw_limit));
  this->ServePendingTransferRequests(now, team, this->team_states[team]);
  this->ServeWaitingRequests(now, team, this->team_states[team]);
}

//==============================================================================
// Verdicts on grants

auto BudgetCoordinator::OnGrantVerdict(Instant now,
                                       const wire::Grant& grant,
                                       const wire::EntryVerdict& verdict)
    -> void {
  const TeamId team(grant.team());
  TeamState& state = this->team_states[team];
  state.pending_op_entry_id.clear();
  const bool granted = verdict.verdict() == wire::VERDICT_VALID ||
                       verdict.verdict() == wire::VERDICT_REPEATED;
  if (granted) {
    // A refused request leaves its number to the next one. If a late copy of it
    // is granted after all, the verdict on the next request is
    // VERDICT_REPEATED, and its tokens are received once.
    state.op_seq = grant.op_seq();
    this->allowances.Receive(team, verdict.tokens());
    this->SetWitnesses(now, team, grant.op_seq(), verdict);
    const bool is_partial = verdict.tokens() < grant.tokens();
    state.next_refill_at = is_partial ? now + kInitialRefillBackoff : now;
    state.refill_backoff = kInitialRefillBackoff;
    this->ServeWaitingRequests(now, team, state);
    return;
  }
  state.refill_backoff = std::clamp(state.refill_backoff * 2,
                                    kInitialRefillBackoff, kMaxRefillBackoff);
  state.next_refill_at = now + state.refill_backoff;
  if (state.waiting.empty() || state.transfer_round_deadline) {
    state.keeper_refused = true;
    return;
  }
  if (grant.need() < this->NeedOf(team, state) && grant.need() == 0) {
    // The refused request was a refill without a need. Requests that have
    // arrived since then are waiting, so request again with their need.
    this->RequestGrant(now, team, state);
    return;
  }
  state.keeper_refused = true;
  std::vector<RouterId> holders;
  for (const wire::HolderAccount& account : verdict.holders()) {
    holders.push_back(RouterOf(IncarnationId(account.holder())));
  }
  this->RequestTransfers(now, team, state, std::move(holders));
}

//==============================================================================
// Transfers

auto BudgetCoordinator::RequestTransfers(Instant now,
                                         const TeamId& team,
                                         TeamState& state,
                                         std::vector<RouterId> holders)
    -> void {
  wire::TransferAsk ask;
  ask.set_team(team.value());
  ask.set_need(this->NeedOf(team, state));
  ask.set_want(std::visit(
      [&](const auto& chosen) {
        return chosen.TokensToRequest(this->DemandOf(now, team, ask.need()));
      },
      this->policy));
  ask.set_ask_id(this->next_ask_id++);
  state.ask_id = ask.ask_id();
  state.open_transfer_requests = 0;
  const bool transfers_allowed =
      std::visit([](const auto& chosen) { return chosen.allows_transfers(); },
                 this->policy);
  std::erase(holders, RouterOf(this->self));
  for (const RouterId& holder : holders) {
    if (!transfers_allowed ||
        state.open_transfer_requests == kMaxHoldersAsked) {
      break;
    }
    state.open_transfer_requests +=
        this->transfers.RequestTransfer(holder, ask) ? 1 : 0;
  }
  state.transfer_round_deadline = now + kTransferTimeout;
  if (state.open_transfer_requests == 0) {
    this->EndTransferRound(now, team, state);
  }
}

auto BudgetCoordinator::EndTransferRound(Instant now,
                                         const TeamId& team,
                                         TeamState& state) -> void {
  state.transfer_round_deadline.reset();
  state.next_transfer_round = now + kTransferRetryInterval;
  if (!state.waiting.empty() && state.keeper_refused) {
    state.exhausted_until = now + kExhaustedBackoff;
    this->RefuseWaitingRequests(team, state, RefusalCode::kBudgetExhausted);
  }
  this->RequestGrant(now, team, state);
}

auto BudgetCoordinator::OnTransferGive(Instant now,
                                       const IncarnationId& from,
                                       const PeerAddress& from_address,
                                       const wire::TransferGive& give) -> void {
  const TeamId team(give.team());
  TeamState& state = this->team_states[team];
  if (state.ask_id == give.ask_id() && state.open_transfer_requests > 0) {
    --state.open_transfer_requests;
  }
  if (!give.transfer_id().empty() &&
      this->transfers.Accept(from_address, give)) {
    this->allowances.Receive(team, give.tokens());
    wire::LedgerEntry entry;
    entry.set_entry_id("transfer/" + give.transfer_id() + "/to");
    wire::Transfer& transfer = *entry.mutable_transfer();
    transfer.set_team(give.team());
    transfer.set_transfer_id(give.transfer_id());
    transfer.set_from(from.value());
    transfer.set_to(this->self.value());
    transfer.set_tokens(give.tokens());
    this->witness.Copy(now, entry);
    this->Submit(now, team, std::move(entry), Urgency::kBatched);
    this->ServeWaitingRequests(now, team, state);
  }
  if (state.transfer_round_deadline && state.open_transfer_requests == 0) {
    this->EndTransferRound(now, team, state);
  }
}

auto BudgetCoordinator::OnTransferAsk(Instant now,
                                      const IncarnationId& from,
                                      const PeerAddress& from_address,
                                      const wire::TransferAsk& ask) -> void {
  const TeamId team(ask.team());
  const TeamAllowance allowance = this->allowances.AllowanceOf(team);
  TeamState& state = this->team_states[team];
  const Tokens offer =
      std::min(allowance.free, std::max(ask.need(), allowance.free / 2));
  const Tokens tokens = std::min(offer, std::max(ask.need(), ask.want()));
  if (!state.waiting.empty() || tokens <= 0) {
    this->transfers.SendRefusal(from_address, ask);
    return;
  }
  if (allowance.SpendableTokens() < tokens) {
    // The transfer waits until a witness has acknowledged a draw limit that
    // covers it.
    state.pending_transfer_requests.push_back(
        {from, from_address, ask, tokens, now + kTransferTimeout});
    this->draw_limits.RequestIncrease(now, team,
                                      allowance.DrawnTokens() + tokens);
    return;
  }
  this->SendTransfer(now, {from, from_address, ask, tokens, now});
}

auto BudgetCoordinator::ServePendingTransferRequests(Instant now,
                                                     const TeamId& team,
                                                     TeamState& state) -> void {
  for (const PendingTransferRequest& pending :
       std::exchange(state.pending_transfer_requests, {})) {
    const TeamAllowance allowance = this->allowances.AllowanceOf(team);
    if (allowance.SpendableTokens() >= pending.tokens &&
        state.waiting.empty()) {
      this->SendTransfer(now, pending);
    } else if (now < pending.expires && allowance.free >= pending.tokens) {
      state.pending_transfer_requests.push_back(pending);
    } else {
      this->transfers.SendRefusal(pending.from_address, pending.ask);
    }
  }
}

auto BudgetCoordinator::SendTransfer(Instant now,
                                     const PendingTransferRequest& pending)
    -> void {
  const TeamId team(pending.ask.team());
  if (!this->allowances.TryDebit(team, pending.tokens)) {
    this->transfers.SendRefusal(pending.from_address, pending.ask);
    return;
  }
  const std::string id = this->transfers.SendTransfer(
      now, pending.from, pending.from_address, pending.ask, pending.tokens);
  wire::LedgerEntry entry;
  entry.set_entry_id("transfer/" + id + "/from");
  wire::Transfer& transfer = *entry.mutable_transfer();
  transfer.set_team(team.value());
  transfer.set_transfer_id(id);
  transfer.set_from(this->self.value());
  transfer.set_to(pending.from.value());
  transfer.set_tokens(pending.tokens);
  this->witness.Copy(now, entry);
  this->Submit(now, team, std::move(entry), Urgency::kBatched);
}

//==============================================================================
// Bills and returns

auto BudgetCoordinator::OnVerdict(Instant now,
                                  const wire::LedgerEntry& entry,
                                  const wire::EntryVerdict& verdict) -> void {
  switch (entry.body_case()) {
    case wire::LedgerEntry::kGrant:
      this->OnGrantVerdict(now, entry.grant(), verdict);
      break;
    case wire::LedgerEntry::kGiveBack: {
      TeamState& state = this->team_states[TeamId(entry.give_back().team())];
      state.pending_op_entry_id.clear();
      this->draw_limits.SetWitnesses(TeamId(entry.give_back().team()),
                                     entry.give_back().op_seq(), {});
      this->allowances.SetDrawLimit(TeamId(entry.give_back().team()),
                                    TeamAllowance::kNoLimit);
      if (verdict.verdict() == wire::VERDICT_INSUFFICIENT) {
        // The balance does not cover the return because a transfer to this
        // router is not recorded yet.
        this->allowances.Receive(TeamId(entry.give_back().team()),
                                 entry.give_back().tokens());
      }
      break;
    }
    case wire::LedgerEntry::kTransfer:
      if (verdict.verdict() == wire::VERDICT_INSUFFICIENT) {
        // The grant or transfer that covers the sender's balance is not
        // recorded yet.
        this->Submit(now, TeamId(entry.transfer().team()), entry,
                     Urgency::kDelayed);
      }
      break;
    case wire::LedgerEntry::kBill:
      this->OnBillVerdict(now, entry, verdict);
      break;
    default:
      break;
  }
}

auto BudgetCoordinator::OnBillVerdict(Instant now,
                                      const wire::LedgerEntry& entry,
                                      const wire::EntryVerdict& verdict)
    -> void {
  const TeamId team(entry.bill().team());
  const bool is_own = entry.bill().holder() == this->self.value();
  switch (verdict.verdict()) {
    case wire::VERDICT_INSUFFICIENT:
      // The transfer that covers the bill is not recorded yet.
      this->Submit(now, team, entry, Urgency::kDelayed);
      break;
    case wire::VERDICT_DUPLICATE:
      if (!is_own) {
        break;  // Submitted as a witness: the tokens are in the expired
                // holder's account.
      }
      this->allowances.Restore(team, entry.bill().tokens());
      this->ServeWaitingRequests(now, team, this->team_states[team]);
      break;
    case wire::VERDICT_TOO_OLD:
      ++this->too_old_bill_count;
      break;
    default:
      break;
  }
}

auto BudgetCoordinator::ReturnTokens(Instant now,
                                     const TeamId& team,
                                     TeamState& state,
                                     Tokens tokens) -> void {
  if (tokens <= 0 || !state.pending_op_entry_id.empty() ||
      !this->allowances.TryReturn(team, tokens)) {
    return;
  }
  wire::LedgerEntry entry;
  wire::Return& give_back = *entry.mutable_give_back();
  give_back.set_team(team.value());
  give_back.set_holder(this->self.value());
  state.op_seq += 2;  // Skips the number of a refused grant, of which a late
                      // copy may still be granted.
  give_back.set_op_seq(state.op_seq);
  give_back.set_tokens(tokens);
  entry.set_entry_id("return/" + team.value() + "/" + this->self.value() + "/" +
                     std::to_string(state.op_seq));
  state.pending_op_entry_id = entry.entry_id();
  this->Submit(now, team, std::move(entry), Urgency::kImmediate);
}

auto BudgetCoordinator::ReturnAll(Instant now) -> void {
  this->draining = true;
  for (auto& [team, state] : this->team_states) {
    this->ReturnTokens(now, team, state,
                       this->allowances.AllowanceOf(team).free);
  }
}

auto BudgetCoordinator::Submit(Instant now,
                               const TeamId& team,
                               wire::LedgerEntry entry,
                               Urgency urgency) -> void {
  this->outbox.Add(now, this->partitions.PartitionOf(team), std::move(entry),
                   urgency);
}

//==============================================================================
// Periodic work

auto BudgetCoordinator::Tick(Instant now) -> void {
  for (auto& [team, state] : this->team_states) {
    this->TickTeam(now, team, state);
  }
}

auto BudgetCoordinator::TickTeam(Instant now,
                                 const TeamId& team,
                                 TeamState& state) -> void {
  this->ServePendingTransferRequests(now, team, state);
  if (state.transfer_round_deadline && now >= *state.transfer_round_deadline) {
    this->EndTransferRound(now, team, state);
  }
  const bool keeper_is_late = !state.pending_op_entry_id.empty() &&
                              now >= state.grant_requested_at + kKeeperTimeout;
  const bool may_ask_holders =
      !state.transfer_round_deadline && now >= state.next_transfer_round;
  if (!state.waiting.empty() && may_ask_holders && keeper_is_late) {
    this->RequestTransfers(now, team, state, this->likely_holders(team));
  }
  std::erase_if(state.waiting, [&](const WaitingRequest& request) {
    if (now < request.deadline) {
      return false;
    }
    this->decisions.push_back({request.handle, team, request.upper, false,
                               RefusalCode::kBudgetUnavailable});
    return true;
  });
  this->RequestGrant(now, team, state);
  if (now >= state.next_surplus_check && state.waiting.empty()) {
    state.next_surplus_check = now + kSurplusCheckInterval;
    HolderDemand demand = this->DemandOf(now, team, 0);
    const Tokens free = std::exchange(demand.free, 0);
    const Tokens target = std::visit(
        [&](const auto& chosen) { return chosen.TokensToRequest(demand); },
        this->policy);
    if (target > 0 && free > kSurplusFactor * target) {
      this->ReturnTokens(now, team, state, free - target);
    }
  }
}

auto BudgetCoordinator::WaitingCount() const -> std::size_t {
  std::size_t count = 0;
  for (const auto& [team, state] : this->team_states) {
    count += state.waiting.size();
  }
  return count;
}

}  // namespace auburnloft
