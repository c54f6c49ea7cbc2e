#ifndef GATEWAY_CRASH_GUARD_H_
#define GATEWAY_CRASH_GUARD_H_

#include <string>
#include <string_view>
#include <vector>

#include "al_gateway/model/request_metadata.h"
#include "al_gateway/quarantine/crash_quarantine.h"
#include "al_http1/http1_message.h"
#include "gateway/gateway_context.h"

namespace auburnloft::gateway {

class UpstreamAttempt;

/** Applies the quarantine to one request: keeps it from upstreams if it, or a
   part of its prompt, crashes them, and records what its attempts tell.

    Thread safety: none; used on the loop's thread.
*/
class CrashGuard {
 public:
  /** @pre the referenced objects outlive this one. */
  CrashGuard(GatewayContext& context,
             const Http1Request& request,
             const RequestMetadata& metadata);

  CrashGuard(const CrashGuard&) = delete;
  auto operator=(const CrashGuard&) -> CrashGuard& = delete;

  //============================================================================
  // Commands

  /** Sets the team to which the request belongs. Call it before the first
     Check(). */
  auto SetTeam(std::string_view name) -> void { this->team = name; }

  /** Decides whether the request may be sent now, and logs a refusal. */
  [[nodiscard]] auto Check() -> CrashQuarantine::Decision;

  /** Records that the request is sent as the trial of a quarantined suspect. */
  auto BeginTrial(const std::string& suspect, const UpstreamAttempt& attempt)
      -> void;

  /** Records that the upstream has begun to answer: no part of the prompt
     crashes it. */
  auto RecordBegin() -> void;

  /** Records that the upstream has answered to the end: the request as a whole
     does not crash it. */
  auto RecordAnswer() -> void;

  /** Records that the attempt's connection ended before the answer was
     complete, and observes whether the upstream has ended.
      @param has_begun  whether RecordBegin() was called for the request. */
  auto RecordFailure(const UpstreamAttempt& attempt, bool has_begun) -> void;

  /** Records that the upstream did not execute the attempt. */
  auto RecordNotExecuted() -> void;

  //============================================================================
  // Queries

  /** Returns whether the request may be sent to another upstream after a
     failure. */
  [[nodiscard]] auto MayRetry() const -> bool;

 private:
  [[nodiscard]] auto SharedParts() const -> std::vector<std::string>;
  /** Returns the shared parts of the prompt, then the whole request if it is
     needed: it costs a digest. */
  [[nodiscard]] auto Suspects(bool with_whole_request) const
      -> std::vector<std::string>;
  [[nodiscard]] auto WholeRequest() const -> std::string;

  GatewayContext& context;
  const Http1Request& request;
  const RequestMetadata& metadata;
  std::string team;
  std::string trial_of;  ///< The suspect; empty if the request is no trial.
  bool has_failed = false;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_CRASH_GUARD_H_
