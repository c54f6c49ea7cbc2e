#include "ctl/fleet_view.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace auburnloft {

namespace {

using nlohmann::json;

/** Tokens that routers have taken of a team's budget. */
struct Balance {
  std::int64_t spent = 0;
  std::int64_t out = 0;       ///< Unspent, held by active routers.
  std::int64_t stranded = 0;  ///< Unspent, held by other incarnations.
};

}  // namespace

//==============================================================================
// Commands

auto FleetView::SetConfig(gateway::FleetConfig config) -> void {
  this->config = std::move(config);
}

auto FleetView::Apply(const gateway::KeyedRecord& record, bool is_new) -> void {
  if (auto announcement = gateway::ReadAnnouncement(record)) {
    if (is_new) {
      this->active_incarnations.insert(announcement->incarnation);
    }
    this->routers[announcement->name] = std::move(*announcement);
  } else if (const auto entry = gateway::ReadAllowance(record)) {
    this->ledger.Apply(*entry);
  }
}

//==============================================================================
// Queries

auto FleetView::BalancesAsJson() const -> json {
  json rows = json::array();
  for (const gateway::TeamRule& team : this->config.teams) {
    Balance balance;
    json holders = json::array();
    this->ledger.VisitTeam(
        team.name, [&](const gateway::AllowanceEntry& entry) {
          const std::int64_t unspent =
              entry.taken_tokens - entry.settled_tokens;
          const bool is_active = this->IsActive(entry.holder);
          balance.spent += entry.settled_tokens;
          (is_active ? balance.out : balance.stranded) += unspent;
          holders.push_back({{"holder", entry.holder},
                             {"living", is_active},
                             {"taken", entry.taken_tokens},
                             {"spent", entry.settled_tokens}});
        });
    const std::int64_t taken = balance.spent + balance.out + balance.stranded;
    json row{{"team", team.name},
             {"spent", balance.spent},
             {"out", balance.out},
             {"stranded", balance.stranded},
             {"holders", std::move(holders)}};
    if (team.prepaid_tokens) {
      const auto prepaid = static_cast<std::int64_t>(*team.prepaid_tokens);
      row["prepaid"] = prepaid;
      row["left"] = std::max<std::int64_t>(0, prepaid - taken);
    }
    rows.push_back(std::move(row));
  }
  return {{"config_version", this->config.version}, {"teams", std::move(rows)}};
}

auto FleetView::RoutersAsJson() const -> json {
  json rows = json::array();
  for (const auto& [name, announcement] : this->routers) {
    rows.push_back({{"router", name},
                    {"incarnation", announcement.incarnation},
                    {"living", this->IsActive(announcement.incarnation)},
                    {"leaving", announcement.leaving},
                    {"domain", announcement.domain},
                    {"client_address", announcement.client_address},
                    {"peer_address", announcement.peer_address},
                    {"config_version", announcement.config_version},
                    {"log_era", announcement.log_era}});
  }
  return {{"config_version", this->config.version},
          {"routers", std::move(rows)}};
}

auto FleetView::IsActive(const std::string& incarnation) const -> bool {
  return this->active_incarnations.contains(incarnation);
}

}  // namespace auburnloft
