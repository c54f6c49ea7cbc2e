#include "al_budget/witness/draw_limit_manager.h"

#include <algorithm>

namespace auburnloft {

namespace {

/** A requested increase that no witness has acknowledged is resent after this
    time. */
constexpr Duration kResendInterval = std::chrono::milliseconds(100);

}  // namespace

DrawLimitManager::DrawLimitManager(ActionQueue& actions, AddressOf address_of)
    : actions(actions), address_of(std::move(address_of)) {}

//==============================================================================
// Holder

auto DrawLimitManager::SetWitnesses(const TeamId& team,
                                    std::uint64_t op_seq,
                                    std::vector<IncarnationId> witnesses)
    -> void {
  HolderLimit& holder_limit = this->holder_limits[team];
  holder_limit.op_seq = op_seq;
  holder_limit.witnesses = std::move(witnesses);
  holder_limit.acknowledged = 0;
  holder_limit.requested = 0;
}

auto DrawLimitManager::RequestIncrease(Instant now,
                                       const TeamId& team,
                                       Tokens limit) -> void {
  HolderLimit& holder_limit = this->holder_limits[team];
  if (holder_limit.witnesses.empty() || limit <= holder_limit.requested) {
    return;
  }
  if (holder_limit.requested <= holder_limit.acknowledged) {
    holder_limit.requested_since = now;
  }
  holder_limit.requested = limit;
  this->Send(now, team, holder_limit);
}

auto DrawLimitManager::Send(Instant now,
                            const TeamId& team,
                            HolderLimit& holder_limit) -> void {
  holder_limit.next_send = now + kResendInterval;
  wire::PeerMessage message;
  wire::DrawNote& note = *message.mutable_draw_note();
  note.set_team(team.value());
  note.set_op_seq(holder_limit.op_seq);
  note.set_limit(holder_limit.requested);
  for (const IncarnationId& witness : holder_limit.witnesses) {
    if (const std::optional<PeerAddress> address = this->address_of(witness)) {
      this->actions.Push(SendPeerMessage{*address, message});
    }
  }
}

auto DrawLimitManager::OnAck(const wire::DrawAck& ack)
    -> std::optional<Tokens> {
  const auto found = this->holder_limits.find(TeamId(ack.team()));
  if (found == this->holder_limits.end() ||
      found->second.op_seq != ack.op_seq() ||
      ack.limit() <= found->second.acknowledged) {
    return std::nullopt;
  }
  found->second.acknowledged = ack.limit();
  return ack.limit();
}

auto DrawLimitManager::Tick(Instant now) -> void {
  for (auto& [team, holder_limit] : this->holder_limits) {
    if (holder_limit.requested > holder_limit.acknowledged &&
        now >= holder_limit.next_send) {
      this->Send(now, team, holder_limit);
    }
  }
}

//==============================================================================
// Witness

auto DrawLimitManager::OnNote(const IncarnationId& from,
                              const PeerAddress& from_address,
                              const wire::DrawNote& note) -> void {
  WitnessedLimit& entry = this->witnessed_limits[{from, TeamId(note.team())}];
  if (note.op_seq() > entry.op_seq) {
    entry = {note.op_seq(), note.limit()};
  } else if (note.op_seq() == entry.op_seq) {
    entry.limit = std::max(entry.limit, note.limit());
  } else {
    return;
  }
  wire::PeerMessage message;
  wire::DrawAck& ack = *message.mutable_draw_ack();
  ack.set_team(note.team());
  ack.set_op_seq(note.op_seq());
  ack.set_limit(entry.limit);
  this->actions.Push(SendPeerMessage{from_address, std::move(message)});
}

auto DrawLimitManager::OnAsk(const PeerAddress& from_address,
                             const wire::DrawAsk& ask) -> void {
  const auto found = this->witnessed_limits.find(
      {IncarnationId(ask.holder()), TeamId(ask.team())});
  wire::PeerMessage message;
  wire::DrawReply& reply = *message.mutable_draw_reply();
  reply.set_team(ask.team());
  reply.set_holder(ask.holder());
  reply.set_op_seq(ask.op_seq());
  reply.set_known(found != this->witnessed_limits.end() &&
                  found->second.op_seq == ask.op_seq());
  reply.set_limit(reply.known() ? found->second.limit : 0);
  this->actions.Push(SendPeerMessage{from_address, std::move(message)});
}

//==============================================================================
// Queries

auto DrawLimitManager::UnacknowledgedSince(const TeamId& team) const
    -> std::optional<Instant> {
  const auto found = this->holder_limits.find(team);
  const bool waits = found != this->holder_limits.end() &&
                     found->second.requested > found->second.acknowledged;
  return waits ? std::optional(found->second.requested_since) : std::nullopt;
}

auto DrawLimitManager::WitnessesOf(const TeamId& team) const
    -> std::vector<IncarnationId> {
  const auto found = this->holder_limits.find(team);
  return found == this->holder_limits.end() ? std::vector<IncarnationId>()
                                            : found->second.witnesses;
}

}  // namespace auburnloft
