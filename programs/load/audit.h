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

/** What the ledger and the services say of a run, against what the callers saw.
 */
struct AuditReport {
  bool is_complete = false;  ///< Everything could be read.
  Tokens overspend = 0;      ///< Billed, or served, beyond the top-ups.
  std::uint64_t double_billed = 0;
  std::uint64_t unbilled = 0;
  std::uint64_t wrong_amounts = 0;
  std::uint64_t double_executions = 0;
  Tokens stranded = 0;  ///< Out with holders that no longer live.
  bool is_balanced =
      false;  ///< Top-ups = billed + allowances out + unallocated.
};

/** Compares a run with the ledger and with the executions that the services
   counted.

    Thread safety: none.
*/
class Audit {
 public:
  /** @param routers  addresses to ask which incarnations live.
      @param services  addresses of stand-in services to ask for their
     executions. */
  Audit(std::string platform_address,
        std::vector<std::string> routers,
        std::vector<std::string> services);

  /** What each team may still spend: its top-ups less its bills. */
  [[nodiscard]] auto ReadBudgets(std::span<const TeamId> teams)
      -> std::map<TeamId, Tokens>;

  /** Waits until no answered request is unbilled, at most `patience`, and
   * reports. */
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
  /** The JSON that an address answers with; a discarded value where it does
   * not. */
  auto GetJson(const std::string& address, std::string path) -> nlohmann::json;
  auto ReadActiveIncarnations() -> std::set<std::string>;
  auto CountDoubleExecutions() -> std::uint64_t;

  OperatorSession session;
  std::vector<std::string> routers;
  std::vector<std::string> services;
};

}  // namespace auburnloft::load

#endif  // PROGRAMS_LOAD_AUDIT_H_
