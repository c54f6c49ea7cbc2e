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

/** What the log says of a fleet on the users' platform: its routers, and each
    team's budget.

    A router counts as living where it announced itself while the log was
    watched.

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

  /** Takes a record of the fleet's topic. @param is_new  it was written while
      the log was watched, not listed. */
  auto Apply(const gateway::KeyedRecord& record, bool is_new) -> void;

  //============================================================================
  // Queries

  /** Each team's tokens: prepaid, spent, out at living routers, stranded at
      lost ones, and left to take. */
  [[nodiscard]] auto BalancesAsJson() const -> nlohmann::json;

  /** Each router: whether it lives, its incarnation, domain, addresses and the
      version of the configuration that it has in force. */
  [[nodiscard]] auto RoutersAsJson() const -> nlohmann::json;

 private:
  [[nodiscard]] auto IsActive(const std::string& incarnation) const -> bool;

  gateway::FleetConfig config;
  gateway::AllowanceLedger ledger;
  std::map<std::string, gateway::RouterAnnouncement> routers;
  std::set<std::string> active;  ///< Incarnations that announced themselves.
};

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_FLEET_VIEW_H_
