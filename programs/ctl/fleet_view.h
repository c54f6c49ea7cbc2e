#ifndef PROGRAMS_CTL_FLEET_VIEW_H_
#define PROGRAMS_CTL_FLEET_VIEW_H_

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>

#include "al_gateway/model/fleet_config.h"
#include "al_gateway/model/log_messages.h"
#include "al_gateway/prepaid/allowance_ledger.h"
#include "gateway/fleet_records.h"

namespace auburnloft {

/** The state of a gateway fleet as recorded in the log service ("the log"): its
    routers, and the budget of each team.

    A router incarnation counts as active if it announced itself while the log
    was followed.

    Thread safety: none; used on one thread.
*/
class FleetView {
 public:
  FleetView() = default;

  FleetView(const FleetView&) = delete;
  auto operator=(const FleetView&) -> FleetView& = delete;

  //============================================================================
  // Commands

  auto SetConfig(gateway::FleetConfig config) -> void;

  /** Applies a record of the fleet's topic.
      @param is_new  whether the record was appended while the log was followed,
                     not read from the list of newest records. */
  auto Apply(const gateway::KeyedRecord& record, bool is_new) -> void;

  //============================================================================
  // Queries

  /** Returns the tokens of each team: prepaid, spent, `out` (unspent, held by
      active routers), `stranded` (unspent, held by incarnations that are not
      active) and `left` (not taken by any router). */
  [[nodiscard]] auto BalancesAsJson() const -> nlohmann::json;

  /** Returns the last announcement of each router, and whether its incarnation
      is active. */
  [[nodiscard]] auto RoutersAsJson() const -> nlohmann::json;

 private:
  [[nodiscard]] auto IsActive(const std::string& incarnation) const -> bool;

  gateway::FleetConfig config;
  gateway::AllowanceLedger ledger;
  std::map<std::string, gateway::RouterAnnouncement>
      routers;  ///< The last announcement of each, by name.
  std::set<std::string> active_incarnations;  ///< Announced while the log was
                                              ///< followed.
};

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_FLEET_VIEW_H_
