#include "al_budget/allowance/transfer_manager.h"

#include <algorithm>
#include <utility>

namespace auburnloft {

namespace {
constexpr Duration kInitialResendInterval = std::chrono::milliseconds(200);
constexpr Duration kMaxResendInterval = std::chrono::seconds(10);
}  // namespace

TransferManager::TransferManager(IncarnationId self,
                                 ActionQueue& actions,
                                 AddressOf address_of)
    : self(std::move(self)),
      actions(actions),
      address_of(std::move(address_of)) {}

auto TransferManager::RequestTransfer(const RouterId& holder,
                                      const wire::TransferAsk& ask) -> bool {
  const std::optional<PeerAddress> address = this->address_of(holder);
  if (!address) {
    return false;
  }
  wire::PeerMessage message;
  *message.mutable_transfer_ask() = ask;
  this->actions.Push(SendPeerMessage{*address, std::move(message)});
  return true;
}

auto TransferManager::SendTransfer(Instant now,
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
  this->outgoing[give.transfer_id()] = {
      to_address, give, now + kInitialResendInterval, kInitialResendInterval};
  return give.transfer_id();
}

auto TransferManager::SendRefusal(const PeerAddress& to_address,
                                  const wire::TransferAsk& ask) -> void {
  wire::TransferGive give;
  give.set_team(ask.team());
  give.set_ask_id(ask.ask_id());
  this->Send(to_address, give);
}

auto TransferManager::Accept(const PeerAddress& from_address,
                             const wire::TransferGive& give) -> bool {
  wire::PeerMessage message;
  message.mutable_transfer_ack()->set_transfer_id(give.transfer_id());
  this->actions.Push(SendPeerMessage{from_address, std::move(message)});
  return give.to() == this->self.value() &&
         this->accepted.insert(give.transfer_id()).second;
}

auto TransferManager::OnAck(const wire::TransferAck& ack) -> void {
  this->outgoing.erase(ack.transfer_id());
}

auto TransferManager::Tick(Instant now) -> void {
  for (auto& [id, transfer] : this->outgoing) {
    if (transfer.due <= now) {
      this->Send(transfer.to_address, transfer.give);
      transfer.interval = std::min(transfer.interval * 2, kMaxResendInterval);
      transfer.due = now + transfer.interval;
    }
  }
}

auto TransferManager::Send(const PeerAddress& to,
                           const wire::TransferGive& give) -> void {
  wire::PeerMessage message;
  *message.mutable_transfer_give() = give;
  this->actions.Push(SendPeerMessage{to, std::move(message)});
}

}  // namespace auburnloft
