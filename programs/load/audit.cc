#include "load/audit.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "al_json/json_reading.h"

namespace auburnloft::load {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kReadInterval{500};

}  // namespace

Audit::Audit(std::string platform_address,
             std::vector<std::string> routers,
             std::vector<std::string> services)
    : session(std::move(platform_address), "audit"),
      routers(std::move(routers)),
      services(std::move(services)) {}

auto Audit::ReadBudgets(std::span<const TeamId> teams)
    -> std::map<TeamId, Tokens> {
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
                Duration timeout) -> AuditReport {
  const auto end = std::chrono::steady_clock::now() + timeout;
  AuditReport report = this->ReadOnce(teams, results);
  while ((!report.is_complete || report.unbilled > 0) &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kReadInterval);
    report = this->ReadOnce(teams, results);
  }
  return report;
}

auto Audit::ReadOnce(std::span<const TeamId> teams,
                     std::span<const RequestResult> results) -> AuditReport {
  AuditReport report;
  report.is_complete = true;
  report.is_balanced = true;
  const std::set<std::string> active = this->ReadActiveIncarnations();
  for (const TeamId& team : teams) {
    const BillsByKey bills = this->ReadTeam(team, active, report);
    for (const auto& [key, amounts] : bills) {
      report.double_billed += amounts.size() > 1 ? 1 : 0;
    }
    for (const RequestResult& result : results) {
      if (result.team != team || result.kind != ResultKind::kComplete ||
          result.used_tokens == 0) {
        continue;
      }
      const auto found = bills.find(result.key);
      if (found == bills.end()) {
        ++report.unbilled;
      } else if (found->second.front() != result.used_tokens) {
        ++report.wrong_amounts;
      }
    }
  }
  report.double_executions = this->CountDoubleExecutions();
  return report;
}

auto Audit::ReadTeam(const TeamId& team,
                     const std::set<std::string>& active,
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
    report.is_complete = false;
    return by_key;
  }
  report.is_balanced = report.is_balanced && ledger->AreTotalsConsistent();
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
    report.stranded += active.contains(holder.value()) ? 0 : balance.tokens;
  }
  return by_key;
}

auto Audit::GetJson(const std::string& address, std::string path) -> json {
  HttpCall call;
  call.address = address;
  call.path = std::move(path);
  const std::optional<HttpResponse> answer =
      this->session.Call(std::move(call));
  return ParseStrictJson(answer ? answer->body : "");
}

auto Audit::ReadActiveIncarnations() -> std::set<std::string> {
  std::set<std::string> active;
  for (const std::string& router : this->routers) {
    const json state = this->GetJson(router, "/state");
    if (state.is_object()) {
      active.insert(FindText(state, "incarnation").value_or(""));
    }
  }
  return active;
}

auto Audit::CountDoubleExecutions() -> std::uint64_t {
  std::map<std::string, int> executions;
  for (const std::string& service : this->services) {
    const json counts = this->GetJson(service, "/executions");
    if (!counts.is_object()) {
      continue;
    }
    for (const auto& [key, count] : counts.items()) {
      executions[key] += count.is_number_integer() ? count.get<int>() : 0;
    }
  }
  return static_cast<std::uint64_t>(std::ranges::count_if(
      executions, [](const auto& item) { return item.second > 1; }));
}

}  // namespace auburnloft::load
