#ifndef AL_GATEWAY_UPSTREAMS_PREFIX_AFFINITY_TABLE_H_
#define AL_GATEWAY_UPSTREAMS_PREFIX_AFFINITY_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** Records which prompt parts this router recently sent to which upstream, to
   estimate which upstreams have them in their prefix cache.

    The size is bounded. When the table is full, parts whose records are all
   outdated are removed; if that is not enough, all parts are.

    Thread safety: none; used on one thread.
*/
class PrefixAffinityTable {
 public:
  /** Records that `part` was sent to `upstream` at `now`. */
  auto RecordPart(std::string_view part, std::string_view upstream, Instant now)
      -> void;

  /** Returns whether `upstream` is estimated to have `part` in its cache. */
  [[nodiscard]] auto IsLikelyCached(std::string_view part,
                                    std::string_view upstream,
                                    Instant now) const -> bool;

 private:
  struct SentPart {
    std::uint64_t upstream = 0;  ///< Hash of its id.
    Instant sent_at{};
  };

  /** Makes room for new parts. */
  auto Prune(Instant now) -> void;

  std::unordered_map<std::uint64_t, std::vector<SentPart>>
      sent_parts;  ///< By part.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_PREFIX_AFFINITY_TABLE_H_
