#include "al_budget/keeper/reclaim_manager.h"

#include <algorithm>

namespace auburnloft {

ReclaimManager::ReclaimManager(ActionQueue& actions,
                               KeeperHost& host,
                               AddressOf address_of)
    : actions(actions), host(host), address_of(std::move(address_of)) {}

auto ReclaimManager::QueryWitnesses(const IsExpired& is_expired) -> void {
  for (const PartitionIndex partition : this->host.KeptPartitions()) {
    const PartitionLedger& ledger =
        this->host.keepers().at(partition)->ledger();
    for (const auto& [team, state] : ledger.teams()) {
      for (const auto& [holder, balance] : state.account.holders()) {
        const bool is_open =
            balance.tokens > 0 && !balance.closed && !balance.witnesses.empty();
        if (is_open && is_expired(holder)) {
          this->QueryWitnessesOf(partition, team, holder, balance);
        }
      }
    }
  }
}

auto ReclaimManager::QueryWitnessesOf(PartitionIndex partition,
                                      const TeamId& team,
                                      const IncarnationId& holder,
                                      const HolderBalance& balance) -> void {
  WitnessQuery& query = this->queries[{holder, team}];
  if (query.op_seq != balance.op_seq) {
    query = {partition, balance.op_seq, balance.witnesses, {}};
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

auto ReclaimManager::OnReply(Instant now,
                             const IncarnationId& from,
                             const wire::DrawReply& reply) -> void {
  const TeamId team(reply.team());
  const auto found = this->queries.find({IncarnationId(reply.holder()), team});
  if (found == this->queries.end() || found->second.op_seq != reply.op_seq() ||
      !reply.known()) {
    return;
  }
  WitnessQuery& query = found->second;
  if (std::ranges::find(query.witnesses, from) == query.witnesses.end()) {
    return;
  }
  query.limits[from] = reply.limit();
  if (query.limits.size() < query.witnesses.size()) {
    return;
  }
  Tokens limit = 0;
  for (const auto& [witness, witness_limit] : query.limits) {
    limit = std::max(limit, witness_limit);
  }
  wire::LedgerEntry entry;
  entry.set_entry_id("reclaim/" + team.value() + "/" + reply.holder());
  entry.mutable_reclaim()->set_team(team.value());
  entry.mutable_reclaim()->set_holder(reply.holder());
  entry.mutable_reclaim()->set_drawn_limit(limit);
  this->host.AddEntry(now, query.partition, std::move(entry));
  this->queries.erase(found);
}

}  // namespace auburnloft
