#ifndef TESTS_SUPPORT_INVARIANT_CHECKER_H_
#define TESTS_SUPPORT_INVARIANT_CHECKER_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "al_ledger/fold/partition_ledger.h"
#include "support/virtual_fleet.h"

namespace auburnloft::testing {

/** Observes a VirtualFleet and detects violations of the product's invariants.

    It replays the ledger's records itself, and counts bills, executions and
   refusals independently of that replay, so that it also detects a fault in the
   code that applies the records.
*/
class InvariantChecker {
 public:
  explicit InvariantChecker(VirtualFleet& fleet);

  InvariantChecker(const InvariantChecker&) = delete;
  auto operator=(const InvariantChecker&) -> InvariantChecker& = delete;

  /** Checks the invariants that hold in every state. Those of callers and of
     the configuration are checked every 64 steps.
      @return false if any invariant was violated so far. */
  auto Check() -> bool;

  /** Checks, after all faults have ended and traffic has stopped, that every
     request has ended, every answered request is billed, no router has entries
     to send and all use the same configuration version.
      @return false if any invariant was violated so far. */
  auto CheckFinalState() -> bool;

  /** Call it before a router is killed. Saves the router's bills that are not
     in the log yet, and the requests whose bill no other router has a copy of.
   */
  auto BeforeKill(std::size_t index) -> void;

  [[nodiscard]] auto violation() const -> const std::string& {
    return this->first_violation;
  }
  [[nodiscard]] auto ledgers() const
      -> const std::map<StreamId, PartitionLedger>& {
    return this->ledger_by_stream;
  }

  /** Returns the answered requests without a valid bill, as `team/key`. */
  [[nodiscard]] auto Unbilled() const -> std::set<std::string>;

  /** Returns the tokens allocated to holders that are not running. */
  [[nodiscard]] auto Stranded() const -> Tokens;

 private:
  auto OnStored(const StreamId& stream, const std::string& bytes) -> void;
  auto CheckBudgets() -> void;
  auto CheckCallers() -> void;
  auto CheckConfig() -> void;
  auto RecordViolation(std::string text) -> void;
  [[nodiscard]] static auto BillsHeldBy(const RouterCore& core)
      -> std::set<std::string>;
  [[nodiscard]] auto CommittedBy(const RouterCore& core,
                                 const TeamId& team) const -> Tokens;

  VirtualFleet& fleet;
  std::map<StreamId, PartitionLedger> ledger_by_stream;
  std::map<std::string, int> bill_counts;  ///< Valid bills by `team/key`.
  std::set<std::string> billed_run_ids;
  std::map<std::string, Tokens> topped_up_tokens;
  std::set<std::string> top_up_ids;
  std::map<std::string, Tokens> billed_tokens;
  std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t>
      config_versions;
  std::size_t callers_seen = 0;
  std::vector<wire::Bill>
      unrecorded_bills_of_exited_routers;  ///< Not in the log when their
                                           ///< router was killed.
  std::set<std::string> requests_whose_bill_was_lost;  ///< As `team/key`.
  std::string first_violation;
};

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_INVARIANT_CHECKER_H_
