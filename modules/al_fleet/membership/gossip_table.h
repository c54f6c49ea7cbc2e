#ifndef AL_FLEET_MEMBERSHIP_GOSSIP_TABLE_H_
#define AL_FLEET_MEMBERSHIP_GOSSIP_TABLE_H_

#include <cstddef>
#include <vector>

#include "peer.pb.h"

namespace auburnloft {

/** Facts on their way through the fleet, each passed on with a bounded number
   of heartbeats.

    Thread safety: none; used on one thread.

    @see Membership, NeighboursOf
*/
class GossipTable {
 public:
  /** A fact is passed on with this many rounds of heartbeats: twice the
     diameter of the neighbour graph at 420 routers, so that lost messages do
     not stop it. */
  static constexpr int kRounds = 18;

  /** A heartbeat carries at most this many facts; the newest go first. */
  static constexpr std::size_t kMaxPerHeartbeat = 5;

  /** Starts to pass on a fact that is news here. */
  auto Add(wire::Rumor rumor) -> void;

  /** The facts for the heartbeats of this round. */
  auto TakeRound() -> std::vector<wire::Rumor>;

  [[nodiscard]] auto size() const -> std::size_t { return this->items.size(); }

 private:
  struct Item {
    wire::Rumor rumor;
    int rounds_left = kRounds;
  };
  std::vector<Item> items;
};

}  // namespace auburnloft

#endif  // AL_FLEET_MEMBERSHIP_GOSSIP_TABLE_H_
