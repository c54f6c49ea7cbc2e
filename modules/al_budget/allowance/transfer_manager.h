#ifndef AL_BUDGET_ALLOWANCE_TRANSFER_MANAGER_H_
#define AL_BUDGET_ALLOWANCE_TRANSFER_MANAGER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "al_actions/action_queue.h"
#include "al_core/ids/ids.h"
#include "al_core/time/instant.h"
#include "peer.pb.h"

namespace auburnloft {

/** The messages of transfers between holders: at least once on the way,
   credited once.

    A gift is sent again until the receiver acknowledges it. The receiver
   credits each transfer id once, and only where the gift names its own
   incarnation: a new process at the same address acknowledges the gift to its
   predecessor without taking it, since the ledger will credit the predecessor's
   account.

    Thread safety: none; used on one thread.

    @see BudgetCoordinator
*/
class TransferManager {
 public:
  using AddressOf = std::function<std::optional<PeerAddress>(const RouterId&)>;

  TransferManager(IncarnationId self,
                  ActionQueue& actions,
                  AddressOf address_of);

  TransferManager(const TransferManager&) = delete;
  auto operator=(const TransferManager&) -> TransferManager& = delete;

  //============================================================================
  // Commands

  /** Asks `holder` for tokens; false where its address is unknown. */
  auto RequestTransfer(const RouterId& holder, const wire::TransferAsk& ask)
      -> bool;

  /** Sends `tokens`, which the caller has debited, and repeats it until
     acknowledged.
      @return the id of the transfer. */
  auto SendTransfer(Instant now,
                    const IncarnationId& to,
                    const PeerAddress& to_address,
                    const wire::TransferAsk& ask,
                    Tokens tokens) -> std::string;

  /** Tells an asker that there is nothing to give. */
  auto SendRefusal(const PeerAddress& to_address, const wire::TransferAsk& ask)
      -> void;

  /** Acknowledges a gift. @return true where it is for this incarnation and
   * new. */
  [[nodiscard]] auto Accept(const PeerAddress& from_address,
                            const wire::TransferGive& give) -> bool;

  auto OnAck(const wire::TransferAck& ack) -> void;

  /** Repeats the gifts that are due. */
  auto Tick(Instant now) -> void;

  //============================================================================
  // Queries

  /** Gifts that are not acknowledged yet. */
  [[nodiscard]] auto open_transfers() const -> std::size_t {
    return this->outgoing.size();
  }

 private:
  struct OutgoingTransfer {
    PeerAddress to_address;
    wire::TransferGive give;
    Instant due;
    Duration interval;
  };

  auto Send(const PeerAddress& to, const wire::TransferGive& give) -> void;

  IncarnationId self;
  ActionQueue& actions;
  AddressOf address_of;
  std::map<std::string, OutgoingTransfer> outgoing;
  std::set<std::string> accepted;
  std::uint64_t next_transfer = 1;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_ALLOWANCE_TRANSFER_MANAGER_H_
