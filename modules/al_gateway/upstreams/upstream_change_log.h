#ifndef AL_GATEWAY_UPSTREAMS_UPSTREAM_CHANGE_LOG_H_
#define AL_GATEWAY_UPSTREAMS_UPSTREAM_CHANGE_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "al_gateway/model/upstream_record.h"

namespace auburnloft::gateway {

/** The newest record of an upstream; no record if it was removed. */
struct UpstreamChange {
  std::string id;
  std::optional<UpstreamRecord> record;
};

/** The changes since a router's last request. */
struct UpstreamUpdate {
  std::uint64_t newest = 0;  ///< Number from which to request next.
  bool whole = false;        ///< Full list; upstreams not in it are removed.
  std::vector<UpstreamChange> changes;
};

/** Numbers the changes of upstream records, so that a reader (a router that
   reads them from the log service) can send each of many routers the changes
   since its last request. Holds only the newest change of each record. Renewals
   without a change are not recorded.

    Removals are held as tombstones, up to a maximum. A request from before the
   newest discarded tombstone gets the full list.

    Thread safety: none; used on one thread.
*/
class UpstreamChangeLog {
 public:
  UpstreamChangeLog() = default;

  UpstreamChangeLog(const UpstreamChangeLog&) = delete;
  auto operator=(const UpstreamChangeLog&) -> UpstreamChangeLog& = delete;

  //============================================================================
  // Commands

  /** Records the newest record of an upstream, or its removal if there is none.
   */
  auto RecordChange(const std::string& id,
                    const std::optional<UpstreamRecord>& record) -> void;

  /** Records the removal of all upstreams but `ids`. */
  auto RemoveAllExcept(const std::set<std::string>& ids) -> void;

  //============================================================================
  // Queries

  /** Returns the changes after the one with number `after`; 0 returns the full
     list. */
  [[nodiscard]] auto ChangesSince(std::uint64_t after) const -> UpstreamUpdate;

  /** Returns the number of the newest change; 0 if there is none. */
  [[nodiscard]] auto newest() const -> std::uint64_t { return this->last; }

 private:
  struct Entry {
    std::uint64_t number = 0;              ///< Number of its newest change.
    std::optional<UpstreamRecord> record;  ///< None: a tombstone.
  };

  auto DiscardOldTombstones() -> void;

  std::map<std::string, Entry> by_id;
  std::map<std::uint64_t, std::string> by_number;
  std::size_t tombstones = 0;
  std::uint64_t last = 0;
  std::uint64_t discarded = 0;  ///< Of the newest discarded tombstone.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_CHANGE_LOG_H_
