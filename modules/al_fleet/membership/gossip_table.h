#ifndef AL_FLEET_MEMBERSHIP_GOSSIP_TABLE_H_
#define AL_FLEET_MEMBERSHIP_GOSSIP_TABLE_H_

#include <cstddef>
#include <vector>

#include "peer.pb.h"

namespace auburnloft {

/** The updates that this router is gossiping through the fleet. Each is sent
    with a bounded number of heartbeats.

    Thread safety: none; used on one thread.

    @see Membership, NeighboursOf
*/
class GossipTable {
 public:
  /** The number of rounds of heartbeats that carry an update: twice the
      diameter of the neighbour graph at 420 routers, so that lost messages do
      not stop the update. */
  static constexpr int kRounds = 18;

  /** The maximum number of updates in one heartbeat. The newest updates are
      sent first. */
  static constexpr std::size_t kMaxPerHeartbeat = 5;

  /** Adds an update that is new to this router. Replaces an older update about
      the same subject. */
  auto Add(wire::Rumor rumor) -> void;

  /** Returns the updates for the heartbeats of this round and counts the round
      for each of them. */
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
