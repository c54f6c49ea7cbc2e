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
class PromiseChecker {
 public:
  explicit PromiseChecker(VirtualFleet& fleet);

  PromiseChecker(const PromiseChecker&) = delete;
  auto operator=(const PromiseChecker&) -> PromiseChecker& = delete;

  /** Checks the promises that hold in every state. @return false where one is
   * broken. */
  auto Check() -> bool;

  /** Checks, after faults have healed and all is quiet, that nothing is left
   * over. */
  auto CheckEnd() -> bool;

  /** Notes the bills of which a router that is about to die has the last copy.
   */
  auto BeforeKill(std::size_t index) -> void;

  [[nodiscard]] auto violation() const -> const std::string& {
    return this->found;
  }
  [[nodiscard]] auto ledgers() const
      -> const std::map<StreamId, PartitionLedger>& {
    return this->folds;
  }

  /** Answered requests that no bill stands for, by team and key. */
  [[nodiscard]] auto Unbilled() const -> std::set<std::string>;

  /** Tokens out with holders that are no running process. */
  [[nodiscard]] auto Stranded() const -> Tokens;

 private:
  auto OnStored(const StreamId& stream, const std::string& bytes) -> void;
  auto CheckMoney() -> void;
  auto CheckCallers() -> void;
  auto CheckConfig() -> void;
  auto Fail(std::string text) -> void;
  [[nodiscard]] static auto BillsHeldBy(const RouterCore& core)
      -> std::set<std::string>;
  [[nodiscard]] auto CommittedBy(const RouterCore& core,
                                 const TeamId& team) const -> Tokens;

  VirtualFleet& fleet;
  std::map<StreamId, PartitionLedger> folds;
  std::map<std::string, int> bills;  ///< Valid bills by team and key.
  std::set<std::string> billed_runs;
  std::map<std::string, Tokens> topped_up;
  std::set<std::string> top_up_ids;
  std::map<std::string, Tokens> billed;
  std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> versions;
  std::size_t callers_seen = 0;
  std::vector<wire::Bill>
      spent_by_dead;                     ///< Unrecorded when their router died.
  std::set<std::string> last_copy_died;  ///< Requests by team and key.
  std::string found;
};

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_PROMISE_CHECKER_H_
