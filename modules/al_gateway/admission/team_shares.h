#ifndef AL_GATEWAY_ADMISSION_TEAM_SHARES_H_
#define AL_GATEWAY_ADMISSION_TEAM_SHARES_H_

#include <map>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_gateway/admission/decayed_count.h"

namespace auburnloft::gateway {

/** Divides what one router can begin at a scarce service between the teams:
   weighted max-min shares. What a team does not use is divided between the
   others. Each team has a token bucket whose rate is its share and whose depth
   is the share of one second.

    What a team asks for beyond its share does not raise the share: callers that
   repeat at once gain nothing.

    Thread safety: none; used on one thread.
*/
class TeamShares {
 public:
  struct Share {
    bool is_within = true;     ///< The team may begin a request now.
    bool is_far_over = false;  ///< It asks for a multiple of its share.
    double per_second = 0.0;   ///< Its share; 0 while nothing is scarce.
    Duration until_within{0};  ///< Estimate; 0 if is_within.
  };

  //============================================================================
  // Commands

  /** Records that a team asks for `cost`, once for each request.
      @param cost    in a unit of the caller's choice, such as tokens.
      @param weight  of the team's share relative to others; above 0. */
  auto RecordDemand(std::string_view team,
                    double cost,
                    double weight,
                    Instant now) -> void;

  /** Records that a request of a team was begun. */
  auto RecordBegun(std::string_view team, double cost, Instant now) -> void;

  /** Fills all buckets; call it when the service becomes scarce. */
  auto Refill() -> void;

  /** Returns the share of a team.
      @param useful  fraction of what is begun that the service can serve in
                     time, 0 to 1: the capacity that is divided. */
  [[nodiscard]] auto ShareOf(std::string_view team, double useful, Instant now)
      -> Share;

 private:
  /** Time constant of demand and capacity: a router of a large fleet gets a
     request of a busy team each few seconds. */
  static constexpr Duration kWindow = std::chrono::seconds(8);

  struct Team {
    DecayedCount demand{kWindow};
    DecayedCount requests{kWindow};
    double weight = 1.0;
    double spent = 0.0;  ///< Of the bucket: begun and not yet refilled.
    Instant refilled_at{};
    Instant last_seen_at{};
  };

  /** Computes the share of a weight of 1, at most each kRecomputeInterval. */
  auto Recompute(double useful, Instant now) -> void;
  auto RefillBucket(Team& team, Instant now) const -> void;

  std::map<std::string, Team, std::less<>> teams;
  DecayedCount begun{kWindow};
  bool is_scarce = false;         ///< Whether demand exceeds the capacity.
  double share_per_weight = 0.0;  ///< Cost a second; valid if is_scarce.
  double mean_per_weight = 0.0;   ///< Demand of all teams, cost a second.
  Instant computed_at{};
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_ADMISSION_TEAM_SHARES_H_
