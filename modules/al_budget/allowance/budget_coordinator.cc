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
                                     TransferDesk& transfers,
                                     WitnessDesk& witness,
                                     DrawLimitDesk& draw_limits,
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
                                Instant deadline) -> ReserveAnswer {
  assert(upper >= 0);
  TeamFetch& fetch = this->fetches[team];
  const bool reserved = this->allowances.TryReserve(team, upper);
  if (!reserved && now < fetch.exhausted_until) {
    return ReserveAnswer::kRefused;
  }
  if (!reserved) {
    fetch.waiters.push_back({handle, upper, deadline});
  }
  this->RaiseLimit(now, team, false);
  this->AskKeeper(now, team, fetch);
  return reserved ? ReserveAnswer::kReserved : ReserveAnswer::kWaiting;
}

auto BudgetCoordinator::CancelWaiting(RequestHandle handle) -> void {
  for (auto& [team, fetch] : this->fetches) {
    std::erase_if(fetch.waiters, [handle](const Waiter& waiter) {
      return waiter.handle == handle;
    });
  }
}

auto BudgetCoordinator::Release(Instant now,
                                const TeamId& team,
                                Tokens reserved) -> void {
  this->allowances.Settle(now, team, reserved, 0);
  this->ServeWaiters(now, team, this->fetches[team]);
}

auto BudgetCoordinator::Settle(Instant now, const SettledRequest& request)
    -> std::optional<wire::LedgerEntry> {
  const Tokens spent = std::clamp<Tokens>(request.spent, 0, request.reserved);
  this->allowances.Settle(now, request.team, request.reserved, spent);
  std::optional<wire::LedgerEntry> entry;
  if (spent > 0) {
    entry.emplace();
    entry->set_entry_id("bill/" + request.run.value());
    wire::Bill& bill = *entry->mutable_bill();
    bill.set_team(request.team.value());
    bill.set_request_key(request.key.value());
    bill.set_holder(this->self.value());
    bill.set_run_id(request.run.value());
    bill.set_tokens(spent);
    bill.set_request_class(request.request_class);
    bill.set_issued_at_ms(request.issued_at_ms);
    this->Submit(now, request.team, *entry, Urgency::kBatched);
  }
  this->ServeWaiters(now, request.team, this->fetches[request.team]);
  return entry;
}

auto BudgetCoordinator::ServeWaiters(Instant now,
                                     const TeamId& team,
                                     TeamFetch& fetch) -> void {
  std::erase_if(fetch.waiters, [&](const Waiter& waiter) {
    if (!this->allowances.TryReserve(team, waiter.upper)) {
      return false;
    }
    this->decisions.push_back({waiter.handle, team, waiter.upper, true,
                               RefusalCode::kBudgetExhausted});
    return true;
  });
  if (fetch.waiters.empty()) {
    fetch.holders_deadline.reset();
  }
  this->RaiseLimit(now, team, false);
  this->AskKeeper(now, team, fetch);
}

auto BudgetCoordinator::RefuseWaiters(const TeamId& team,
                                      TeamFetch& fetch,
                                      RefusalCode code) -> void {
  for (const Waiter& waiter : fetch.waiters) {
    this->decisions.push_back({waiter.handle, team, waiter.upper, false, code});
  }
  fetch.waiters.clear();
  fetch.holders_deadline.reset();
}

auto BudgetCoordinator::TakeDecisions() -> std::vector<BudgetDecision> {
  return std::exchange(this->decisions, {});
}

//==============================================================================
// Grants

auto BudgetCoordinator::NeedOf(const TeamId& team, const TeamFetch& fetch) const
    -> Tokens {
  Tokens waiting = 0;
  for (const Waiter& waiter : fetch.waiters) {
    waiting += waiter.upper;
  }
  return std::max<Tokens>(0, waiting - this->allowances.Of(team).free);
}

auto BudgetCoordinator::DemandOf(Instant now,
                                 const TeamId& team,
                                 Tokens need) const -> HolderDemand {
  const TeamAllowance allowance = this->allowances.Of(team);
  return {allowance.free, allowance.reserved, need,
          this->allowances.RateOf(now, team), allowance.largest_reserve};
}

