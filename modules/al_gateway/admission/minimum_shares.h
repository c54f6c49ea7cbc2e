#ifndef AL_GATEWAY_ADMISSION_MINIMUM_SHARES_H_
#define AL_GATEWAY_ADMISSION_MINIMUM_SHARES_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_gateway/admission/decayed_count.h"

namespace auburnloft::gateway {

/** Counts the requests of one service that were seen and begun, by kind, team
   and size, so that no class is begun far less often than the others.

    Thread safety: none; used on one thread.
*/
class MinimumShares {
 public:
  /** The classes of one request. Both texts may be empty. */
  struct Classes {
    std::string_view kind;
    std::string_view team;
    std::uint64_t size = 0;  ///< In tokens; 0 if sizes don't matter.
  };

  //============================================================================
  // Commands

  /** Records the first decision about a request. */
  auto RecordSeen(const Classes& request, Instant now) -> void;

  /** Records that a request was begun. */
  auto RecordBegun(const Classes& request, Instant now) -> void;

  /** Removes classes that were not seen lately; at most once a second. */
  auto Expire(Instant now) -> void;

  //============================================================================
  // Queries

  /** Returns whether one of the request's classes has been begun so rarely that
     the request should be begun although it would be refused otherwise: its
     kind or team less than kLeastOfAll as often as all requests, or the largest
     tenth of its kind less than kLeastOfKind as often as the kind. */
  [[nodiscard]] auto IsStarved(const Classes& request, Instant now) const
      -> bool;

  /** Returns whether the request belongs to the largest tenth of its kind. */
  [[nodiscard]] auto IsLarge(const Classes& request) const -> bool;

 private:
  /** Time constant: long enough for several requests of a class at a router
     that gets a few requests a second. */
  static constexpr Duration kWindow = std::chrono::seconds(10);

  struct Counts {
    DecayedCount seen{kWindow};
    DecayedCount begun{kWindow};
    Instant last_seen_at{};
  };
  struct Kind {
    Counts all;
    Counts large;
    double large_from = 0.0;  ///< Estimate of the 0.9 quantile of sizes.
  };

  [[nodiscard]] static auto IsBehind(const Counts& counts,
                                     const Counts& reference,
                                     double least,
                                     Instant now) -> bool;

  Counts total;
  Instant expired_at{};
  std::map<std::string, Kind, std::less<>> kinds;
  std::map<std::string, Counts, std::less<>> teams;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_ADMISSION_MINIMUM_SHARES_H_
