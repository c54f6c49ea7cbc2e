#include "gateway/budget_gate.h"

#include <algorithm>
#include <set>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"

namespace auburnloft::gateway {

namespace {

/** After this long without an answer it is asked again, and elsewhere: a few
   appends to the log. */
constexpr Duration kAskAgain = std::chrono::milliseconds(25);

}  // namespace

BudgetGate::BudgetGate(EventLoop& loop,
                       AllowanceManager& desk,
                       std::function<void(const std::string& team)> ask)
    : loop(loop),
      desk(desk),
      ask(std::move(ask)),
      timer(std::make_unique<LoopTimer>(loop, [this] { this->OnTimer(); })) {}

BudgetGate::~BudgetGate() = default;

auto BudgetGate::Reserve(const std::string& team,
                         std::uint64_t tokens,
                         Duration limit,
                         OnAnswer on_answer) -> Ticket {
  const Instant now = this->loop.Now();
  const bool reserved = this->desk.TryReserve(team, tokens, true, now);
  if (reserved && this->desk.Shortage(team, now) > 0) {
    this->ask(team);  // For the requests to come.
  }
  if (reserved || limit.count() <= 0 || this->spent(team, tokens)) {
    on_answer(reserved                    ? BudgetAnswer::kReserved
              : this->spent(team, tokens) ? BudgetAnswer::kSpent
                                          : BudgetAnswer::kUnavailable);
    return 0;
  }
  this->waiting.push_back(
      {++this->last_ticket, team, tokens, now + limit, std::move(on_answer)});
  this->UpdateWanted(team);
  this->StartTimer();
  this->ask(team);
  return this->last_ticket;
}

auto BudgetGate::Cancel(Ticket ticket) -> void {
  const auto found = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [ticket](const Waiting& item) { return item.ticket == ticket; });
  if (found != this->waiting.end()) {
    const std::string team = found->team;
    this->waiting.erase(found);
    this->UpdateWanted(team);
  }
}

auto BudgetGate::TryWaiting(const std::string& team) -> void {
  const Instant now = this->loop.Now();
  std::list<Waiting> served;
  for (auto item = this->waiting.begin(); item != this->waiting.end();) {
    const auto next = std::next(item);
    if (item->team == team &&
        this->desk.TryReserve(team, item->tokens, false, now)) {
      served.splice(served.end(), this->waiting, item);
    }
    item = next;
  }
  this->UpdateWanted(team);
  if (this->desk.Shortage(team, now) > 0 && this->IsAwaited(team)) {
    this->ask(team);
  }
  for (const Waiting& item : served) {
    item.answer(BudgetAnswer::kReserved);
  }
}

auto BudgetGate::IsAwaited(const std::string& team) const -> bool {
  return std::any_of(this->waiting.begin(), this->waiting.end(),
                     [&](const Waiting& item) { return item.team == team; });
}

auto BudgetGate::OnTimer() -> void {
  const Instant now = this->loop.Now();
  std::list<Waiting> late;
  for (auto item = this->waiting.begin(); item != this->waiting.end();) {
    const auto next = std::next(item);
    if (now >= item->until) {
      late.splice(late.end(), this->waiting, item);
    }
    item = next;
  }
  for (const Waiting& item : late) {
    this->UpdateWanted(item.team);
    item.answer(this->spent(item.team, item.tokens)
                    ? BudgetAnswer::kSpent
                    : BudgetAnswer::kUnavailable);
  }
  std::set<std::string> teams;
  for (const Waiting& item : this->waiting) {
    teams.insert(item.team);
  }
  for (const std::string& team : teams) {
    this->ask(team);  // The first ask may have gone to a log that is away.
  }
  this->StartTimer();
}

auto BudgetGate::UpdateWanted(const std::string& team) -> void {
  std::uint64_t tokens = 0;
  for (const Waiting& item : this->waiting) {
    tokens += item.team == team ? item.tokens : 0;
  }
  this->desk.SetWaitingTokens(team, tokens);
}

auto BudgetGate::StartTimer() -> void {
  if (this->waiting.empty()) {
    return;
  }
  const auto first =
      std::min_element(this->waiting.begin(), this->waiting.end(),
                       [](const Waiting& left, const Waiting& right) {
                         return left.until < right.until;
                       });
  this->timer->Start(std::min(first->until - this->loop.Now(), kAskAgain));
}

}  // namespace auburnloft::gateway
