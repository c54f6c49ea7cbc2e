#include "load/audit.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace auburnloft::load {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kReadAgain{500};

}  // namespace

Audit::Audit(std::string platform_address,
             std::vector<std::string> routers,
             std::vector<std::string> services)
    : session(std::move(platform_address), "audit"),
      routers(std::move(routers)),
      services(std::move(services)) {}

auto Audit::Budgets(std::span<const TeamId> teams) -> std::map<TeamId, Tokens> {
  std::map<TeamId, Tokens> budgets;
  for (const TeamId& team : teams) {
    const std::optional<PartitionIndex> partition =
        this->session.PartitionOf(team);
    const std::optional<PartitionLedger> ledger =
        partition ? this->session.ReadLedger(*partition, nullptr)
                  : std::nullopt;
    const PartitionLedger::Team* const found =
        ledger ? ledger->Find(team) : nullptr;
    if (found != nullptr) {
      budgets[team] = found->account.topped_up() - found->account.billed();
    }
  }
  return budgets;
}

auto Audit::Run(std::span<const TeamId> teams,
                std::span<const RequestResult> results,
                Duration patience) -> AuditReport {
  const auto end = std::chrono::steady_clock::now() + patience;
  AuditReport report = this->ReadOnce(teams, results);
  while ((!report.complete || report.unbilled > 0) &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kReadAgain);
    report = this->ReadOnce(teams, results);
  }
  return report;
}

auto Audit::ReadOnce(std::span<const TeamId> teams,
                     std::span<const RequestResult> results) -> AuditReport {
  AuditReport report;
  report.complete = true;
  report.adds_up = true;
  const std::set<std::string> live = this->LiveIncarnations();
  for (const TeamId& team : teams) {
    const BillsByKey bills = this->ReadTeam(team, live, report);
    for (const auto& [key, amounts] : bills) {
      report.double_billed += amounts.size() > 1 ? 1 : 0;
    }
    for (const RequestResult& result : results) {
      if (result.team != team || result.kind != ResultKind::kWhole ||
          result.used == 0) {
        continue;
      }
      const auto found = bills.find(result.key);
      if (found == bills.end()) {
        ++report.unbilled;
      } else if (found->second.front() != result.used) {
        ++report.wrong_amount;
      }
    }
  }
  report.double_run = this->CountDoubleRuns();
  return report;
}

auto Audit::ReadTeam(const TeamId& team,
                     const std::set<std::string>& live,
                     AuditReport& report) -> BillsByKey {
  BillsByKey by_key;
  const std::optional<PartitionIndex> partition =
      this->session.PartitionOf(team);
  std::vector<OperatorSession::Bill> bills;
  const std::optional<PartitionLedger> ledger =
      partition ? this->session.ReadLedger(*partition, &bills) : std::nullopt;
  const PartitionLedger::Team* const found =
      ledger ? ledger->Find(team) : nullptr;
  if (found == nullptr) {
    report.complete = false;
    return by_key;
  }
  report.adds_up = report.adds_up && ledger->SumRuleHolds();
  Tokens served = 0;
  for (const OperatorSession::Bill& item : bills) {
    if (item.bill.team() == team.value()) {
      by_key[item.bill.request_key()].push_back(item.bill.tokens());
      served += item.bill.tokens();
    }
  }
  const Tokens spent = std::max(served, found->account.billed());
  report.overspend += std::max<Tokens>(0, spent - found->account.topped_up());
  for (const auto& [holder, balance] : found->account.holders()) {
    report.stranded += live.contains(holder.value()) ? 0 : balance.tokens;
  }
  return by_key;
}

auto Audit::GetJson(const std::string& address, std::string path) -> json {
  HttpCall call;
  call.address = address;
  call.path = std::move(path);
  const std::optional<HttpResponse> answer =
      this->session.Call(std::move(call));
  return json::parse(answer ? answer->body : "", nullptr, false);
}

auto Audit::LiveIncarnations() -> std::set<std::string> {
  std::set<std::string> live;
  for (const std::string& router : this->routers) {
    const json state = this->GetJson(router, "/state");
    if (state.is_object()) {
      live.insert(state.value("incarnation", ""));
    }
  }
  return live;
}

auto Audit::CountDoubleRuns() -> std::uint64_t {
  std::map<std::string, int> executions;
  for (const std::string& service : this->services) {
    const json counts = this->GetJson(service, "/executions");
    if (!counts.is_object()) {
      continue;
    }
    for (const auto& [key, count] : counts.items()) {
      executions[key] += count.get<int>();
    }
  }
  return static_cast<std::uint64_t>(std::ranges::count_if(
      executions, [](const auto& item) { return item.second > 1; }));
}

}  // namespace auburnloft::load
