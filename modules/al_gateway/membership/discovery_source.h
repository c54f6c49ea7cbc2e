#ifndef AL_GATEWAY_MEMBERSHIP_DISCOVERY_SOURCE_H_
#define AL_GATEWAY_MEMBERSHIP_DISCOVERY_SOURCE_H_

#include <cstddef>
#include <string>

#include "al_core/time/instant.h"
#include "al_gateway/membership/discovery_plan.h"

namespace auburnloft::gateway {

/** How old news are, by the last answer that each side had from the log. */
struct UpdateAge {
  Duration reader{0};  ///< Since the asked reader read the log.
  Duration own{0};     ///< Since the log answered this router at all.
};

/** From whom this router takes the news of upstreams at the moment: a reader,
   or the log itself where readers do not answer or are behind.

    Beware: while the log is away from this router too, it stays with its
   readers. There is nothing to win, and on its return all routers would read
   the whole list at once.

    Thread safety: none; used on one thread.
*/
class DiscoverySource {
 public:
  DiscoverySource() = default;

  DiscoverySource(const DiscoverySource&) = delete;
  auto operator=(const DiscoverySource&) -> DiscoverySource& = delete;

  //============================================================================
  // Commands

  auto SetPlan(DiscoveryPlan next) -> void;

  /** How a reader failed to give news that may be used. */
  enum class Failure {
    kNotReady,  ///< It has just begun to read the log.
    kNoUpdate,  ///< It gave no answer, or one that is behind.
  };

  /** The asked reader gave news that may be used. */
  auto RecordSuccess() -> void { this->doubt = 0; }

  auto RecordFailure(Failure failure, bool log_in_touch, Instant now) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto reads_log(Instant now) const -> bool {
    return this->plan.reads_log || now < this->log_until;
  }

  /** The reader to ask. @pre !reads_log(). */
  [[nodiscard]] auto peer() const -> const std::string&;

  /** Whether news are no more behind than the pause between reads explains. */
  [[nodiscard]] static auto IsFresh(const UpdateAge& age) -> bool;

 private:
  DiscoveryPlan plan;
  std::size_t chosen = 0;
  int doubt = 0;  ///< Grows with failures in a row.
  Instant log_until{};
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_MEMBERSHIP_DISCOVERY_SOURCE_H_
