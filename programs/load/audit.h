#ifndef PROGRAMS_LOAD_AUDIT_H_
#define PROGRAMS_LOAD_AUDIT_H_

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "al_core/ids/ids.h"
#include "al_operator/session/operator_session.h"
#include "load/request_result.h"

namespace auburnloft::load {

/** Result of comparing the ledger and the services' execution counts with what
 * the callers received.
 */
struct AuditReport {
  bool is_complete = false;         ///< All ledgers could be read.
  Tokens overspend = 0;             ///< Tokens billed beyond the top-ups.
  std::uint64_t double_billed = 0;  ///< Request keys with several bills.
  std::uint64_t unbilled = 0;       ///< Complete responses without a bill.
  std::uint64_t wrong_amounts =
      0;  ///< Bills that differ from the usage reported to the caller.
  std::uint64_t double_executions =
      0;  ///< Request keys that services executed more than once.
  Tokens stranded =
      0;  ///< Allowances of holders whose incarnation is not active.
  bool is_balanced =
      false;  ///< Top-ups = billed + allowances held + unallocated.
};

/** Compares the results of a load run with the ledger and with the execution
   counts of the stand-in services. All calls block.

    Thread safety: none.
*/
class Audit {
 public:
  /** @param routers  addresses of the routers that report their active
     incarnation.
      @param services  addresses of the stand-in services that report their
     execution counts. */
  Audit(std::string platform_address,
        std::vector<std::string> routers,
        std::vector<std::string> services);

  /** Reads the remaining budget of each team: its top-ups minus its bills.
   * Teams whose ledger cannot be read are left out. */
  [[nodiscard]] auto ReadBudgets(std::span<const TeamId> teams)
      -> std::map<TeamId, Tokens>;

  /** Reads the ledgers until all are readable and each complete response has a
   * bill, or until `timeout` has passed. Returns the last report. */
  [[nodiscard]] auto Run(std::span<const TeamId> teams,
                         std::span<const RequestResult> results,
                         Duration timeout) -> AuditReport;

 private:
  using BillsByKey = std::map<std::string, std::vector<Tokens>>;

  auto ReadOnce(std::span<const TeamId> teams,
                std::span<const RequestResult> results) -> AuditReport;
  auto ReadTeam(const TeamId& team,
                const std::set<std::string>& active,
                AuditReport& report) -> BillsByKey;
  /** Requests `path` from `address` and parses the response as JSON. Returns a
   * discarded value if there is no valid response. */
  auto GetJson(const std::string& address, std::string path) -> nlohmann::json;
  auto ReadActiveIncarnations() -> std::set<std::string>;
  auto CountDoubleExecutions() -> std::uint64_t;

  OperatorSession session;
  std::vector<std::string> routers;
  std::vector<std::string> services;
};

}  // namespace auburnloft::load

#endif  // PROGRAMS_LOAD_AUDIT_H_
