#include "gateway/reservation_queue.h"

#include <algorithm>
#include <set>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"

namespace auburnloft::gateway {

namespace {

/** Interval after which more allowance is requested again, possibly from
   another router: the time of a few appends to the log service. */
constexpr Duration kRetryInterval = std::chrono::milliseconds(25);

}  // namespace

ReservationQueue::ReservationQueue(
    EventLoop& loop,
    AllowanceManager& allowance_manager,
    std::function<void(const std::string& team)> request_allowance)
    : loop(loop),
      allowance_manager(allowance_manager),
      request_allowance(std::move(request_allowance)),
      timer(std::make_unique<LoopTimer>(loop, [this] { this->OnTimer(); })) {}

ReservationQueue::~ReservationQueue() = default;

auto ReservationQueue::Reserve(const std::string& team,
                               std::uint64_t tokens,
                               Duration timeout,
                               OnResult on_result) -> Ticket {
  const Instant now = this->loop.Now();
  const bool reserved =
      this->allowance_manager.TryReserve(team, tokens, true, now);
  if (reserved && this->allowance_manager.Shortage(team, now) > 0) {
    this->request_allowance(team);  // For future requests.
  }
  if (reserved || timeout.count() <= 0 ||
      this->is_budget_exhausted(team, tokens)) {
    on_result(reserved ? ReservationResult::kReserved
              : this->is_budget_exhausted(team, tokens)
                  ? ReservationResult::kBudgetExhausted
                  : ReservationResult::kUnavailable);
    return 0;
  }
  this->queue.push_back(
      {++this->last_ticket, team, tokens, now + timeout, std::move(on_result)});
  this->UpdateWaitingTokens(team);
  this->StartTimer();
  this->request_allowance(team);
  return this->last_ticket;
}

auto ReservationQueue::Cancel(Ticket ticket) -> void {
  const auto found = std::find_if(
      this->queue.begin(), this->queue.end(),
      [ticket](const WaitingRequest& item) { return item.ticket == ticket; });
  if (found != this->queue.end()) {
    const std::string team = found->team;
    this->queue.erase(found);
    this->UpdateWaitingTokens(team);
  }
}

auto ReservationQueue::RetryWaiting(const std::string& team) -> void {
  const Instant now = this->loop.Now();
  std::list<WaitingRequest> granted;
  for (auto item = this->queue.begin(); item != this->queue.end();) {
    const auto next = std::next(item);
    if (item->team == team &&
        this->allowance_manager.TryReserve(team, item->tokens, false, now)) {
      granted.splice(granted.end(), this->queue, item);
    }
    item = next;
  }
  this->UpdateWaitingTokens(team);
  if (this->allowance_manager.Shortage(team, now) > 0 &&
      this->HasWaiting(team)) {
    this->request_allowance(team);
  }
  for (const WaitingRequest& item : granted) {
    item.on_result(ReservationResult::kReserved);
  }
}

auto ReservationQueue::HasWaiting(const std::string& team) const -> bool {
  return std::any_of(
      this->queue.begin(), this->queue.end(),
      [&](const WaitingRequest& item) { return item.team == team; });
}

auto ReservationQueue::OnTimer() -> void {
  const Instant now = this->loop.Now();
  std::list<WaitingRequest> expired;
  for (auto item = this->queue.begin(); item != this->queue.end();) {
    const auto next = std::next(item);
    if (now >= item->deadline) {
      expired.splice(expired.end(), this->queue, item);
    }
    item = next;
  }
  for (const WaitingRequest& item : expired) {
    this->UpdateWaitingTokens(item.team);
    item.on_result(this->is_budget_exhausted(item.team, item.tokens)
                       ? ReservationResult::kBudgetExhausted
                       : ReservationResult::kUnavailable);
  }
  std::set<std::string> teams;
  for (const WaitingRequest& item : this->queue) {
    teams.insert(item.team);
  }
  for (const std::string& team : teams) {
    this->request_allowance(team);  // The log may have been unreachable before.
  }
  this->StartTimer();
}

auto ReservationQueue::UpdateWaitingTokens(const std::string& team) -> void {
  std::uint64_t tokens = 0;
  for (const WaitingRequest& item : this->queue) {
    tokens += item.team == team ? item.tokens : 0;
  }
  this->allowance_manager.SetWaitingTokens(team, tokens);
}

auto ReservationQueue::StartTimer() -> void {
  if (this->queue.empty()) {
    return;
  }
  const auto first = std::min_element(
      this->queue.begin(), this->queue.end(),
      [](const WaitingRequest& left, const WaitingRequest& right) {
        return left.deadline < right.deadline;
      });
  this->timer->Start(
      std::min(first->deadline - this->loop.Now(), kRetryInterval));
}

}  // namespace auburnloft::gateway
