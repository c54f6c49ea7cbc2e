#include "ctl/commands.h"

#include <array>
#include <charconv>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "al_config/check/configuration_parser.h"
#include "al_core/text/digest.h"
#include "al_core/text/text_file.h"
#include "al_operator/session/operator_session.h"
#include "ctl/fleet_commands.h"
#include "ctl/merge_patch.h"

namespace auburnloft {

namespace {

using nlohmann::json;
using Words = std::span<const std::string>;

/** Random bytes in a generated bearer key or top-up ID. */
constexpr int kKeyBytes = 24;
constexpr int kHttpOk = 200;

/** Implements the commands that need the platform. */
class Commands {
 public:
  explicit Commands(const SettingsReader& settings)
      : settings(settings),
        session(settings.Text("platform-address"), settings.Text("operator")) {}

  //============================================================================
  // Configuration

  auto ShowConfig(Words /*words*/) -> CtlExit {
    const std::optional<ConfigStateMachine> fold = this->session.ReadConfig();
    if (!fold) {
      return this->ReportError();
    }
    std::cout << json{{"version", fold->version()},
                      {"document", fold->document()}}
                     .dump(2)
              << "\n";
    return CtlExit::kDone;
  }

  auto PublishConfig(Words words) -> CtlExit {
    const std::string text = ReadTextFile(words[0]);
    Findings findings;
    if (!ParseConfiguration(text, findings)) {
      std::cerr << findings.ToText();
      return CtlExit::kRejected;
    }
    const std::optional<ConfigStateMachine> fold = this->session.ReadConfig();
    if (!fold) {
      return this->ReportError();
    }
    const std::int64_t base_setting = this->settings.Integer("base");
    const std::uint64_t base = base_setting < 0
                                   ? fold->version()
                                   : static_cast<std::uint64_t>(base_setting);
    return this->Publish(base,
                         MakeMergePatch(fold->document(), json::parse(text)));
  }

  auto CreateTeam(Words words) -> CtlExit {
    const std::optional<ConfigStateMachine> fold = this->session.ReadConfig();
    if (!fold) {
      return this->ReportError();
    }
    if (fold->document().value("teams", json::object()).contains(words[0])) {
      std::cerr << "team \"" << words[0] << "\" already exists\n";
      return CtlExit::kRejected;
    }
    const std::string setting = this->settings.Text("key");
    const std::string key =
        setting.empty() ? SecureRandomHex(kKeyBytes) : setting;
    json patch;
    patch["teams"][words[0]]["key_sha256"] = Sha256Hex(key);
    json after = fold->document();
    after.merge_patch(patch);
    Findings findings;
    if (!ParseConfiguration(after.dump(), findings)) {
      std::cerr << findings.ToText();
      return CtlExit::kRejected;
    }
    const CtlExit exit = this->Publish(fold->version(), patch);
    if (exit == CtlExit::kDone) {
      std::cout << "bearer key: " << key << "\n";
    }
    return exit;
  }

  //============================================================================
  // Budgets

  auto TopUp(Words words) -> CtlExit {
    std::int64_t tokens = 0;
    const std::string& digits = words[1];
    std::from_chars(digits.data(), digits.data() + digits.size(), tokens);
    if (tokens <= 0) {
      std::cerr << "\"" << digits << "\" is not a positive number of tokens\n";
      return CtlExit::kError;
    }
    const std::string setting = this->settings.Text("id");
    wire::LedgerEntry entry;
    wire::TopUp& top_up = *entry.mutable_top_up();
    top_up.set_team(words[0]);
    top_up.set_top_up_id(setting.empty() ? SecureRandomHex(kKeyBytes)
                                         : setting);
    top_up.set_tokens(tokens);
    top_up.set_author(this->settings.Text("operator"));
    top_up.set_reason(this->settings.Text("reason"));
    return this->Submit(words[0], std::move(entry));
  }

  auto ShowBalance(Words words) -> CtlExit {
    const std::optional<PartitionLedger> ledger = this->ReadLedgerOf(words[0]);
    if (!ledger) {
      return this->ReportError();
    }
    const PartitionLedger::Team* const team = ledger->Find(TeamId(words[0]));
    if (team == nullptr) {
      std::cerr << "team \"" << words[0] << "\" has no budget\n";
      return CtlExit::kRejected;
    }
    const TeamAccount& account = team->account;
    json out = {{"team", words[0]},
                {"topped_up", account.topped_up()},
                {"billed", account.billed()},
                {"bills", account.bill_count()},
                {"allowances_out", account.TotalAllowances()},
                {"unallocated", account.unallocated()},
                {"adds_up", ledger->AreTotalsConsistent()}};
    for (const auto& [holder, balance] : account.holders()) {
      out["holders"].push_back({{"holder", holder.value()},
                                {"tokens", balance.tokens},
                                {"closed", balance.closed}});
    }
    std::cout << out.dump(2) << "\n";
    return CtlExit::kDone;
  }

