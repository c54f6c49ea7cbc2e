#include "al_gateway/admission/place_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace auburnloft::gateway {

namespace {

/** Factor of the places after a refusal, and the shortest time between two such
   steps: about the time in which a place is used once. With 0.7, places stayed
   unused in overload (docs/design/admission.md). */
constexpr double kShrinkFactor = 0.85;
constexpr Duration kShrinkInterval = std::chrono::milliseconds(100);

/** Weight of the newest observation of the usual work. It rises faster than it
   falls: what begins behind a full queue takes as long as the slowest ones. */
constexpr double kRisingWeight = 0.5;
constexpr double kFallingWeight = 0.05;

/** The limit that followed from a refusal ends after so long without another:
   by then the requests that occupied the upstreams have ended. */
constexpr Duration kForgetAfter = std::chrono::seconds(1);

/** Lowest rate of answers that is assumed: a service that answers more rarely
   has no requests in time anyway. */
constexpr double kMinRatePerSecond = 1.0;

constexpr double kTeamWeight = 1.0;
constexpr double kMicrosPerSecond = 1e6;

auto Scaled(Duration duration, double factor) -> Duration {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

//==============================================================================
// Commands

auto PlaceQueue::SetMaximum(int places) -> void {
  this->maximum = std::max(1, places);
}

auto PlaceQueue::Ask(Item item, Instant now) -> Answer {
  this->teams.RecordDemand(item.team, 1.0, kTeamWeight, now);
  Answer answer;
  if (this->queue.empty() && this->HasFreePlace(now)) {
    answer.begins = true;
    answer.expected = this->usual_work;
    this->Take(item, now);
    return answer;
  }
  answer.team_share = this->teams.ShareOf(item.team, 1.0, now).per_second;
  const Duration begin_in = this->ExpectedAnswer(now) - this->usual_work;
  answer.expected = (now - item.arrived_at) + begin_in + this->usual_work;
  if (now + begin_in > this->LatestBegin(item)) {
    answer.retry_after = begin_in;
    return answer;
  }
  answer.ticket = ++this->last_ticket;
  this->queue.push_back({answer.ticket, std::move(item), now});
  return answer;
}

auto PlaceQueue::AskAgain(Item item, Instant not_before, Instant now)
    -> Ticket {
  if (std::max(not_before, now) > this->LatestBegin(item)) {
    return 0;
  }
  const Ticket ticket = ++this->last_ticket;
  this->queue.push_back({ticket, std::move(item), not_before});
  return ticket;
}

auto PlaceQueue::Cancel(Ticket ticket) -> void {
  this->queue.remove_if(
      [ticket](const Waiting& entry) { return entry.ticket == ticket; });
}

auto PlaceQueue::Release(Result result,
                         const Item& item,
                         Instant taken_at,
                         Instant now) -> void {
  const bool was_all_used = !this->HasFreePlace(now) || !this->queue.empty();
  this->used = std::max(0, this->used - 1);
  if (result == Result::kEnded) {
    return;
  }
  const Duration work = now - taken_at;
  const bool is_late = work > item.objective;
  if (result == Result::kAnswered) {
    this->answered.Add(1.0, now);
    this->usual_work = this->usual_work.count() == 0
                           ? work
                           : this->usual_work + Scaled(work - this->usual_work,
                                                       work > this->usual_work
                                                           ? kRisingWeight
                                                           : kFallingWeight);
  }
  if (result == Result::kFull || is_late) {
    if (this->shrunk_at == Instant() ||
        now - this->shrunk_at >= kShrinkInterval) {
      const double limit =
          std::min(this->LimitAt(now), static_cast<double>(this->used + 1));
      this->window = std::max(1.0, limit * kShrinkFactor);
    }
    this->shrunk_at = now;
  } else if (was_all_used) {
    this->window += 1.0;
  }
}

auto PlaceQueue::TakeNext(Instant now) -> std::optional<Ticket> {
  if (!this->HasFreePlace(now)) {
    return std::nullopt;
  }
  auto best = this->queue.end();
  std::tuple<bool, int, Instant> best_rank;
  for (auto entry = this->queue.begin(); entry != this->queue.end(); ++entry) {
    if (entry->not_before > now) {
      continue;
    }
    const std::tuple<bool, int, Instant> rank = {
        !this->teams.ShareOf(entry->item.team, 1.0, now).is_within,
        entry->item.priority, this->LatestBegin(entry->item)};
    if (best == this->queue.end() || rank < best_rank) {
      best = entry;
      best_rank = rank;
    }
  }
  if (best == this->queue.end()) {
    return std::nullopt;
  }
  const Ticket ticket = best->ticket;
  this->Take(best->item, now);
  this->queue.erase(best);
  return ticket;
}

auto PlaceQueue::TakeExpired(Instant now) -> std::vector<Ticket> {
  std::vector<Ticket> expired;
  this->queue.remove_if([&](const Waiting& entry) {
    if (now <= this->LatestBegin(entry.item)) {
      return false;
    }
    expired.push_back(entry.ticket);
    return true;
  });
  return expired;
}

//==============================================================================
// Queries

auto PlaceQueue::PlacesAt(Instant now) const -> int {
  return std::max(1, static_cast<int>(this->LimitAt(now)));
}

auto PlaceQueue::ExpectedAnswer(Instant now) const -> Duration {
  if (this->queue.empty() && this->HasFreePlace(now)) {
    return this->usual_work;
  }
  if (this->usual_work.count() == 0) {
    return Duration(0);  // Nothing is known yet: requests may wait.
  }
  // By the places and the usual work, or by the rate that was reached lately if
  // that is higher, as places can have grown since.
  const double by_work =
      this->usual_work.count() == 0
          ? kMinRatePerSecond
          : this->PlacesAt(now) / ToSeconds(this->usual_work);
  const double per_second =
      std::max(by_work, this->answered.At(now) / ToSeconds(kRateWindow));
  const double ahead = static_cast<double>(this->queue.size()) + 1.0;
  return this->usual_work +
         Duration(static_cast<std::int64_t>(
             ahead / std::max(kMinRatePerSecond, per_second) *
             kMicrosPerSecond));
}

auto PlaceQueue::LimitAt(Instant now) const -> double {
  const auto most = static_cast<double>(this->maximum);
  const bool is_limited =
      this->shrunk_at != Instant() && now - this->shrunk_at < kForgetAfter;
  return is_limited ? std::min(most, this->window) : most;
}

auto PlaceQueue::LatestBegin(const Item& item) const -> Instant {
  return item.arrived_at + item.objective - this->usual_work;
}

auto PlaceQueue::Take(const Item& item, Instant now) -> void {
  ++this->used;
  this->teams.RecordBegun(item.team, 1.0, now);
}

}  // namespace auburnloft::gateway
