#include "support/allowance_fleet.h"

#include <algorithm>

namespace auburnloft::gateway {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kPlanPause = std::chrono::milliseconds(250);
constexpr Duration kReadPause = std::chrono::milliseconds(100);
constexpr Duration kReportPause = std::chrono::milliseconds(1'000);
constexpr Duration kAppendTime = std::chrono::milliseconds(10);
constexpr Duration kMostLate = std::chrono::milliseconds(3'000);
constexpr Duration kRequestTime = std::chrono::milliseconds(1'500);
constexpr double kUsedPart = 0.55;
constexpr std::uint64_t kBytesPerEntry = 60;
const std::string kTeam = "team";

}  // namespace

struct AllowanceFleet::Life {
  Life(std::string name, const AllowanceSizing& allowances)
      : holder(std::move(name)), desk(holder, allowances) {}

  std::string holder;
  AllowanceManager desk;
  AllowanceLedger ledger;
  std::size_t read_to = 0;
  bool cut = false;
  bool paused = false;
  bool append_open = false;  ///< Sent and not answered.
  Instant next_plan{};
  Instant next_read{};
  Instant next_report{};
};

struct AllowanceFleet::OpenRequest {
  std::string holder;
  std::uint64_t reserved = 0;
  Instant ends_at{};
};

struct AllowanceFleet::PendingAppend {
  std::string holder;
  std::vector<AllowanceEntry> entries;
  Instant at{};
};

AllowanceFleet::AllowanceFleet(const Settings& settings)
    : settings(settings), random(settings.seed), now(FromUnixMillis(1'000)) {
  this->lives.resize(static_cast<std::size_t>(settings.routers));
  for (std::size_t i = 0; i < this->lives.size(); ++i) {
    this->StartLife(i);
  }
}

AllowanceFleet::~AllowanceFleet() = default;

//==============================================================================
// Commands

auto AllowanceFleet::Run(Duration duration) -> void {
  for (const Instant end = this->now + duration; this->now < end;
       this->now += kStep) {
    this->Step();
  }
}

auto AllowanceFleet::SetCut(int router, bool cut) -> void {
  for (std::size_t i = 0; i < this->lives.size(); ++i) {
    if (router < 0 || static_cast<std::size_t>(router) == i) {
      this->lives[i]->cut = cut;
    }
  }
}

auto AllowanceFleet::SetPaused(int router, bool paused) -> void {
  this->lives[static_cast<std::size_t>(router)]->paused = paused;
}

auto AllowanceFleet::Kill(int router) -> void {
  for (std::size_t i = 0; i < this->lives.size(); ++i) {
    if (router >= 0 && static_cast<std::size_t>(router) != i) {
      continue;
    }
    const std::string holder = this->lives[i]->holder;
    this->held_by_dead += this->lives[i]->desk.Available(kTeam);
    for (const OpenRequest& request : this->open) {
      // Its upstream may have run it: it counts at its most.
      this->settled_by_all += request.holder == holder ? request.reserved : 0;
    }
    std::erase_if(this->open, [&](const OpenRequest& request) {
      return request.holder == holder;
    });
    const bool cut = this->lives[i]->cut;
    this->StartLife(i);
    this->lives[i]->cut = cut;
  }
}

auto AllowanceFleet::TopUp(std::uint64_t tokens) -> void {
  this->settings.budget += tokens;
  for (const auto& life : this->lives) {
    life->desk.SetBudget(kTeam, this->settings.budget);
  }
}

//==============================================================================
// Queries

auto AllowanceFleet::report() const -> Report {
  Report result = this->seen;
  result.spent = this->settled_by_all;
  result.stranded = this->held_by_dead;
  return result;
}

//==============================================================================

auto AllowanceFleet::Step() -> void {
  this->ExecuteDue();
  this->SettleDue();
  for (const auto& life : this->lives) {
    if (life->paused) {
      continue;
    }
    if (!life->cut && this->now >= life->next_read) {
      this->Read(*life);
      life->next_read = this->now + kReadPause;
    }
    if (!life->cut && this->now >= life->next_plan) {
      this->PlanAndAppend(*life);
      life->next_plan = this->now + kPlanPause;
    }
  }
  this->Arrive();
  if (this->CommittedByAll() > this->settings.budget) {
    this->seen.overspent = true;
  }
}

auto AllowanceFleet::Arrive() -> void {
  const double expected = this->settings.requests_per_second *
                          this->demand_factor * ToSeconds(kStep);
  int count = static_cast<int>(expected);
  count += this->random.Chance(expected - count) ? 1 : 0;
  for (int i = 0; i < count; ++i) {
    Life& life = *this->lives[this->random.Below(this->lives.size())];
    if (life.paused) {
      continue;
    }
    const std::uint64_t tokens =
        1 + this->random.Below(this->settings.most_tokens);
    ++this->seen.requests;
    bool reserved = life.desk.TryReserve(kTeam, tokens, true, this->now);
    if (!reserved && this->settings.passes_gifts) {
      life.desk.SetWaitingTokens(kTeam, tokens);
      this->AskOthers(life);
      reserved = life.desk.TryReserve(kTeam, tokens, false, this->now);
      life.desk.SetWaitingTokens(kTeam, 0);
    }
    if (reserved) {
      this->open.push_back({life.holder, tokens, this->now + kRequestTime});
      continue;
    }
    ++this->seen.refused;
    if (this->CommittedByAll() + tokens <= this->settings.budget) {
      ++this->seen.refused_falsely;
    }
  }
}

auto AllowanceFleet::SettleDue() -> void {
  for (const OpenRequest& request : this->open) {
    if (this->now < request.ends_at) {
      continue;
    }
    const auto used = static_cast<std::uint64_t>(
        kUsedPart * static_cast<double>(request.reserved));
    for (const auto& life : this->lives) {
      if (life->holder == request.holder) {
        life->desk.Settle(kTeam, request.reserved, used);
        this->settled_by_all += used;
      }
    }
  }
  std::erase_if(this->open, [this](const OpenRequest& request) {
    return this->now >= request.ends_at;
  });
}

auto AllowanceFleet::ExecuteDue() -> void {
  for (PendingAppend& append : this->pending) {
    if (this->now < append.at) {
      continue;
    }
    for (const AllowanceEntry& entry : append.entries) {
      this->log.push_back(entry);
    }
    for (const auto& life : this->lives) {
      if (life->holder == append.holder) {
        life->append_open = false;
      }
    }
  }
  std::erase_if(this->pending, [this](const PendingAppend& append) {
    return this->now >= append.at;
  });
}

auto AllowanceFleet::Read(Life& life) -> void {
  for (; life.read_to < this->log.size(); ++life.read_to) {
    const AllowanceEntry& entry = this->log[life.read_to];
    life.ledger.Apply(entry);
    if (entry.holder == life.holder) {
      life.desk.OnRecorded(entry, life.ledger.Taken(kTeam));
    }
  }
}

auto AllowanceFleet::PlanAndAppend(Life& life) -> void {
  if (life.append_open) {
    return;
  }
  const bool reports = this->now >= life.next_report;
  std::vector<AllowanceEntry> entries = life.desk.PlanEntries(
      life.ledger, this->ViewOf(life), reports, this->now);
  if (reports) {
    life.next_report = this->now + kReportPause;
  }
  if (entries.empty()) {
    return;
  }
  ++this->seen.appends;
  this->seen.append_bytes += kBytesPerEntry * entries.size();
  Instant at = this->now + kAppendTime;
  if (this->random.Chance(this->settings.late_appends)) {
    at += Duration(static_cast<std::int64_t>(
        this->random.Below(static_cast<std::uint64_t>(kMostLate.count()))));
  } else if (this->random.Chance(this->settings.lost_replies)) {
    // Sent again under its number: the log has it once, and tells so later.
    at += kPlanPause;
  }
  life.append_open = true;
  this->pending.push_back({life.holder, std::move(entries), at});
}

auto AllowanceFleet::ViewOf(const Life& life) const -> FleetStatus {
  FleetStatus view;
  view.routers = this->settings.routers;
  view.reserve_holders =
      std::min(this->settings.routers, this->settings.reserve_holders);
  bool holds = false;
  for (int i = 0; i < view.reserve_holders; ++i) {
    holds = holds || this->lives[static_cast<std::size_t>(i)].get() == &life;
  }
  view.holds_reserve = [holds](std::string_view /*team*/) { return holds; };
  view.is_active = [this](std::string_view holder) {
    return this->IsAlive(holder);
  };
  return view;
}

auto AllowanceFleet::AskOthers(Life& life) -> void {
  for (const auto& other : this->lives) {
    const std::uint64_t short_of = life.desk.Shortage(kTeam, this->now);
    if (short_of == 0) {
      return;
    }
    if (other.get() == &life || other->paused) {
      continue;
    }
    const std::uint64_t given =
        this->settings.charges_gifts
            ? other->desk.TransferOut(kTeam, short_of, this->now)
            : short_of;
    life.desk.ReceiveTransfer(kTeam, given);
    this->seen.gifts += given > 0 ? 1 : 0;
  }
}

auto AllowanceFleet::StartLife(std::size_t router) -> void {
  this->lives[router] = std::make_unique<Life>(
      "r" + std::to_string(router) + "#" + std::to_string(++this->last_life),
      this->settings.allowances);
  this->lives[router]->desk.SetBudget(kTeam, this->settings.budget);
}

auto AllowanceFleet::IsAlive(std::string_view holder) const -> bool {
  return std::any_of(
      this->lives.begin(), this->lives.end(),
      [holder](const auto& life) { return life->holder == holder; });
}

auto AllowanceFleet::CommittedByAll() const -> std::uint64_t {
  std::uint64_t tokens = this->settled_by_all;
  for (const OpenRequest& request : this->open) {
    tokens += request.reserved;
  }
  return tokens;
}

}  // namespace auburnloft::gateway
