#include "al_budget/allowance/budget_coordinator.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "al_core/ids/incarnation.h"

namespace auburnloft {

namespace {

/** How long a request waits for a keeper before other holders are asked. Above
   a keeper's commit interval and one retry, below the patience of a driver at
   the gate. */
constexpr Duration kKeeperWait = std::chrono::milliseconds(1500);

/** How long holders have to answer; some round trips between regions. */
constexpr Duration kHoldersWait = std::chrono::milliseconds(400);

/** While a keeper is silent, holders are asked again after this, until the
   requests' patience ends: the keeper may answer yet. */
constexpr Duration kHoldersAgain = std::chrono::seconds(1);

/** After everyone was asked in vain, further requests are refused at once for
 * this long. */
constexpr Duration kExhaustedHold = std::chrono::milliseconds(200);

/** A refill that the keeper cut short or refused is tried again after this; the
   wait doubles with each refusal, so that the holders of a spent budget do not
   keep their keeper busy. */
constexpr Duration kRefillHold = std::chrono::seconds(1);
constexpr Duration kLongestRefillHold = std::chrono::seconds(32);

/** How often an allowance is checked for tokens that another router may need
 * more. */
constexpr Duration kSurplusInterval = std::chrono::seconds(10);

/** A draw limit is raised this far ahead of the present rate, and by so many of
   the largest requests: what a dead router strands is about this much. */
constexpr Duration kDrawStep = std::chrono::seconds(10);
constexpr Tokens kDrawStepRequests = 4;

/** After a raise was in vain for this long, other witnesses are asked for. */
constexpr Duration kRaiseWait = std::chrono::seconds(1);

/** Witnesses are changed at most this often. */
constexpr Duration kWitnessCheck = std::chrono::seconds(3);

/** More holders are not asked for one request: each answer costs messages. */
constexpr std::size_t kMostHoldersAsked = 8;

/** An allowance of this many times its target is cut back to the target. */
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
  this->reclaims = reclaim;
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
  const bool refill_rests = need == 0 && now < state.next_refill_at &&
                            !this->NeedsNewWitnesses(now, team, state);
  const bool returns_all = this->draining && need == 0;
  if (!state.pending_op_entry_id.empty() || state.transfer_round_deadline ||
      refill_rests || returns_all) {
    return;
  }
  const Tokens want = std::visit(
      [&](const auto& chosen) {
        return chosen.TokensToRequest(this->DemandOf(now, team, need));
      },
      this->policy);
  const bool wants_witnesses = this->NeedsNewWitnesses(now, team, state);
  if (want <= 0 && !wants_witnesses) {
    return;
  }
  wire::LedgerEntry entry;
  wire::Grant& grant = *entry.mutable_grant();
  grant.set_team(team.value());
  grant.set_holder(this->self.value());
  grant.set_op_seq(state.op_seq + 1);
  grant.set_tokens(want);
  grant.set_need(need);
  if (this->reclaims) {
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
  if (!this->reclaims || this->draining || now < state.next_witness_check) {
    return false;
  }
  const std::vector<IncarnationId> named = this->draw_limits.WitnessesOf(team);
  const std::vector<IncarnationId> best = this->choose_witnesses();
  const std::optional<Instant> since =
      this->draw_limits.UnacknowledgedSince(team);
  const bool raise_fails = since && now >= *since + kRaiseWait;
  const bool one_is_missing =
      std::ranges::any_of(named, [&](const IncarnationId& witness) {
        return std::ranges::find(best, witness) == best.end();
      });
  const bool holds_tokens = this->allowances.AllowanceOf(team).free > 0;
  return holds_tokens && !best.empty() && (raise_fails || one_is_missing);
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
    // From the first note on, nothing may be drawn that a witness does not know
    // of.
    this->allowances.SetDrawLimit(team, allowance.DrawnTokens());
  }
  this->draw_limits.SetWitnesses(team, op_seq, std::move(witnesses));
  this->team_states[team].next_witness_check = now + kWitnessCheck;
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
                                           ToSeconds(kDrawStep));
  const Tokens step =
      std::max(by_rate, kDrawStepRequests * allowance.max_reservation);
  const Tokens room = allowance.draw_limit - allowance.DrawnTokens();
  if (is_first || room < step / 2 + waiting) {
    this->draw_limits.RequestIncrease(
        now, team,
        std::max(allowance.draw_limit,
                 allowance.DrawnTokens() + waiting + step));
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
// Grants, continued

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
    // A refused ask leaves its number to the next one: should a late repeat of
    // it be granted after all, the next ask is answered as repeated, and its
    // tokens are received once.
    state.op_seq = grant.op_seq();
    this->allowances.Receive(team, verdict.tokens());
    this->SetWitnesses(now, team, grant.op_seq(), verdict);
    const bool cut_short = verdict.tokens() < grant.tokens();
    state.next_refill_at = cut_short ? now + kRefillHold : now;
    state.refill_backoff = kRefillHold;
    this->ServeWaitingRequests(now, team, state);
    return;
  }
  state.refill_backoff =
      std::clamp(state.refill_backoff * 2, kRefillHold, kLongestRefillHold);
  state.next_refill_at = now + state.refill_backoff;
  if (state.waiting.empty() || state.transfer_round_deadline) {
    state.keeper_refused = true;
    return;
  }
  if (grant.need() < this->NeedOf(team, state) && grant.need() == 0) {
    // The refusal answered a refill; the requests that came since have a need
    // to state.
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
  state.unanswered_asks = 0;
  const bool transfers_on = std::visit(
      [](const auto& chosen) { return chosen.allows_transfers(); }, this->policy);
  std::erase(holders, RouterOf(this->self));
  for (const RouterId& holder : holders) {
    if (!transfers_on || state.unanswered_asks == kMostHoldersAsked) {
      break;
    }
    state.unanswered_asks +=
        this->transfers.RequestTransfer(holder, ask) ? 1 : 0;
  }
  state.transfer_round_deadline = now + kHoldersWait;
  if (state.unanswered_asks == 0) {
    this->EndTransferRound(now, team, state);
  }
}

auto BudgetCoordinator::EndTransferRound(Instant now,
                                         const TeamId& team,
                                         TeamState& state) -> void {
  state.transfer_round_deadline.reset();
  state.next_transfer_round = now + kHoldersAgain;
  if (!state.waiting.empty() && state.keeper_refused) {
    state.exhausted_until = now + kExhaustedHold;
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
  if (state.ask_id == give.ask_id() && state.unanswered_asks > 0) {
    --state.unanswered_asks;
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
  if (state.transfer_round_deadline && state.unanswered_asks == 0) {
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
    // The gift waits until a witness knows that it may have left.
    state.pending_transfer_requests.push_back(
        {from, from_address, ask, tokens, now + kHoldersWait});
    this->draw_limits.RequestIncrease(now, team,
                                      allowance.DrawnTokens() + tokens);
    return;
  }
  this->SendTransfer(now, {from, from_address, ask, tokens, now});
}

auto BudgetCoordinator::ServePendingTransferRequests(Instant now,
                                                     const TeamId& team,
                                                     TeamState& state) -> void {
  for (const PendingTransferRequest& item :
       std::exchange(state.pending_transfer_requests, {})) {
    const TeamAllowance allowance = this->allowances.AllowanceOf(team);
    if (allowance.SpendableTokens() >= item.tokens && state.waiting.empty()) {
      this->SendTransfer(now, item);
    } else if (now < item.expires && allowance.free >= item.tokens) {
      state.pending_transfer_requests.push_back(item);
    } else {
      this->transfers.SendRefusal(item.from_address, item.ask);
    }
  }
}

auto BudgetCoordinator::SendTransfer(Instant now,
                                     const PendingTransferRequest& item)
    -> void {
  const TeamId team(item.ask.team());
  if (!this->allowances.TryDebit(team, item.tokens)) {
    this->transfers.SendRefusal(item.from_address, item.ask);
    return;
  }
  const std::string id = this->transfers.SendTransfer(
      now, item.from, item.from_address, item.ask, item.tokens);
  wire::LedgerEntry entry;
  entry.set_entry_id("transfer/" + id + "/from");
  wire::Transfer& transfer = *entry.mutable_transfer();
  transfer.set_team(team.value());
  transfer.set_transfer_id(id);
  transfer.set_from(this->self.value());
  transfer.set_to(item.from.value());
  transfer.set_tokens(item.tokens);
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
        // A transfer to this router is not recorded yet.
        this->allowances.Receive(TeamId(entry.give_back().team()),
                                 entry.give_back().tokens());
      }
      break;
    }
    case wire::LedgerEntry::kTransfer:
      if (verdict.verdict() == wire::VERDICT_INSUFFICIENT) {
        // The giver's own grant or transfer in is not recorded yet.
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
      // The transfer that covers it is not recorded yet.
      this->Submit(now, team, entry, Urgency::kDelayed);
      break;
    case wire::VERDICT_DUPLICATE:
      if (!is_own) {
        break;  // Submitted as a witness; the tokens are in the account of the
                // dead holder.
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
  state.op_seq += 2;  // Leaves out the number of a grant that was refused.
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
// Time

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
                              now >= state.grant_requested_at + kKeeperWait;
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
    state.next_surplus_check = now + kSurplusInterval;
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
