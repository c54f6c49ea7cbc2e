#ifndef AL_BUDGET_ALLOWANCE_BUDGET_COORDINATOR_H_
#define AL_BUDGET_ALLOWANCE_BUDGET_COORDINATOR_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "al_actions/action_queue.h"
#include "al_budget/allowance/allowance_table.h"
#include "al_budget/allowance/settled_request.h"
#include "al_budget/allowance/transfer_manager.h"
#include "al_budget/outbox/entry_outbox.h"
#include "al_budget/policy/allowance_policy.h"
#include "al_budget/witness/draw_limit_manager.h"
#include "al_budget/witness/witness_manager.h"
#include "al_ledger/records/partition_map.h"
#include "peer.pb.h"

namespace auburnloft {

/** The result for a request that waited for tokens. */
struct BudgetDecision {
  RequestHandle handle = 0;
  TeamId team;
  Tokens upper = 0;  ///< Upper bound of the request's cost.
  bool reserved = false;
  RefusalCode refusal =
      RefusalCode::kBudgetExhausted;  ///< Valid if not reserved.
};

/** Manages this router's allowances: reserves tokens for requests, bills them,
    and requests more tokens before they run out.

    If enough tokens are spendable, a request reserves them without any message.
    Otherwise it waits while the coordinator requests a grant from the
    partition's keeper (its leader). If the budget has no tokens left or the
    keeper does not reply, the coordinator requests transfers from other
    holders. It refuses a request with kBudgetExhausted only after the keeper
    has refused and no transfer covered it.

    Thread safety: none; used on one thread.

    @see AllowanceTable, EntryOutbox, PartitionKeeper, TransferManager
*/
class BudgetCoordinator {
 public:
  /** Returns the routers that probably hold tokens of a team, for when the
      keeper does not list the holders. */
  using LikelyHolders =
      std::function<std::vector<RouterId>(const TeamId& team)>;

  /** Returns the routers that should store replicas of this router's draw
      limits (its witnesses), among those that have sent messages recently. */
  using ChooseWitnesses = std::function<std::vector<IncarnationId>()>;

  enum class ReserveResult { kReserved, kWaiting, kRefused };

  BudgetCoordinator(IncarnationId self,
                    PartitionMap partitions,
                    AnyAllowancePolicy policy,
                    EntryOutbox& outbox,
                    TransferManager& transfers,
                    WitnessManager& witness,
                    DrawLimitManager& draw_limits,
                    ChooseWitnesses choose_witnesses,
                    LikelyHolders likely_holders);

  BudgetCoordinator(const BudgetCoordinator&) = delete;
  auto operator=(const BudgetCoordinator&) -> BudgetCoordinator& = delete;

  //============================================================================
  // Commands

  /** Sets the policy for future requests for tokens.
      @param reclaim  whether witnesses store draw limits, so that the allowance
      of an expired router can be reclaimed. */
  auto SetPolicy(AnyAllowancePolicy new_policy, bool reclaim) -> void;

  /** Reserves `upper` tokens for a request. If kWaiting is returned,
      TakeDecisions() reports the result later, `deadline` at the latest.
      @pre upper >= 0; `handle` has no reservation and is not waiting. */
  auto Reserve(Instant now,
               RequestHandle handle,
               const TeamId& team,
               Tokens upper,
               Instant deadline) -> ReserveResult;

  /** Removes a waiting request, for example when its caller has
      disconnected. */
  auto CancelWaiting(RequestHandle handle) -> void;

  /** Ends a reservation without spending. */
  auto Release(Instant now, const TeamId& team, Tokens reserved) -> void;

  /** Ends a reservation and queues the bill for the keeper. @return the bill;
      empty if nothing was spent. */
  auto Settle(Instant now, const SettledRequest& request)
      -> std::optional<wire::LedgerEntry>;

  /** Handles the keeper's verdict on a submitted entry: a grant, return,
      transfer or bill. */
  auto OnVerdict(Instant now,
                 const wire::LedgerEntry& entry,
                 const wire::EntryVerdict& verdict) -> void;

  /** Handles another holder's reply to a transfer request: tokens or a
      refusal. */
  auto OnTransferGive(Instant now,
                      const IncarnationId& from,
                      const PeerAddress& from_address,
                      const wire::TransferGive& give) -> void;

  /** Handles another holder's request for a transfer. */
  auto OnTransferAsk(Instant now,
                     const IncarnationId& from,
                     const PeerAddress& from_address,
                     const wire::TransferAsk& ask) -> void;

  /** Handles a witness's acknowledgement of a higher draw limit. */
  auto OnDrawAck(Instant now, const wire::DrawAck& ack) -> void;

  /** Refills low allowances, returns surplus tokens and refuses waiting
      requests whose deadline has passed. */
  auto Tick(Instant now) -> void;

