#include "al_budget/keeper/reclaim_desk.h"

#include <algorithm>

namespace auburnloft {

ReclaimDesk::ReclaimDesk(ActionQueue& actions,
                         KeeperHost& host,
                         AddressOf address_of)
    : actions(actions), host(host), address_of(std::move(address_of)) {}

auto ReclaimDesk::Look(const IsDead& is_dead) -> void {
  for (const PartitionIndex partition : this->host.Kept()) {
    const PartitionLedger& ledger =
        this->host.keepers().at(partition)->ledger();
    for (const auto& [team, state] : ledger.teams()) {
      for (const auto& [holder, balance] : state.account.holders()) {
        const bool is_open =
            balance.tokens > 0 && !balance.closed && !balance.witnesses.empty();
        if (is_open && is_dead(holder)) {
          this->Ask(partition, team, holder, balance);
        }
      }
    }
  }
}

auto ReclaimDesk::Ask(PartitionIndex partition,
                      const TeamId& team,
                      const IncarnationId& holder,
                      const HolderBalance& balance) -> void {
  Inquiry& inquiry = this->inquiries[{holder, team}];
  if (inquiry.op_seq != balance.op_seq) {
    inquiry = {partition, balance.op_seq, balance.witnesses, {}};
  }
  wire::PeerMessage message;
  wire::DrawAsk& ask = *message.mutable_draw_ask();
  ask.set_team(team.value());
  ask.set_holder(holder.value());
  ask.set_op_seq(balance.op_seq);
  for (const IncarnationId& witness : balance.witnesses) {
    if (const std::optional<PeerAddress> address = this->address_of(witness)) {
      this->actions.Push(SendPeerMessage{*address, message});
    }
  }
}

auto ReclaimDesk::OnReply(Instant now,
                          const IncarnationId& from,
                          const wire::DrawReply& reply) -> void {
  const TeamId team(reply.team());
  const auto found =
      this->inquiries.find({IncarnationId(reply.holder()), team});
  if (found == this->inquiries.end() ||
      found->second.op_seq != reply.op_seq() || !reply.known()) {
    return;
  }
  Inquiry& inquiry = found->second;
  if (std::ranges::find(inquiry.witnesses, from) == inquiry.witnesses.end()) {
    return;
  }
  inquiry.limits[from] = reply.limit();
  if (inquiry.limits.size() < inquiry.witnesses.size()) {
    return;
  }
  Tokens limit = 0;
  for (const auto& [witness, known] : inquiry.limits) {
    limit = std::max(limit, known);
  }
  wire::LedgerEntry entry;
  entry.set_entry_id("reclaim/" + team.value() + "/" + reply.holder());
  entry.mutable_reclaim()->set_team(team.value());
  entry.mutable_reclaim()->set_holder(reply.holder());
  entry.mutable_reclaim()->set_drawn_limit(limit);
  this->host.AddEntry(now, inquiry.partition, std::move(entry));
  this->inquiries.erase(found);
}

}  // namespace auburnloft
