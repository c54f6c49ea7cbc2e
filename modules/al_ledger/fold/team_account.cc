#include "al_ledger/fold/team_account.h"

#include <algorithm>

#include "al_core/text/digest.h"

namespace auburnloft {

//==============================================================================
// Commands

auto TeamAccount::Apply(const wire::TopUp& entry) -> wire::Verdict {
  if (entry.tokens() <= 0 || entry.top_up_id().empty()) {
    return wire::VERDICT_MALFORMED;
  }
  if (!this->top_up_ids.insert(entry.top_up_id()).second) {
    return wire::VERDICT_REPEATED;
  }
  this->topped_up_tokens += entry.tokens();
  this->unallocated_tokens += entry.tokens();
  return wire::VERDICT_VALID;
}

auto TeamAccount::Apply(const wire::Grant& entry) -> wire::Verdict {
  if (entry.tokens() < 0 || entry.holder().empty()) {
    return wire::VERDICT_MALFORMED;
  }
  HolderBalance& account = this->accounts[IncarnationId(entry.holder())];
  if (entry.op_seq() == account.op_seq && entry.op_seq() != 0) {
    return wire::VERDICT_REPEATED;
  }
  if (entry.op_seq() < account.op_seq || account.closed) {
    return wire::VERDICT_STALE;
  }
  const bool names_witnesses = entry.witnesses_size() > 0;
  if ((entry.tokens() == 0 && !names_witnesses) ||
      entry.tokens() > this->unallocated_tokens) {
    return wire::VERDICT_INSUFFICIENT;
  }
  this->unallocated_tokens -= entry.tokens();
  this->allocated_tokens += entry.tokens();
  account.tokens += entry.tokens();
  account.received += entry.tokens();
  account.last_grant = entry.tokens();
  account.op_seq = entry.op_seq();
  account.witnesses.clear();
  for (const std::string& witness : entry.witnesses()) {
    account.witnesses.emplace_back(witness);
  }
  return wire::VERDICT_VALID;
}

auto TeamAccount::Apply(const wire::Return& entry) -> wire::Verdict {
  if (entry.tokens() <= 0) {
    return wire::VERDICT_MALFORMED;
  }
  HolderBalance& account = this->accounts[IncarnationId(entry.holder())];
  if (entry.op_seq() == account.op_seq) {
    return wire::VERDICT_REPEATED;
  }
  if (entry.op_seq() < account.op_seq || account.closed) {
    return wire::VERDICT_STALE;
  }
  if (entry.tokens() > this->allocated_tokens) {
    return wire::VERDICT_INSUFFICIENT;
  }
  this->Deduct(account, entry.tokens());
  account.received -= entry.tokens();
  account.op_seq = entry.op_seq();
  account.last_grant = 0;
  account.witnesses.clear();
  this->unallocated_tokens += entry.tokens();
  return wire::VERDICT_VALID;
}

auto TeamAccount::Apply(const wire::Transfer& entry) -> wire::Verdict {
  if (entry.tokens() <= 0 || entry.from() == entry.to() ||
      entry.transfer_id().empty()) {
    return wire::VERDICT_MALFORMED;
  }
  if (!this->transfer_ids.insert(entry.transfer_id()).second) {
    return wire::VERDICT_REPEATED;
  }
  this->accounts[IncarnationId(entry.from())].tokens -= entry.tokens();
  HolderBalance& receiver = this->accounts[IncarnationId(entry.to())];
  receiver.tokens += entry.tokens();
  receiver.received += entry.tokens();
  return wire::VERDICT_VALID;
}

auto TeamAccount::Apply(const wire::Bill& entry, std::int64_t oldest_ms)
    -> wire::Verdict {
  if (entry.tokens() < 0 || entry.request_key().empty()) {
    return wire::VERDICT_MALFORMED;
  }
  const KeyDigest key = ComputeKeyDigest(entry.request_key());
  const std::uint64_t run_digest = StableHash(entry.run_id());
  const auto earlier_bill = this->bills.find(key);
  if (earlier_bill != this->bills.end()) {
    return earlier_bill->second.run_digest == run_digest
               ? wire::VERDICT_REPEATED
               : wire::VERDICT_DUPLICATE;
  }
  if (entry.issued_at_ms() < oldest_ms) {
    return wire::VERDICT_TOO_OLD;
  }
  if (entry.tokens() > this->allocated_tokens) {
    return wire::VERDICT_INSUFFICIENT;
  }
  this->Deduct(this->accounts[IncarnationId(entry.holder())], entry.tokens());
  this->billed_tokens += entry.tokens();
  ++this->total_bill_count;
  this->bills.emplace(key, RecordedBill{run_digest, entry.issued_at_ms()});
  return wire::VERDICT_VALID;
}

auto TeamAccount::Apply(const wire::Reclaim& entry) -> wire::Verdict {
  const auto found = this->accounts.find(IncarnationId(entry.holder()));
  if (found == this->accounts.end() || found->second.closed) {
    return wire::VERDICT_STALE;
  }
  HolderBalance& account = found->second;
  const Tokens recorded_draws = account.received - account.tokens;
  const Tokens max_unrecorded_draws =
      std::max<Tokens>(0, entry.drawn_limit() - recorded_draws);
  const Tokens returned =
      std::max<Tokens>(0, account.tokens - max_unrecorded_draws);
  this->Deduct(account, returned);
  account.closed = true;
  this->unallocated_tokens += returned;
  return wire::VERDICT_VALID;
}

auto TeamAccount::Deduct(HolderBalance& account, Tokens tokens) -> void {
  account.tokens -= tokens;
  this->allocated_tokens -= tokens;
}

auto TeamAccount::PruneBills(std::int64_t oldest_ms) -> void {
  std::erase_if(this->bills, [oldest_ms](const auto& bill) {
    return bill.second.issued_at_ms < oldest_ms;
  });
}

//==============================================================================
// Queries

auto TeamAccount::BalanceOf(const IncarnationId& holder) const
    -> HolderBalance {
  const auto found = this->accounts.find(holder);
  return found == this->accounts.end() ? HolderBalance{} : found->second;
}

auto TeamAccount::IsBilled(const RequestKey& key) const -> bool {
  return this->bills.contains(ComputeKeyDigest(key.value()));
}

//==============================================================================
// Snapshots

auto TeamAccount::Load(const wire::TeamSnapshot& snapshot) -> void {
  this->topped_up_tokens = snapshot.topped_up();
  this->unallocated_tokens = snapshot.unallocated();
  this->billed_tokens = snapshot.billed();
  this->total_bill_count = snapshot.bill_count();
  this->top_up_ids = {snapshot.top_up_ids().begin(),
                      snapshot.top_up_ids().end()};
  this->transfer_ids = {snapshot.transfer_ids().begin(),
                        snapshot.transfer_ids().end()};
  this->accounts.clear();
  this->allocated_tokens = 0;
  for (const wire::HolderAccount& holder : snapshot.holders()) {
    HolderBalance& account = this->accounts[IncarnationId(holder.holder())];
    account = {holder.tokens(), holder.received(), holder.last_grant(),
               holder.op_seq(), holder.closed(),   {}};
    for (const std::string& witness : holder.witnesses()) {
      account.witnesses.emplace_back(witness);
    }
    this->allocated_tokens += holder.tokens();
  }
  this->bills.clear();
  for (const wire::BilledRequest& bill : snapshot.bills()) {
    this->bills.emplace(KeyDigestFromBytes(bill.key_digest()),
                        RecordedBill{bill.run_digest(), bill.issued_at_ms()});
  }
}

auto TeamAccount::Save(wire::TeamSnapshot& snapshot) const -> void {
  snapshot.set_team(this->team.value());
  snapshot.set_topped_up(this->topped_up_tokens);
  snapshot.set_unallocated(this->unallocated_tokens);
  snapshot.set_billed(this->billed_tokens);
  snapshot.set_bill_count(this->total_bill_count);
  for (const auto& [holder, account] : this->accounts) {
    wire::HolderAccount& out = *snapshot.add_holders();
    out.set_holder(holder.value());
    out.set_tokens(account.tokens);
    out.set_received(account.received);
    out.set_last_grant(account.last_grant);
    out.set_op_seq(account.op_seq);
    out.set_closed(account.closed);
    for (const IncarnationId& witness : account.witnesses) {
      out.add_witnesses(witness.value());
    }
  }
  for (const auto& [key, mark] : this->bills) {
    wire::BilledRequest& out = *snapshot.add_bills();
    out.set_key_digest(ToBytes(key));
    out.set_run_digest(mark.run_digest);
    out.set_issued_at_ms(mark.issued_at_ms);
  }
  for (const std::string& id : this->top_up_ids) {
    snapshot.add_top_up_ids(id);
  }
  for (const std::string& id : this->transfer_ids) {
    snapshot.add_transfer_ids(id);
  }
}

}  // namespace auburnloft
