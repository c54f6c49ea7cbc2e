#include "gateway/reservation_queue.h"

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

ReservationQueue::ReservationQueue(
    EventLoop& loop,
    AllowanceDesk& allowance_manager,
    std::function<void(const std::string& team)> ask)
    : loop(loop),
      allowance_manager(allowance_manager),
      ask(std::move(ask)),
      timer(std::make_unique<LoopTimer>(loop, [this] { this->OnTimer(); })) {}

ReservationQueue::~ReservationQueue() = default;

auto ReservationQueue::Reserve(const std::string& team,
                               std::uint64_t tokens,
                               Duration limit,
                               OnResult on_answer) -> Ticket {
  const Instant now = this->loop.Now();
  const bool reserved =
      this->allowance_manager.TryReserve(team, tokens, true, now);
  if (reserved && this->allowance_manager.Shortage(team, now) > 0) {
    this->ask(team);  // For the requests to come.
  }
  if (reserved || limit.count() <= 0 || this->spent(team, tokens)) {
    on_answer(reserved                    ? ReservationResult::kReserved
              : this->spent(team, tokens) ? ReservationResult::kBudgetExhausted
                                          : ReservationResult::kUnavailable);
    return 0;
  }
  this->waiting.push_back(
      {++this->last_ticket, team, tokens, now + limit, std::move(on_answer)});
  this->UpdateWanted(team);
  this->StartTimer();
  this->ask(team);
  return this->last_ticket;
}

auto ReservationQueue::Cancel(Ticket ticket) -> void {
  const auto found = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [ticket](const Waiting& item) { return item.ticket == ticket; });
  if (found != this->waiting.end()) {
    const std::string team = found->team;
    this->waiting.erase(found);
    this->UpdateWanted(team);
  }
}

auto ReservationQueue::RetryWaiting(const std::string& team) -> void {
  const Instant now = this->loop.Now();
  std::list<Waiting> served;
  for (auto item = this->waiting.begin(); item != this->waiting.end();) {
    const auto next = std::next(item);
    if (item->team == team &&
        this->allowance_manager.TryReserve(team, item->tokens, false, now)) {
      served.splice(served.end(), this->waiting, item);
    }
    item = next;
  }
  this->UpdateWanted(team);
  if (this->allowance_manager.Shortage(team, now) > 0 &&
      this->IsAwaited(team)) {
    this->ask(team);
  }
  for (const Waiting& item : served) {
    item.answer(ReservationResult::kReserved);
  }
}

auto ReservationQueue::IsAwaited(const std::string& team) const -> bool {
  return std::any_of(this->waiting.begin(), this->waiting.end(),
                     [&](const Waiting& item) { return item.team == team; });
}

auto ReservationQueue::OnTimer() -> void {
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
                    ? ReservationResult::kBudgetExhausted
                    : ReservationResult::kUnavailable);
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

auto ReservationQueue::UpdateWanted(const std::string& team) -> void {
  std::uint64_t tokens = 0;
  for (const Waiting& item : this->waiting) {
    tokens += item.team == team ? item.tokens : 0;
  }
  this->allowance_manager.SetWaiting(team, tokens);
}

auto ReservationQueue::StartTimer() -> void {
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
