#include "ctl/fleet_view.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace auburnloft {

namespace {

using nlohmann::json;

/** A team's tokens by where they are. */
struct Balance {
  std::uint64_t spent = 0;
  std::uint64_t out = 0;
  std::uint64_t stranded = 0;
};

}  // namespace

//==============================================================================
// Commands

auto FleetView::SetConfig(gateway::FleetConfig config) -> void {
  this->config = std::move(config);
}

auto FleetView::Apply(const gateway::KeyedRecord& record, bool is_new) -> void {
  if (auto said = gateway::ReadAnnouncement(record)) {
    if (is_new) {
      this->active.insert(said->incarnation);
    }
    this->routers[said->name] = std::move(*said);
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
  for (const auto& [name, said] : this->routers) {
    rows.push_back({{"router", name},
                    {"incarnation", said.incarnation},
                    {"living", this->IsActive(said.incarnation)},
                    {"leaving", said.leaving},
                    {"domain", said.domain},
                    {"client_address", said.client_address},
                    {"peer_address", said.peer_address},
                    {"config_version", said.config_version}});
  }
  return {{"config_version", this->config.version},
          {"routers", std::move(rows)}};
}

auto FleetView::IsActive(const std::string& incarnation) const -> bool {
  return this->active.contains(incarnation);
}

}  // namespace auburnloft
