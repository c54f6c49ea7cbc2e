#include "al_gateway/membership/discovery_source.h"

#include <cassert>
#include <utility>

namespace auburnloft::gateway {

namespace {

/** Two readers without news, one after the other, and the log itself is read:
   with the pause between asks, news then come well within the time that leaving
   upstreams still serve. After the loss of all routers the readers need some
   tenths of a second to list the entries, and are waited for: the log could not
   bear all routers at once. */
constexpr int kDoubtOfNoNews = 5;
constexpr int kDoubtOfNotReady = 1;
constexpr int kMostDoubt = 10;

/** How long the log is read after readers have failed: the fleet knows of lost
   routers by then. */
constexpr Duration kLogPeriod = std::chrono::milliseconds(5'000);

/** How far a reader may be behind this router's own contact with the log: a
   pause between reads, and the time that a read of many renewals takes over a
   narrow link. With the pauses of both sides news are then two seconds late at
   most, within the time that leaving upstreams still serve. */
constexpr Duration kMostBehind = std::chrono::milliseconds(1'200);

}  // namespace

//==============================================================================
// Commands

auto DiscoverySource::SetPlan(DiscoveryPlan next) -> void {
  if (next == this->plan) {
    return;
  }
  this->plan = std::move(next);
  this->chosen = 0;
  this->doubt = 0;
}

auto DiscoverySource::RecordFailure(Failure failure,
                                    bool log_in_touch,
                                    Instant now) -> void {
  this->doubt +=
      failure == Failure::kNotReady ? kDoubtOfNotReady : kDoubtOfNoNews;
  if (!this->plan.peers.empty()) {
    this->chosen = (this->chosen + 1) % this->plan.peers.size();
  }
  if (this->doubt >= kMostDoubt && log_in_touch) {
    this->doubt = 0;
    this->log_until = now + kLogPeriod;
  }
}

//==============================================================================
// Queries

auto DiscoverySource::peer() const -> const std::string& {
  assert(!this->plan.peers.empty());
  return this->plan.peers[this->chosen];
}

auto DiscoverySource::IsFresh(const UpdateAge& age) -> bool {
  return age.reader < age.own + kMostBehind;
}

}  // namespace auburnloft::gateway
