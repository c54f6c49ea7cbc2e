#ifndef AL_BUDGET_POLICY_FIXED_CHUNK_POLICY_H_
#define AL_BUDGET_POLICY_FIXED_CHUNK_POLICY_H_

#include "al_budget/policy/policy_inputs.h"

namespace auburnloft {

/** Requests tokens in chunks of one size, whenever fewer than half a chunk are
    free. */
class FixedChunkPolicy {
 public:
  /** @param chunk  tokens per grant; > 0. */
  explicit FixedChunkPolicy(Tokens chunk) : chunk(chunk) {}

  [[nodiscard]] auto TokensToRequest(const HolderDemand& demand) const
      -> Tokens;
  [[nodiscard]] auto TokensToGrant(const GrantRequest& request) const -> Tokens;
  [[nodiscard]] auto allows_transfers() const -> bool { return false; }

 private:
  Tokens chunk;
};

}  // namespace auburnloft

#endif  // AL_BUDGET_POLICY_FIXED_CHUNK_POLICY_H_
