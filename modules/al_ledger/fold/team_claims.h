#ifndef AL_LEDGER_FOLD_TEAM_CLAIMS_H_
#define AL_LEDGER_FOLD_TEAM_CLAIMS_H_

#include <cstdint>
#include <map>

#include "al_core/ids/ids.h"
#include "ledger.pb.h"
#include "peer.pb.h"

namespace auburnloft {

/** The at-most-once executions of one team: who may run what, and how each one
   ended.

    A part of the fold. The first valid claim on a key holds it; a later claim
   is void unless the execution under the earlier one is recorded as not run. An
   execution whose outcome is unknown is never claimed again until an operator
   resolves it.

    Thread safety: none; used on one thread.

    @see PartitionLedger, TeamAccount
*/
class TeamClaims {
 public:
  using Claims = std::map<RequestKey, wire::ClaimState, std::less<>>;

  //============================================================================
  // Commands: each applies one entry and returns the verdict on it.

  /** @param oldest_ms  requests issued before this are too old to be claimed.
   */
  auto Apply(const wire::Claim& entry, std::int64_t oldest_ms) -> wire::Verdict;
  auto Apply(const wire::Outcome& entry) -> wire::Verdict;
  auto Apply(const wire::Resolve& entry) -> wire::Verdict;

  /** Forgets ended executions of requests issued before `oldest_ms`. Those in
     progress or of unknown outcome stay until an operator resolves them. */
  auto PruneEnded(std::int64_t oldest_ms) -> void;

  auto Load(const wire::TeamSnapshot& snapshot) -> void;

  //============================================================================
  // Queries

  /** The standing claim on `key`; null where there is none. Valid until the
   * next command. */
  [[nodiscard]] auto Find(const RequestKey& key) const
      -> const wire::ClaimState*;

  [[nodiscard]] auto all() const -> const Claims& { return this->claims; }

  auto Save(wire::TeamSnapshot& snapshot) const -> void;

 private:
  Claims claims;
};

}  // namespace auburnloft

#endif  // AL_LEDGER_FOLD_TEAM_CLAIMS_H_