auto BudgetCoordinator::AskKeeper(Instant now,
                                  const TeamId& team,
                                  TeamFetch& fetch) -> void {
  const Tokens need = this->NeedOf(team, fetch);
  const bool refill_rests = need == 0 && now < fetch.next_refill_at &&
                            !this->WantsWitnesses(now, team, fetch);
  const bool returns_all = this->draining && need == 0;
  if (!fetch.open_op.empty() || fetch.holders_deadline || refill_rests ||
      returns_all) {
    return;
  }
  const Tokens want = std::visit(
      [&](const auto& chosen) {
        return chosen.Wanted(this->DemandOf(now, team, need));
      },
      this->policy);
  const bool wants_witnesses = this->WantsWitnesses(now, team, fetch);
  if (want <= 0 && !wants_witnesses) {
    return;
  }
  wire::LedgerEntry entry;
  wire::Grant& grant = *entry.mutable_grant();
  grant.set_team(team.value());
  grant.set_holder(this->self.value());
  grant.set_op_seq(fetch.op_seq + 1);
  grant.set_tokens(want);
  grant.set_need(need);
  if (this->reclaims) {
    for (const IncarnationId& witness : this->choose_witnesses()) {
      grant.add_witnesses(witness.value());
    }
  }
  entry.set_entry_id("grant/" + team.value() + "/" + this->self.value() + "/" +
                     std::to_string(grant.op_seq()));
  fetch.open_op = entry.entry_id();
  fetch.asked_keeper_at = now;
  fetch.keeper_has_none = false;
  this->Submit(now, team, std::move(entry), Urgency::kAtOnce);
}

//==============================================================================
// Draw limits

auto BudgetCoordinator::WantsWitnesses(Instant now,
                                       const TeamId& team,
                                       const TeamFetch& fetch) const -> bool {
  if (!this->reclaims || this->draining || now < fetch.next_witness_check) {
    return false;
  }
  const std::vector<IncarnationId> named = this->draw_limits.WitnessesOf(team);
  const std::vector<IncarnationId> best = this->choose_witnesses();
  const std::optional<Instant> since = this->draw_limits.WaitingSince(team);
  const bool raise_fails = since && now >= *since + kRaiseWait;
  const bool one_is_missing =
      std::ranges::any_of(named, [&](const IncarnationId& witness) {
        return std::ranges::find(best, witness) == best.end();
      });
  const bool holds_tokens = this->allowances.Of(team).free > 0;
  return holds_tokens && !best.empty() && (raise_fails || one_is_missing);
}

auto BudgetCoordinator::TakeWitnesses(Instant now,
                                      const TeamId& team,
                                      std::uint64_t op_seq,
                                      const wire::EntryVerdict& verdict)
    -> void {
  std::vector<IncarnationId> witnesses;
  for (const std::string& witness : verdict.witnesses()) {
    witnesses.emplace_back(witness);
  }
  const TeamAllowance allowance = this->allowances.Of(team);
  if (witnesses.empty()) {
    this->allowances.SetDrawLimit(team, TeamAllowance::kNoLimit);
  } else if (allowance.draw_limit == TeamAllowance::kNoLimit) {
    // From the first note on, nothing may be drawn that a witness does not know
    // of.
    this->allowances.SetDrawLimit(team, allowance.Drawn());
  }
  this->draw_limits.SetWitnesses(team, op_seq, std::move(witnesses));
  this->fetches[team].next_witness_check = now + kWitnessCheck;
  this->RaiseLimit(now, team, true);
}

auto BudgetCoordinator::RaiseLimit(Instant now,
                                   const TeamId& team,
                                   bool is_first) -> void {
  const TeamAllowance allowance = this->allowances.Of(team);
  if (allowance.draw_limit == TeamAllowance::kNoLimit) {
    return;
  }
  Tokens waiting = 0;
  for (const Waiter& waiter : this->fetches[team].waiters) {
    waiting += waiter.upper;
  }
  const auto by_rate = static_cast<Tokens>(this->allowances.RateOf(now, team) *
                                           ToSeconds(kDrawStep));
  const Tokens step =
      std::max(by_rate, kDrawStepRequests * allowance.largest_reserve);
  const Tokens room = allowance.draw_limit - allowance.Drawn();
  if (is_first || room < step / 2 + waiting) {
    this->draw_limits.Raise(
        now, team,
        std::max(allowance.draw_limit, allowance.Drawn() + waiting + step));
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
      team, std::max(*limit, this->allowances.Of(team).draw_limit));
  this->ServeAsks(now, team, this->fetches[team]);
  this->ServeWaiters(now, team, this->fetches[team]);
}

//==============================================================================
// Grants, continued

