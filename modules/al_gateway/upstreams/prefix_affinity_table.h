#ifndef AL_GATEWAY_UPSTREAMS_PREFIX_AFFINITY_TABLE_H_
#define AL_GATEWAY_UPSTREAMS_PREFIX_AFFINITY_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** Which upstreams this router has lately sent which prompt part to, and which
   therefore are believed to keep it.

    Bounded; the least recently noted part yields.

    Thread safety: none; used on one thread.
*/
class PrefixAffinityTable {
 public:
  /** Notes that `upstream` reads `part` now. */
  auto RecordPart(std::string_view part, std::string_view upstream, Instant now)
      -> void;

  /** True where `upstream` is believed to keep `part`. */
  [[nodiscard]] auto IsLikelyCached(std::string_view part,
                                    std::string_view upstream,
                                    Instant now) const -> bool;

 private:
  struct Sight {
    std::uint64_t upstream = 0;  ///< Hash of its id.
    Instant at{};
  };

  auto Prune(Instant now) -> void;

  std::unordered_map<std::uint64_t, std::vector<Sight>> sights;  ///< By part.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_PREFIX_AFFINITY_TABLE_H_
