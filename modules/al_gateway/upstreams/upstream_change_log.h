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

/** An upstream's entry as it is now; none where it is there no more. */
struct UpstreamChange {
  std::string id;
  std::optional<UpstreamRecord> record;
};

/** What changed since an asker's last question. */
struct UpstreamUpdate {
  std::uint64_t newest = 0;  ///< What to ask from next time.
  bool whole = false;        ///< All entries; those not named are gone.
  std::vector<UpstreamChange> changes;
};

/** Numbers the changes of upstreams' entries, so that each of many askers gets
   what is new to it. Keeps the newest change of each entry only; renewals that
   change nothing are no news.

    Removed entries are remembered up to a bound; who asks from before that gets
   the whole list.

    Thread safety: none; used on one thread.
*/
class UpstreamChangeLog {
 public:
  UpstreamChangeLog() = default;

  UpstreamChangeLog(const UpstreamChangeLog&) = delete;
  auto operator=(const UpstreamChangeLog&) -> UpstreamChangeLog& = delete;

  //============================================================================
  // Commands

  auto RecordChange(const std::string& id,
                    const std::optional<UpstreamRecord>& record) -> void;

  /** Notes all entries as removed but those named. */
  auto RemoveAllExcept(const std::set<std::string>& ids) -> void;

  //============================================================================
  // Queries

  /** Changes after the one numbered `after`; 0 asks for the whole list. */
  [[nodiscard]] auto ChangesSince(std::uint64_t after) const -> UpstreamUpdate;

  [[nodiscard]] auto newest() const -> std::uint64_t { return this->last; }

 private:
  struct Entry {
    std::uint64_t number = 0;  ///< Of its newest change.
    std::optional<UpstreamRecord> record;
  };

  auto ForgetOldRemovals() -> void;

  std::map<std::string, Entry> by_id;
  std::map<std::uint64_t, std::string> by_number;
  std::size_t removed = 0;
  std::uint64_t last = 0;
  std::uint64_t forgotten = 0;  ///< Number of the newest forgotten removal.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_CHANGE_LOG_H_
