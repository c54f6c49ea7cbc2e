#ifndef PROGRAMS_ROUTER_STATE_CHANGE_LOG_H_
#define PROGRAMS_ROUTER_STATE_CHANGE_LOG_H_

#include <cstdint>
#include <vector>

#include "al_router/core/router_core.h"

namespace auburnloft {

/** Writes a line to the process log for each change of a router's state, and
    none for its requests.

    Thread safety: none; used on the loop's thread.
*/
class StateChangeLog {
 public:
  /** Compares the state with the state at the last call and logs each
      difference. */
  auto LogChanges(const RouterCore& core) -> void;

 private:
  std::uint64_t config_version = 0;
  /** Ledger partitions of which this router is the keeper, that is, the leader.
   */
  std::vector<PartitionIndex> kept_partitions;

  std::vector<RouterId> active_routers;  ///< Routers that accept requests.
  bool was_draining = false;
};

}  // namespace auburnloft

#endif  // PROGRAMS_ROUTER_STATE_CHANGE_LOG_H_
