#include "al_gateway/routing/admission.h"

namespace auburnloft::gateway {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace

auto Admit(const RouteTable* table, const RequestMetadata& request)
    -> std::variant<Admission, LocalResponse> {
  if (table == nullptr) {
    // Not 404: without a configuration, the route may still exist.
    return LocalResponse{kUnavailable, "no configuration yet",
                         kUnavailableRetryAfter};
  }
  Admission admission;
  admission.route = table->FindRoute(request.host, request.path);
  if (admission.route == nullptr) {
    return LocalResponse{kNotFound, "no route", Duration(0)};
  }
  if (request.key) {
    admission.team = table->FindTeam(*request.key);
  }
  if (admission.team == nullptr && admission.route->needs_key &&
      !table->config().teams.empty()) {
    return LocalResponse{kUnauthorized, "unknown key", Duration(0)};
  }
  return admission;
}

}  // namespace auburnloft::gateway
