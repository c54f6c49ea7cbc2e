#include "ctl/fleet_view.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace auburnloft {

namespace {

using nlohmann::json;

/** Tokens that routers have taken of a team's budget. */
struct Balance {
  std::uint64_t spent = 0;
  std::uint64_t out = 0;       ///< Unspent, held by active routers.
  std::uint64_t stranded = 0;  ///< Unspent, held by other incarnations.
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
  } else if (auto entry = gateway::ReadAllowance(record)) {
    this->ledger.Apply(std::move(*entry));
  }
}

//==============================================================================
// Queries

auto FleetView::BalancesAsJson() const -> json {
  json rows = json::array();
  for (const gateway::TeamRule& team : this->config.teams) {
    Balance balance;
    this->ledger.VisitTeam(
        team.name, [&](const gateway::AllowanceEntry& entry) {
          const std::uint64_t unspent =
              entry.taken_tokens - entry.settled_tokens;
          balance.spent += entry.settled_tokens;
          (this->IsActive(entry.holder) ? balance.out : balance.stranded) +=
              unspent;
        });
    const std::uint64_t taken = balance.spent + balance.out + balance.stranded;
    const std::uint64_t prepaid = team.prepaid_tokens.value_or(0);
    json row{{"team", team.name},
             {"spent", balance.spent},
             {"out", balance.out},
             {"stranded", balance.stranded}};
    if (team.prepaid_tokens) {
      row["prepaid"] = prepaid;
      row["left"] = prepaid > taken ? prepaid - taken : 0;
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
                    {"config_version", announcement.config_version}});
  }
  return {{"config_version", this->config.version},
          {"routers", std::move(rows)}};
}

auto FleetView::IsActive(const std::string& incarnation) const -> bool {
  return this->active_incarnations.contains(incarnation);
}

}  // namespace auburnloft
