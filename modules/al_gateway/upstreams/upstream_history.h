#ifndef AL_GATEWAY_UPSTREAMS_UPSTREAM_HISTORY_H_
#define AL_GATEWAY_UPSTREAMS_UPSTREAM_HISTORY_H_

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
struct UpstreamNews {
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
class UpstreamHistory {
 public:
  UpstreamHistory() = default;

  UpstreamHistory(const UpstreamHistory&) = delete;
  auto operator=(const UpstreamHistory&) -> UpstreamHistory& = delete;

  //============================================================================
  // Commands

  auto Note(const std::string& id, const std::optional<UpstreamRecord>& record)
      -> void;

  /** Notes all entries as removed but those named. */
  auto KeepOnly(const std::set<std::string>& ids) -> void;

  //============================================================================
  // Queries

  /** Changes after the one numbered `after`; 0 asks for the whole list. */
  [[nodiscard]] auto Since(std::uint64_t after) const -> UpstreamNews;

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

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_HISTORY_H_