  auto ListBills(Words words) -> CtlExit {
    std::vector<OperatorSession::Bill> bills;
    if (!this->ReadLedgerOf(words[0], &bills)) {
      return this->ReportError();
    }
    json out = json::array();
    for (const OperatorSession::Bill& item : bills) {
      if (item.bill.team() == words[0]) {
        out.push_back({{"key", item.bill.request_key()},
                       {"tokens", item.bill.tokens()},
                       {"class", item.bill.request_class()},
                       {"holder", item.bill.holder()},
                       {"offset", item.offset}});
      }
    }
    std::cout << out.dump(2) << "\n";
    return CtlExit::kDone;
  }

  //============================================================================
  // At-most-once requests whose outcome is unknown

  auto ListUnknown(Words words) -> CtlExit {
    const std::optional<PartitionLedger> ledger = this->ReadLedgerOf(words[0]);
    if (!ledger) {
      return this->ReportError();
    }
    json out = json::array();
    if (const PartitionLedger::Team* const team =
            ledger->Find(TeamId(words[0]))) {
      for (const auto& [key, claim] : team->claims.all()) {
        if (claim.state() == wire::OUTCOME_UNKNOWN) {
          out.push_back({{"key", key.value()},
                         {"holder", claim.holder()},
                         {"issued_at_ms", claim.issued_at_ms()}});
        }
      }
    }
    std::cout << out.dump(2) << "\n";
    return CtlExit::kDone;
  }

  auto ResolveUnknown(Words words) -> CtlExit {
    const bool executed = words[2] == "ran";
    if (!executed && words[2] != "not-run") {
      std::cerr << "\"" << words[2]
                << "\" is not a valid outcome: expected ran or not-run\n";
      return CtlExit::kError;
    }
    if (this->settings.Text("reason").empty()) {
      std::cerr << "--reason: this command requires a reason\n";
      return CtlExit::kError;
    }
    wire::LedgerEntry entry;
    wire::Resolve& resolve = *entry.mutable_resolve();
    resolve.set_team(words[0]);
    resolve.set_request_key(words[1]);
    resolve.set_state(executed ? wire::OUTCOME_RAN : wire::OUTCOME_NOT_RUN);
    resolve.set_author(this->settings.Text("operator"));
    resolve.set_reason(this->settings.Text("reason"));
    return this->Submit(words[0], std::move(entry));
  }

  //============================================================================
  // Routers

  auto ShowState(Words words) -> CtlExit {
    HttpCall call;
    call.address = words[0];
    call.path = "/state";
    return this->PrintCall(std::move(call));
  }

  auto DrainRouter(Words words) -> CtlExit {
    HttpCall call;
    call.address = words[0];
    call.method = "POST";
    call.path = "/admin/drain";
    call.headers.push_back(
        {"authorization", "Bearer " + this->settings.Text("admin-key")});
    return this->PrintCall(std::move(call));
  }

  //============================================================================

  static auto CheckConfig(Words words) -> CtlExit {
    Findings findings;
    if (!ParseConfiguration(ReadTextFile(words[0]), findings)) {
      std::cout << findings.ToText();
      return CtlExit::kRejected;
    }
    std::cout << words[0] << ": no findings\n";
    return CtlExit::kDone;
  }

 private:
  /** Prints why the last call of the session failed. */
  auto ReportError() -> CtlExit {
    std::cerr << this->session.last_error() << "\n";
    return CtlExit::kError;
  }

  /** Publishes a merge patch and prints the new version. */
  auto Publish(std::uint64_t base, const json& patch) -> CtlExit {
    const std::optional<std::uint64_t> version =
        this->session.PublishConfig(base, patch, this->settings.Text("reason"));
    if (!version) {
      std::cerr << this->session.last_error() << "\n";
      return CtlExit::kRejected;
    }
    std::cout << "configuration version " << *version << " is published\n";
    return CtlExit::kDone;
  }

