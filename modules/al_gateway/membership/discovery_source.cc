#include "al_gateway/membership/discovery_source.h"

#include <cassert>
#include <utility>

namespace auburnloft::gateway {

namespace {

/** Scores of failures; the log is read when their sum reaches the limit.

    Two readers in a row without an update are enough: including the interval
   between requests, updates then arrive well within the time for which leaving
   upstreams still serve. After a restart of all routers, the readers need some
   tenths of a second to list the records. More such failures are tolerated,
   because the log could not serve all routers at once. */
constexpr int kNoUpdateScore = 5;
constexpr int kNotReadyScore = 1;
constexpr int kMaxFailureScore = 10;

/** How long the log is read after readers have failed. By then, the fleet has
   removed the lost routers from its members. */
constexpr Duration kLogReadPeriod = std::chrono::milliseconds(5'000);

/** Maximum time that a reader may be behind this router's own last reply from
   the log: one read interval, plus the duration of a read of many renewals over
   a slow link. With the intervals of the reader and of this router, updates are
   at most two seconds late, within the time for which leaving upstreams still
   serve. */
constexpr Duration kMaxReaderLag = std::chrono::milliseconds(1'200);

}  // namespace

//==============================================================================
// Commands

auto DiscoverySource::SetPlan(DiscoveryPlan next) -> void {
  if (next == this->plan) {
    return;
  }
  this->plan = std::move(next);
  this->current_peer = 0;
  this->failure_score = 0;
}

auto DiscoverySource::RecordFailure(Failure failure,
                                    bool log_reachable,
                                    Instant now) -> void {
  this->failure_score +=
      failure == Failure::kNotReady ? kNotReadyScore : kNoUpdateScore;
  if (!this->plan.peers.empty()) {
    this->current_peer = (this->current_peer + 1) % this->plan.peers.size();
  }
  if (this->failure_score >= kMaxFailureScore && log_reachable) {
    this->failure_score = 0;
    this->log_until = now + kLogReadPeriod;
  }
}

//==============================================================================
// Queries

auto DiscoverySource::peer() const -> const std::string& {
  assert(!this->plan.peers.empty());
  return this->plan.peers[this->current_peer];
}

auto DiscoverySource::IsFresh(const UpdateAge& age) -> bool {
  return age.reader < age.own + kMaxReaderLag;
}

}  // namespace auburnloft::gateway
