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

/** Sends and receives transfers of tokens between holders. Messages are
    delivered at least once; each transfer is credited exactly once.

    A transfer is resent until the receiver acknowledges it. The receiver
    credits each transfer id once, and only if the transfer names the receiver's
    own incarnation. A new process at the same address acknowledges a transfer
    to its predecessor without crediting it, because the ledger will credit the
    predecessor's account.

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

  /** Requests tokens from `holder`. @return false if the address of `holder` is
      unknown. */
  auto RequestTransfer(const RouterId& holder, const wire::TransferAsk& ask)
      -> bool;

  /** Sends `tokens` to another holder and resends them until they are
      acknowledged.  @pre the caller has debited `tokens`.
      @return the transfer id. */
  auto SendTransfer(Instant now,
                    const IncarnationId& to,
                    const PeerAddress& to_address,
                    const wire::TransferAsk& ask,
                    Tokens tokens) -> std::string;

  /** Replies to a transfer request that this router transfers no tokens. */
  auto SendRefusal(const PeerAddress& to_address, const wire::TransferAsk& ask)
      -> void;

  /** Acknowledges an incoming transfer. @return true if it is for this
      incarnation and was not accepted before, so that the caller must credit
      it. */
  [[nodiscard]] auto Accept(const PeerAddress& from_address,
                            const wire::TransferGive& give) -> bool;

  /** Handles the receiver's acknowledgement of a transfer: stops resending. */
  auto OnAck(const wire::TransferAck& ack) -> void;

  /** Resends the unacknowledged transfers that are due. */
  auto Tick(Instant now) -> void;

  //============================================================================
  // Queries

  /** The number of outgoing transfers without an acknowledgement. */
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