auto BudgetCoordinator::OnGrantVerdict(Instant now,
                                       const wire::Grant& grant,
                                       const wire::EntryVerdict& verdict)
    -> void {
  const TeamId team(grant.team());
  TeamFetch& fetch = this->fetches[team];
  fetch.open_op.clear();
  const bool granted = verdict.verdict() == wire::VERDICT_VALID ||
                       verdict.verdict() == wire::VERDICT_REPEATED;
  if (granted) {
    // A refused ask leaves its number to the next one: should a late repeat of
    // it be granted after all, the next ask is answered as repeated, and its
    // tokens are received once.
    fetch.op_seq = grant.op_seq();
    this->allowances.Receive(team, verdict.tokens());
    this->TakeWitnesses(now, team, grant.op_seq(), verdict);
    const bool cut_short = verdict.tokens() < grant.tokens();
    fetch.next_refill_at = cut_short ? now + kRefillHold : now;
    fetch.refill_hold = kRefillHold;
    this->ServeWaiters(now, team, fetch);
    return;
  }
  fetch.refill_hold =
      std::clamp(fetch.refill_hold * 2, kRefillHold, kLongestRefillHold);
  fetch.next_refill_at = now + fetch.refill_hold;
  if (fetch.waiters.empty() || fetch.holders_deadline) {
    fetch.keeper_has_none = true;
    return;
  }
  if (grant.need() < this->NeedOf(team, fetch) && grant.need() == 0) {
    // The refusal answered a refill; the requests that came since have a need
    // to state.
    this->AskKeeper(now, team, fetch);
    return;
  }
  fetch.keeper_has_none = true;
  std::vector<RouterId> holders;
  for (const wire::HolderAccount& account : verdict.holders()) {
    holders.push_back(RouterOf(IncarnationId(account.holder())));
  }
  this->AskHolders(now, team, fetch, std::move(holders));
}

//==============================================================================
// Transfers

auto BudgetCoordinator::AskHolders(Instant now,
                                   const TeamId& team,
                                   TeamFetch& fetch,
                                   std::vector<RouterId> holders) -> void {
  wire::TransferAsk ask;
  ask.set_team(team.value());
  ask.set_need(this->NeedOf(team, fetch));
  ask.set_want(std::visit(
      [&](const auto& chosen) {
        return chosen.Wanted(this->DemandOf(now, team, ask.need()));
      },
      this->policy));
  ask.set_ask_id(this->next_ask_id++);
  fetch.ask_id = ask.ask_id();
  fetch.open_asks = 0;
  const bool transfers_on = std::visit(
      [](const auto& chosen) { return chosen.transfers(); }, this->policy);
  std::erase(holders, RouterOf(this->self));
  for (const RouterId& holder : holders) {
    if (!transfers_on || fetch.open_asks == kMostHoldersAsked) {
      break;
    }
    fetch.open_asks += this->transfers.Ask(holder, ask) ? 1 : 0;
  }
  fetch.holders_deadline = now + kHoldersWait;
  if (fetch.open_asks == 0) {
    this->FinishAskingHolders(now, team, fetch);
  }
}

auto BudgetCoordinator::FinishAskingHolders(Instant now,
                                            const TeamId& team,
                                            TeamFetch& fetch) -> void {
  fetch.holders_deadline.reset();
  fetch.next_holders_ask = now + kHoldersAgain;
  if (!fetch.waiters.empty() && fetch.keeper_has_none) {
    fetch.exhausted_until = now + kExhaustedHold;
    this->RefuseWaiters(team, fetch, RefusalCode::kBudgetExhausted);
  }
  this->AskKeeper(now, team, fetch);
}

auto BudgetCoordinator::OnTransferGive(Instant now,
                                       const IncarnationId& from,
                                       const PeerAddress& from_address,
                                       const wire::TransferGive& give) -> void {
  const TeamId team(give.team());
  TeamFetch& fetch = this->fetches[team];
  if (fetch.ask_id == give.ask_id() && fetch.open_asks > 0) {
    --fetch.open_asks;
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
    this->ServeWaiters(now, team, fetch);
  }
  if (fetch.holders_deadline && fetch.open_asks == 0) {
    this->FinishAskingHolders(now, team, fetch);
  }
}

auto BudgetCoordinator::OnTransferAsk(Instant now,
                                      const IncarnationId& from,
                                      const PeerAddress& from_address,
                                      const wire::TransferAsk& ask) -> void {
  const TeamId team(ask.team());
  const TeamAllowance allowance = this->allowances.Of(team);
  TeamFetch& fetch = this->fetches[team];
  const Tokens offer =
      std::min(allowance.free, std::max(ask.need(), allowance.free / 2));
  const Tokens tokens = std::min(offer, std::max(ask.need(), ask.want()));
  if (!fetch.waiters.empty() || tokens <= 0) {
    this->transfers.GiveNothing(from_address, ask);
    return;
  }
  if (allowance.Spendable() < tokens) {
    // The gift waits until a witness knows that it may have left.
    fetch.asks.push_back({from, from_address, ask, tokens, now + kHoldersWait});
    this->draw_limits.Raise(now, team, allowance.Drawn() + tokens);
    return;
  }
  this->Give(now, {from, from_address, ask, tokens, now});
}

