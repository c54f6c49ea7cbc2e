#include "al_budget/allowance/transfer_desk.h"

#include <algorithm>
#include <utility>

namespace auburnloft {

namespace {
constexpr Duration kFirstRepeat = std::chrono::milliseconds(200);
constexpr Duration kLongestRepeat = std::chrono::seconds(10);
}  // namespace

TransferDesk::TransferDesk(IncarnationId self,
                           ActionQueue& actions,
                           AddressOf address_of)
    : self(std::move(self)),
      actions(actions),
      address_of(std::move(address_of)) {}

auto TransferDesk::Ask(const RouterId& holder, const wire::TransferAsk& ask)
    -> bool {
  const std::optional<PeerAddress> address = this->address_of(holder);
  if (!address) {
    return false;
  }
  wire::PeerMessage message;
  *message.mutable_transfer_ask() = ask;
  this->actions.Push(SendPeerMessage{*address, std::move(message)});
  return true;
}

auto TransferDesk::Give(Instant now,
                        const IncarnationId& to,
                        const PeerAddress& to_address,
                        const wire::TransferAsk& ask,
                        Tokens tokens) -> std::string {
  wire::TransferGive give;
  give.set_team(ask.team());
  give.set_transfer_id(this->self.value() + "/t" +
                       std::to_string(this->next_transfer++));
  give.set_tokens(tokens);
  give.set_ask_id(ask.ask_id());
  give.set_to(to.value());
  this->Send(to_address, give);
  this->gifts[give.transfer_id()] = {to_address, give, now + kFirstRepeat,
                                     kFirstRepeat};
  return give.transfer_id();
}

auto TransferDesk::GiveNothing(const PeerAddress& to_address,
                               const wire::TransferAsk& ask) -> void {
  wire::TransferGive give;
  give.set_team(ask.team());
  give.set_ask_id(ask.ask_id());
  this->Send(to_address, give);
}

auto TransferDesk::Accept(const PeerAddress& from_address,
                          const wire::TransferGive& give) -> bool {
  wire::PeerMessage message;
  message.mutable_transfer_ack()->set_transfer_id(give.transfer_id());
  this->actions.Push(SendPeerMessage{from_address, std::move(message)});
  return give.to() == this->self.value() &&
         this->accepted.insert(give.transfer_id()).second;
}

auto TransferDesk::OnAck(const wire::TransferAck& ack) -> void {
  this->gifts.erase(ack.transfer_id());
}

auto TransferDesk::Tick(Instant now) -> void {
  for (auto& [id, gift] : this->gifts) {
    if (gift.due <= now) {
      this->Send(gift.to_address, gift.give);
      gift.interval = std::min(gift.interval * 2, kLongestRepeat);
      gift.due = now + gift.interval;
    }
  }
}

auto TransferDesk::Send(const PeerAddress& to, const wire::TransferGive& give)
    -> void {
  wire::PeerMessage message;
  *message.mutable_transfer_give() = give;
  this->actions.Push(SendPeerMessage{to, std::move(message)});
}

}  // namespace auburnloft
