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

/** A validated request and the HTTP request that will be sent to the upstream.
 */
struct ValidatedRequest {
  IncomingRequest incoming;
  std::string upstream_method;
  std::string upstream_path;
  std::string upstream_body;
  std::string content_type;
  bool is_chat = false;
  bool wants_stream = false;
  bool wants_usage =
      false;  ///< The caller requested a usage piece at the end of its stream;
              ///< other responses always carry the usage.
  Tokens prompt_estimate =
      0;  ///< Estimated tokens of the prompt, billed with the pieces already
          ///< sent if the caller disconnects early.
};

/** Checks callers' requests against the configuration and converts them into
   the decision code's types.

    A request that fails a check never reaches an upstream or the ledger.

    Thread safety: none; used on one thread.

    @see docs/API.md
*/
class RequestValidator {
 public:
  /** Why the last Validate() that returned empty refused its request. */
  [[nodiscard]] auto last_refusal() const -> const Refusal& {
    return this->refusal;
  }

  /** Checks a request. @return empty if it is refused; last_refusal() then
   * holds the reason. */
  [[nodiscard]] auto Validate(Instant now,
                              const Configuration& configuration,
                              const CallerRequest& request)
      -> std::optional<ValidatedRequest>;

  /** Maximum size of an Idempotency-Key in bytes: enough for the usual formats,
   * limited because the ledger stores keys. */
  static constexpr std::size_t kMaxIdempotencyKeyBytes = 128;

 private:
  using Result = std::optional<ValidatedRequest>;

  auto ValidateChat(const Configuration& configuration,
                    const CallerRequest& request,
                    ValidatedRequest validated) -> Result;
  auto ValidateServiceCall(const Configuration& configuration,
                           const CallerRequest& request,
                           ValidatedRequest validated) -> Result;
  auto SetIdentity(Instant now,
                   const CallerRequest& request,
                   IncomingRequest& incoming) -> bool;
  auto SetResume(const Configuration& configuration,
                 const CallerRequest& request,
                 IncomingRequest& incoming) -> bool;
  auto Refuse(RefusalCode code, std::string text) -> Result;

  LedgerRules rules;
  Refusal refusal;
};

}  // namespace auburnloft

#endif  // AL_ROUTER_VALIDATION_REQUEST_VALIDATOR_H_
