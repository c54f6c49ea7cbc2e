#include "al_budget/witness/draw_limit_desk.h"

#include <algorithm>

namespace auburnloft {

namespace {

/** A raise that no witness acknowledged is sent again after this. */
constexpr Duration kRepeat = std::chrono::milliseconds(100);

}  // namespace

DrawLimitDesk::DrawLimitDesk(ActionQueue& actions, AddressOf address_of)
    : actions(actions), address_of(std::move(address_of)) {}

//==============================================================================
// Holder

auto DrawLimitDesk::SetWitnesses(const TeamId& team,
                                 std::uint64_t op_seq,
                                 std::vector<IncarnationId> witnesses) -> void {
  Own& own = this->owns[team];
  own.op_seq = op_seq;
  own.witnesses = std::move(witnesses);
  own.acknowledged = 0;
  own.asked = 0;
}

auto DrawLimitDesk::Raise(Instant now, const TeamId& team, Tokens limit)
    -> void {
  Own& own = this->owns[team];
  if (own.witnesses.empty() || limit <= own.asked) {
    return;
  }
  if (own.asked <= own.acknowledged) {
    own.asked_since = now;
  }
  own.asked = limit;
  this->Send(now, team, own);
}

auto DrawLimitDesk::Send(Instant now, const TeamId& team, Own& own) -> void {
  own.next_send = now + kRepeat;
  wire::PeerMessage message;
  wire::DrawNote& note = *message.mutable_draw_note();
  note.set_team(team.value());
  note.set_op_seq(own.op_seq);
  note.set_limit(own.asked);
  for (const IncarnationId& witness : own.witnesses) {
    if (const std::optional<PeerAddress> address = this->address_of(witness)) {
      this->actions.Push(SendPeerMessage{*address, message});
    }
  }
}

auto DrawLimitDesk::OnAck(const wire::DrawAck& ack) -> std::optional<Tokens> {
  const auto found = this->owns.find(TeamId(ack.team()));
  if (found == this->owns.end() || found->second.op_seq != ack.op_seq() ||
      ack.limit() <= found->second.acknowledged) {
    return std::nullopt;
  }
  found->second.acknowledged = ack.limit();
  return ack.limit();
}

auto DrawLimitDesk::Tick(Instant now) -> void {
  for (auto& [team, own] : this->owns) {
    if (own.asked > own.acknowledged && now >= own.next_send) {
      this->Send(now, team, own);
    }
  }
}

//==============================================================================
// Witness

auto DrawLimitDesk::OnNote(const IncarnationId& from,
                           const PeerAddress& from_address,
                           const wire::DrawNote& note) -> void {
  Kept& entry = this->kept[{from, TeamId(note.team())}];
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

auto DrawLimitDesk::OnAsk(const PeerAddress& from_address,
                          const wire::DrawAsk& ask) -> void {
  const auto found =
      this->kept.find({IncarnationId(ask.holder()), TeamId(ask.team())});
  wire::PeerMessage message;
  wire::DrawReply& reply = *message.mutable_draw_reply();
  reply.set_team(ask.team());
  reply.set_holder(ask.holder());
  reply.set_op_seq(ask.op_seq());
  reply.set_known(found != this->kept.end() &&
                  found->second.op_seq == ask.op_seq());
  reply.set_limit(reply.known() ? found->second.limit : 0);
  this->actions.Push(SendPeerMessage{from_address, std::move(message)});
}

//==============================================================================
// Queries

auto DrawLimitDesk::WaitingSince(const TeamId& team) const
    -> std::optional<Instant> {
  const auto found = this->owns.find(team);
  const bool waits = found != this->owns.end() &&
                     found->second.asked > found->second.acknowledged;
  return waits ? std::optional(found->second.asked_since) : std::nullopt;
}

auto DrawLimitDesk::WitnessesOf(const TeamId& team) const
    -> std::vector<IncarnationId> {
  const auto found = this->owns.find(team);
  return found == this->owns.end() ? std::vector<IncarnationId>()
                                   : found->second.witnesses;
}

}  // namespace auburnloft
