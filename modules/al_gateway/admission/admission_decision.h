#ifndef AL_GATEWAY_ADMISSION_ADMISSION_DECISION_H_
#define AL_GATEWAY_ADMISSION_ADMISSION_DECISION_H_

#include <cstdint>
#include <string_view>

#include "al_core/time/instant.h"

namespace auburnloft::gateway {

/** The properties of a request by which it is admitted to a service. */
struct AdmissionQuery {
  std::string_view service;
  std::string_view kind;   ///< The route's name.
  std::string_view team;   ///< Empty if the request has none.
  int priority = 5;        ///< Of the route; 0 is the most urgent.
  Duration objective{0};   ///< The route's latency objective.
  Duration waited{0};      ///< Since the request arrived.
  Duration expected{0};    ///< Time to the first event at the best upstream.
  std::uint64_t size = 0;  ///< Tokens to process and to generate; 0 for a
                           ///< plain service.
  std::uint64_t identity = 0;  ///< Equal for all tries of a request; 0 if
                               ///< unknown.
  double spread = 0.0;         ///< In [0, 1); spreads Retry-After over callers.
};

/** Whether a request begins, and why. */
struct AdmissionDecision {
  enum class Action {
    kBegin,
    kWait,    ///< Ask again soon.
    kRefuse,  ///< The request is not executed.
  };

  Action action = Action::kBegin;
  std::string_view reason;  ///< A string literal.
  Duration expected{0};     ///< Until the first event, from the arrival on.
  Duration retry_after{0};  ///< Of a refusal.
  double team_share = 0.0;  ///< Cost a second; 0 while nothing is scarce.
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_ADMISSION_ADMISSION_DECISION_H_
