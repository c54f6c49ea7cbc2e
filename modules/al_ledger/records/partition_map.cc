#include "al_ledger/records/partition_map.h"

#include <cassert>

#include "al_core/text/digest.h"

namespace auburnloft {

PartitionMap::PartitionMap(PartitionIndex partition_count)
    : partition_count(partition_count) {
  assert(partition_count > 0);
}

auto PartitionMap::PartitionOf(const TeamId& team) const -> PartitionIndex {
  return static_cast<PartitionIndex>(StableHash(team.value()) %
                                     this->partition_count);
}

auto PartitionMap::StreamOf(PartitionIndex partition) -> StreamId {
  return StreamId("ledger-" + std::to_string(partition));
}

}  // namespace auburnloft