  /** Returns all free tokens to the budgets and stops requesting refills. For a
      draining router. */
  auto ReturnAll(Instant now) -> void;

  /** Removes and returns the decisions made since the last call. */
  [[nodiscard]] auto TakeDecisions() -> std::vector<BudgetDecision>;

  //============================================================================
  // Queries

  [[nodiscard]] auto allowance_table() const -> const AllowanceTable& {
    return this->allowances;
  }

  /** The number of requests that wait for tokens. */
  [[nodiscard]] auto WaitingCount() const -> std::size_t;

  /** The number of bills that were rejected because their requests were issued
      before the ledger's horizon. Their tokens stay allocated to this
      router. */
  [[nodiscard]] auto too_old_bills() const -> std::uint64_t {
    return this->too_old_bill_count;
  }

 private:
  struct WaitingRequest {
    RequestHandle handle = 0;
    Tokens upper = 0;
    Instant deadline;
  };
  /** A router's request for a transfer that waits until a witness acknowledges
      the draw limit that covers it. */
  struct PendingTransferRequest {
    IncarnationId from;
    PeerAddress from_address;
    wire::TransferAsk ask;
    Tokens tokens = 0;
    Instant expires;
  };
  struct TeamState {
    std::vector<WaitingRequest> waiting;
    std::vector<PendingTransferRequest> pending_transfer_requests;
    std::uint64_t op_seq = 0;
    std::string
        pending_op_entry_id;  ///< Of the submitted grant or return without a
                              ///< verdict; empty if there is none.
    Instant grant_requested_at;
    Instant next_refill_at;
    Duration refill_backoff{0};
    Instant next_surplus_check;
    bool keeper_refused = false;
    Instant exhausted_until;  ///< Until then, requests without spendable tokens
                              ///< are refused at once.
    std::optional<Instant>
        transfer_round_deadline;  ///< Set while transfer requests are open.
    Instant next_transfer_round;
    Instant next_witness_check;
    std::size_t open_transfer_requests = 0;
    std::uint64_t ask_id = 0;
  };

  [[nodiscard]] auto DemandOf(Instant now,
                              const TeamId& team,
                              Tokens need) const -> HolderDemand;
  [[nodiscard]] auto NeedOf(const TeamId& team, const TeamState& state) const
      -> Tokens;
  auto RequestGrant(Instant now, const TeamId& team, TeamState& state) -> void;
  auto RequestTransfers(Instant now,
                        const TeamId& team,
                        TeamState& state,
                        std::vector<RouterId> holders) -> void;
  auto ServeWaitingRequests(Instant now, const TeamId& team, TeamState& state)
      -> void;
  auto RefuseWaitingRequests(const TeamId& team,
                             TeamState& state,
                             RefusalCode code) -> void;
  auto EndTransferRound(Instant now, const TeamId& team, TeamState& state)
      -> void;
  [[nodiscard]] auto NeedsNewWitnesses(Instant now,
                                       const TeamId& team,
                                       const TeamState& state) const -> bool;
  auto SetWitnesses(Instant now,
                    const TeamId& team,
                    std::uint64_t op_seq,
                    const wire::EntryVerdict& verdict) -> void;
  auto RequestHigherDrawLimit(Instant now, const TeamId& team, bool is_first)
      -> void;
  auto OnGrantVerdict(Instant now,
                      const wire::Grant& grant,
                      const wire::EntryVerdict& verdict) -> void;
  auto OnBillVerdict(Instant now,
                     const wire::LedgerEntry& entry,
                     const wire::EntryVerdict& verdict) -> void;
  auto ServePendingTransferRequests(Instant now,
                                    const TeamId& team,
                                    TeamState& state) -> void;
  auto SendTransfer(Instant now, const PendingTransferRequest& pending) -> void;
  auto TickTeam(Instant now, const TeamId& team, TeamState& state) -> void;
  auto ReturnTokens(Instant now,
                    const TeamId& team,
                    TeamState& state,
                    Tokens tokens) -> void;
  auto Submit(Instant now,
              const TeamId& team,
              wire::LedgerEntry entry,
              Urgency urgency) -> void;

  IncarnationId self;
  PartitionMap partitions;
  AnyAllowancePolicy policy;
  EntryOutbox& outbox;
  TransferManager& transfers;
  WitnessManager& witness;
  DrawLimitManager& draw_limits;
  ChooseWitnesses choose_witnesses;
  bool reclaim_enabled = true;
  LikelyHolders likely_holders;
  AllowanceTable allowances;
  std::map<TeamId, TeamState> team_states;
  std::vector<BudgetDecision> decisions;
  std::uint64_t next_ask_id = 1;
  std::uint64_t too_old_bill_count = 0;
  bool draining = false;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_ALLOWANCE_BUDGET_COORDINATOR_H_
