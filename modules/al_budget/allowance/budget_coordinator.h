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

/** How the wait of one request for tokens ended. */
struct BudgetDecision {
  RequestHandle handle = 0;
  TeamId team;
  Tokens upper = 0;
  bool reserved = false;
  RefusalCode refusal = RefusalCode::kBudgetExhausted;  ///< Where not reserved.
};

/** The holder's side of the budgets: reserves, settles, and comes by more
   tokens in time.

    A request whose tokens are in hand is reserved at once and waits for nobody.
   Otherwise it waits while the coordinator asks the partition's keeper for a
   grant, and, where the budget has nothing left or the keeper does not answer,
   asks other holders for transfers. A request is refused for its budget only
   when both ways are exhausted.

    Thread safety: none; used on one thread.

    @see AllowanceTable, EntryOutbox, PartitionKeeper, TransferManager
*/
class BudgetCoordinator {
 public:
  /** Names routers that may hold tokens of a team when the keeper does not say
   * who does. */
  using LikelyHolders =
      std::function<std::vector<RouterId>(const TeamId& team)>;

  /** Names the routers that should keep this router's draw limits: heard of
   * lately. */
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

  /** Changes the policy for the asks from now on.
      @param reclaim  whether witnesses keep draw limits, so that a dead
     router's allowance can be reclaimed. */
  auto SetPolicy(AnyAllowancePolicy new_policy, bool reclaim) -> void;

  /** Reserves `upper` tokens for a request. kWaiting: TakeDecisions() tells the
     end later.
      @pre upper >= 0; `handle` has no other reservation under way. */
  auto Reserve(Instant now,
               RequestHandle handle,
               const TeamId& team,
               Tokens upper,
               Instant deadline) -> ReserveResult;

  /** Forgets a request that waits, as when its caller has gone. */
  auto CancelWaiting(RequestHandle handle) -> void;

  /** Ends a reservation of which nothing was spent. */
  auto Release(Instant now, const TeamId& team, Tokens reserved) -> void;

  /** Ends a reservation and bills what was spent. @return the bill, which is on
     its way to the keeper; empty for a request that spent nothing. */
  auto Settle(Instant now, const SettledRequest& request)
      -> std::optional<wire::LedgerEntry>;

  /** Handles the verdict on an entry that this coordinator submitted: a grant,
     return, transfer or bill. */
  auto OnVerdict(Instant now,
                 const wire::LedgerEntry& entry,
                 const wire::EntryVerdict& verdict) -> void;

  /** Handles tokens, or a refusal, from another holder. */
  auto OnTransferGive(Instant now,
                      const IncarnationId& from,
                      const PeerAddress& from_address,
                      const wire::TransferGive& give) -> void;

  /** Answers another holder that asks for tokens. */
  auto OnTransferAsk(Instant now,
                     const IncarnationId& from,
                     const PeerAddress& from_address,
                     const wire::TransferAsk& ask) -> void;

  /** Takes in a witness's word that the draw limit of a team is raised. */
  auto OnDrawAck(Instant now, const wire::DrawAck& ack) -> void;

  /** Refills low allowances and ends waits whose time has come. */
  auto Tick(Instant now) -> void;

  /** Returns all free tokens to the budgets, as a draining router does. */
  auto ReturnAll(Instant now) -> void;

  /** The requests whose wait has ended since the last call. */
  [[nodiscard]] auto TakeDecisions() -> std::vector<BudgetDecision>;

  //============================================================================
  // Queries

  [[nodiscard]] auto allowance_table() const -> const AllowanceTable& {
    return this->allowances;
  }
  [[nodiscard]] auto WaitingCount() const -> std::size_t;

  /** Bills whose requests were issued before the horizon; their tokens stay
   * out. */
  [[nodiscard]] auto too_old_bills() const -> std::uint64_t {
    return this->too_old_bill_count;
  }

 private:
  struct WaitingRequest {
    RequestHandle handle = 0;
    Tokens upper = 0;
    Instant deadline;
  };
  /** A router that asked for tokens, while a witness is told of the gift. */
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
        pending_op_entry_id;  ///< Entry id of the grant or return under way.
    Instant grant_requested_at;
    Instant next_refill_at;
    Duration refill_backoff{0};
    Instant next_surplus_check;
    bool keeper_refused = false;
    Instant exhausted_until;  ///< Asking again earlier would not help.
    std::optional<Instant>
        transfer_round_deadline;  ///< Set while holders are asked.
    Instant next_transfer_round;
    Instant next_witness_check;
    std::size_t unanswered_asks = 0;
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
  auto SendTransfer(Instant now, const PendingTransferRequest& item) -> void;
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
  bool reclaims = true;
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
