#ifndef AL_ROUTER_VALIDATION_REQUEST_VALIDATOR_H_
#define AL_ROUTER_VALIDATION_REQUEST_VALIDATOR_H_

#include <optional>
#include <string>

#include "al_actions/refusal.h"
#include "al_config/model/configuration.h"
#include "al_core/time/instant.h"
#include "al_ledger/fold/ledger_rules.h"
#include "al_router/requests/incoming_request.h"
#include "al_router/validation/caller_request.h"

namespace auburnloft {

/** A request that may be decided on, with what the upstream is sent. */
struct ValidatedRequest {
  IncomingRequest incoming;
  std::string upstream_method;
  std::string upstream_path;
  std::string upstream_body;
  std::string content_type;
  bool is_chat = false;
  bool wants_stream = false;
  bool wants_usage = false;  ///< In a stream; a whole answer always tells it.
  Tokens prompt_estimate =
      0;  ///< Billed with the pieces where a caller leaves early.
};

/** Checks callers' requests against the configuration and turns them into
   decisions' terms.

    Nothing of a request that fails a check reaches an upstream or the ledger.

    Thread safety: none; used on one thread.

    @see docs/API.md
*/
class RequestValidator {
 public:
  /** The reason of the last Validate() that returned empty. */
  [[nodiscard]] auto last_refusal() const -> const Refusal& {
    return this->refusal;
  }

  /** Checks a request. @return empty where it is refused; last_refusal() tells
   * why. */
  [[nodiscard]] auto Validate(Instant now,
                              const Configuration& configuration,
                              const CallerRequest& request)
      -> std::optional<ValidatedRequest>;

  /** Longest accepted key, in bytes: room for any customary form, bounded for
   * the ledger. */
  static constexpr std::size_t kMaxIdempotencyKeyBytes = 128;

 private:
  using Admitted = std::optional<ValidatedRequest>;

  auto AdmitChat(const Configuration& configuration,
                 const CallerRequest& request,
                 ValidatedRequest validated) -> Admitted;
  auto AdmitService(const Configuration& configuration,
                    const CallerRequest& request,
                    ValidatedRequest validated) -> Admitted;
  auto SetIdentity(Instant now,
                   const CallerRequest& request,
                   IncomingRequest& incoming) -> bool;
  auto SetResume(const Configuration& configuration,
                 const CallerRequest& request,
                 IncomingRequest& incoming) -> bool;
  auto Refuse(RefusalCode code, std::string text) -> Admitted;

  LedgerRules rules;
  Refusal refusal;
};

}  // namespace auburnloft

#endif  // AL_ROUTER_VALIDATION_REQUEST_VALIDATOR_H_