  /** Reads the ledger partition of a team. The reason of a failure is in
      `session.last_error()`.
      @param bills  receives the valid bills of the partition; may be null. */
  auto ReadLedgerOf(const std::string& team,
                    std::vector<OperatorSession::Bill>* bills = nullptr)
      -> std::optional<PartitionLedger> {
    const std::optional<PartitionIndex> partition =
        this->session.PartitionOf(TeamId(team));
    return partition ? this->session.ReadLedger(*partition, bills)
                     : std::nullopt;
  }

  /** Appends an entry to the ledger partition of a team and prints whether it
      took effect. */
  auto Submit(const std::string& team, wire::LedgerEntry entry) -> CtlExit {
    const std::optional<PartitionIndex> partition =
        this->session.PartitionOf(TeamId(team));
    const std::optional<wire::Verdict> verdict =
        partition ? this->session.SubmitEntry(*partition, std::move(entry))
                  : std::nullopt;
    if (!verdict) {
      return this->ReportError();
    }
    const bool done =
        *verdict == wire::VERDICT_VALID || *verdict == wire::VERDICT_REPEATED;
    std::cout << (*verdict == wire::VERDICT_VALID      ? "recorded"
                  : *verdict == wire::VERDICT_REPEATED ? "was already recorded"
                                                       : "rejected: ")
              << (done ? "" : wire::Verdict_Name(*verdict)) << "\n";
    return done ? CtlExit::kDone : CtlExit::kRejected;
  }

  /** Calls a router and prints the body of its response. */
  auto PrintCall(HttpCall call) -> CtlExit {
    const std::optional<HttpResponse> response =
        this->session.Call(std::move(call));
    if (!response) {
      return this->ReportError();
    }
    std::cout << response->body << "\n";
    return response->status == kHttpOk ? CtlExit::kDone : CtlExit::kRejected;
  }

  const SettingsReader& settings;
  OperatorSession session;
};

/** A command that needs the platform. */
struct CommandRow {
  std::string_view first;
  std::string_view second;  ///< Empty for commands of one word.
  std::size_t argument_count;
  CtlExit (Commands::*handler)(Words);
};

constexpr std::array<CommandRow, 10> kCommands = {{
    {"config", "show", 0, &Commands::ShowConfig},
    {"config", "publish", 1, &Commands::PublishConfig},
    {"team", "create", 1, &Commands::CreateTeam},
    {"topup", "", 2, &Commands::TopUp},
    {"balance", "", 1, &Commands::ShowBalance},
    {"bills", "", 1, &Commands::ListBills},
    {"unknown", "list", 1, &Commands::ListUnknown},
    {"unknown", "resolve", 3, &Commands::ResolveUnknown},
    {"state", "", 1, &Commands::ShowState},
    {"drain", "", 1, &Commands::DrainRouter},
}};

}  // namespace

auto CommandHelp() -> std::string_view {
  return "config check FILE | config show | config publish FILE [--base N] | "
         "team create NAME [--key KEY] | topup TEAM TOKENS [--id ID] | "
         "balance TEAM | bills TEAM | unknown list TEAM | "
         "unknown resolve TEAM KEY ran|not-run --reason TEXT | "
         "state ADDRESS | drain ADDRESS --admin-key KEY; "
         "for gateway fleets, with --log-address: fleet balances | "
         "fleet routers | fleet release-part PART; from decision logs: explain "
         "ID FILE...; without a fleet: check FILE [--against FILE] [--json]";
}

auto RunCommand(Words words, const SettingsReader& settings) -> CtlExit {
  const bool is_check =
      words.size() == 3 && words[0] == "config" && words[1] == "check";
  if (is_check) {
    return Commands::CheckConfig(words.subspan(2));
  }
  if (const auto exit = RunFleetCommand(words, settings)) {
    return *exit;
  }
  for (const CommandRow& row : kCommands) {
    const std::size_t name_count = row.second.empty() ? 1 : 2;
    const bool matches = words.size() == name_count + row.argument_count &&
                         words[0] == row.first &&
                         (name_count == 1 || words[1] == row.second);
    if (!matches) {
      continue;
    }
    if (settings.Text("platform-address").empty()) {
      std::cerr << "--platform-address or AUBURNLOFT_PLATFORM_ADDRESS: this "
                   "command requires an address\n";
      return CtlExit::kError;
    }
    Commands commands(settings);
    return (commands.*row.handler)(words.subspan(name_count));
  }
  std::cerr << "usage: auburnloft-ctl " << CommandHelp() << "\n";
  return CtlExit::kError;
}

}  // namespace auburnloft
