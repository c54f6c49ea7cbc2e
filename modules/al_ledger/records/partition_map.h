#ifndef AL_LEDGER_RECORDS_PARTITION_MAP_H_
#define AL_LEDGER_RECORDS_PARTITION_MAP_H_

#include "al_core/ids/ids.h"

namespace auburnloft {

/** Maps teams to ledger partitions and partitions to streams of the log
    service.

    The number of partitions is fixed when a fleet is created, because changing
    it would move teams between streams.

    Thread safety: immutable.
*/
class PartitionMap {
 public:
  /** @pre partition_count > 0. */
  explicit PartitionMap(PartitionIndex partition_count);

  [[nodiscard]] auto count() const -> PartitionIndex {
    return this->partition_count;
  }

  /** The partition of `team`. The mapping is the same in every process. */
  [[nodiscard]] auto PartitionOf(const TeamId& team) const -> PartitionIndex;

  /** The name of the log stream of `partition`. */
  [[nodiscard]] static auto StreamOf(PartitionIndex partition) -> StreamId;

 private:
  PartitionIndex partition_count;
};

}  // namespace auburnloft

#endif  // AL_LEDGER_RECORDS_PARTITION_MAP_H_
