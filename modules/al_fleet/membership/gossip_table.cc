#include "al_fleet/membership/gossip_table.h"

#include <algorithm>

namespace auburnloft {

namespace {

/** True if two updates have the same subject, so that the newer replaces the
    older. */
auto IsSameSubject(const wire::Rumor& left, const wire::Rumor& right) -> bool {
  if (left.kind() != right.kind()) {
    return false;
  }
  return left.kind() == wire::Rumor::KEEPER
             ? left.partition() == right.partition()
             : left.router() == right.router();
}

}  // namespace

auto GossipTable::Add(wire::Rumor rumor) -> void {
  std::erase_if(this->items, [&](const Item& item) {
    return IsSameSubject(item.rumor, rumor);
  });
  this->items.push_back({std::move(rumor), kRounds});
}

auto GossipTable::TakeRound() -> std::vector<wire::Rumor> {
  std::vector<wire::Rumor> round;
  const std::size_t count = std::min(this->items.size(), kMaxPerHeartbeat);
  for (std::size_t i = 0; i < count; ++i) {
    Item& item = this->items[this->items.size() - 1 - i];
    --item.rounds_left;
    round.push_back(item.rumor);
  }
  std::erase_if(this->items,
                [](const Item& item) { return item.rounds_left <= 0; });
  return round;
}

}  // namespace auburnloft
