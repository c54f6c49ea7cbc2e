#ifndef TESTS_SUPPORT_PROMISE_CHECKER_H_
#define TESTS_SUPPORT_PROMISE_CHECKER_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "al_ledger/fold/partition_ledger.h"
#include "support/virtual_fleet.h"

namespace auburnloft::testing {

/** Watches a VirtualFleet and finds any broken promise of the product.

    It folds the ledger's records for itself, and counts bills, executions and
   refusals apart from the fold, so that a fault in the fold shows too.
*/
class InvariantChecker {
 public:
  explicit InvariantChecker(VirtualFleet& fleet);

  InvariantChecker(const InvariantChecker&) = delete;
  auto operator=(const InvariantChecker&) -> InvariantChecker& = delete;

  /** Checks the promises that hold in every state. @return false where one is
   * broken. */
  auto Check() -> bool;

  /** Checks, after faults have healed and all is quiet, that nothing is left
   * over. */
  auto CheckFinalState() -> bool;

  /** Notes the bills of which a router that is about to die has the last copy.
   */
  auto BeforeKill(std::size_t index) -> void;

  [[nodiscard]] auto violation() const -> const std::string& {
    return this->first_violation;
  }
  [[nodiscard]] auto ledgers() const
      -> const std::map<StreamId, PartitionLedger>& {
    return this->ledger_by_stream;
  }

  /** Answered requests that no bill stands for, by team and key. */
  [[nodiscard]] auto Unbilled() const -> std::set<std::string>;

  /** Tokens out with holders that are no running process. */
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
  std::map<std::string, int> bill_counts;  ///< Valid bills by team and key.
  std::set<std::string> billed_run_ids;
  std::map<std::string, Tokens> topped_up_tokens;
  std::set<std::string> top_up_ids;
  std::map<std::string, Tokens> billed_tokens;
  std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t>
      config_versions;
  std::size_t callers_seen = 0;
  std::vector<wire::Bill>
      unrecorded_bills_of_exited_routers;  ///< Unrecorded when their router
                                           ///< died.
  std::set<std::string>
      requests_whose_bill_was_lost;  ///< Requests by team and key.
  std::string first_violation;
};

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_PROMISE_CHECKER_H_