auto BudgetCoordinator::ServeAsks(Instant now,
                                  const TeamId& team,
                                  TeamFetch& fetch) -> void {
  for (const PendingAsk& item : std::exchange(fetch.asks, {})) {
    const TeamAllowance allowance = this->allowances.Of(team);
    if (allowance.Spendable() >= item.tokens && fetch.waiters.empty()) {
      this->Give(now, item);
    } else if (now < item.expires && allowance.free >= item.tokens) {
      fetch.asks.push_back(item);
    } else {
      this->transfers.GiveNothing(item.from_address, item.ask);
    }
  }
}

auto BudgetCoordinator::Give(Instant now, const PendingAsk& item) -> void {
  const TeamId team(item.ask.team());
  if (!this->allowances.TryDebit(team, item.tokens)) {
    this->transfers.GiveNothing(item.from_address, item.ask);
    return;
  }
  const std::string id = this->transfers.Give(now, item.from, item.from_address,
                                              item.ask, item.tokens);
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
      TeamFetch& fetch = this->fetches[TeamId(entry.give_back().team())];
      fetch.open_op.clear();
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
                     Urgency::kLater);
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
      this->Submit(now, team, entry, Urgency::kLater);
      break;
    case wire::VERDICT_DUPLICATE:
      if (!is_own) {
        break;  // Submitted as a witness; the tokens are in the account of the
                // dead holder.
      }
      this->allowances.Restore(team, entry.bill().tokens());
      this->ServeWaiters(now, team, this->fetches[team]);
      break;
    case wire::VERDICT_TOO_OLD:
      ++this->bills_too_old;
      break;
    default:
      break;
  }
}

auto BudgetCoordinator::ReturnTokens(Instant now,
                                     const TeamId& team,
                                     TeamFetch& fetch,
                                     Tokens tokens) -> void {
  if (tokens <= 0 || !fetch.open_op.empty() ||
      !this->allowances.TryReturn(team, tokens)) {
    return;
  }
  wire::LedgerEntry entry;
  wire::Return& give_back = *entry.mutable_give_back();
  give_back.set_team(team.value());
  give_back.set_holder(this->self.value());
  fetch.op_seq += 2;  // Leaves out the number of a grant that was refused.
  give_back.set_op_seq(fetch.op_seq);
  give_back.set_tokens(tokens);
  entry.set_entry_id("return/" + team.value() + "/" + this->self.value() + "/" +
                     std::to_string(fetch.op_seq));
  fetch.open_op = entry.entry_id();
  this->Submit(now, team, std::move(entry), Urgency::kAtOnce);
}

auto BudgetCoordinator::ReturnAll(Instant now) -> void {
  this->draining = true;
  for (auto& [team, fetch] : this->fetches) {
    this->ReturnTokens(now, team, fetch, this->allowances.Of(team).free);
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
  for (auto& [team, fetch] : this->fetches) {
    this->TickTeam(now, team, fetch);
  }
}

auto BudgetCoordinator::TickTeam(Instant now,
                                 const TeamId& team,
                                 TeamFetch& fetch) -> void {
  this->ServeAsks(now, team, fetch);
  if (fetch.holders_deadline && now >= *fetch.holders_deadline) {
    this->FinishAskingHolders(now, team, fetch);
  }
  const bool keeper_is_late =
      !fetch.open_op.empty() && now >= fetch.asked_keeper_at + kKeeperWait;
  const bool may_ask_holders =
      !fetch.holders_deadline && now >= fetch.next_holders_ask;
  if (!fetch.waiters.empty() && may_ask_holders && keeper_is_late) {
    this->AskHolders(now, team, fetch, this->likely_holders(team));
  }
  std::erase_if(fetch.waiters, [&](const Waiter& waiter) {
    if (now < waiter.deadline) {
      return false;
    }
    this->decisions.push_back({waiter.handle, team, waiter.upper, false,
                               RefusalCode::kBudgetUnavailable});
    return true;
  });
  this->AskKeeper(now, team, fetch);
  if (now >= fetch.next_surplus_check && fetch.waiters.empty()) {
    fetch.next_surplus_check = now + kSurplusInterval;
    HolderDemand demand = this->DemandOf(now, team, 0);
    const Tokens free = std::exchange(demand.free, 0);
    const Tokens target =
        std::visit([&](const auto& chosen) { return chosen.Wanted(demand); },
                   this->policy);
    if (target > 0 && free > kSurplusFactor * target) {
      this->ReturnTokens(now, team, fetch, free - target);
    }
  }
}

auto BudgetCoordinator::WaitingCount() const -> std::size_t {
  std::size_t count = 0;
  for (const auto& [team, fetch] : this->fetches) {
    count += fetch.waiters.size();
  }
  return count;
}

}  // namespace auburnloft
