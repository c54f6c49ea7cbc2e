#include "router/error_body.h"

#include <nlohmann/json.hpp>

namespace auburnloft {

auto ErrorBodyOf(const Refusal& refusal) -> std::string {
  nlohmann::json error = {{"code", ToText(refusal.code)},
                          {"message", refusal.text},
                          {"run", ToText(refusal.execution)}};
  if (refusal.retry_after > Duration{0}) {
    error["retry_after_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            refusal.retry_after)
            .count();
  }
  return nlohmann::json{{"error", error}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto ErrorHeadersOf(const Refusal& refusal) -> HttpHeaders {
  if (refusal.retry_after <= Duration{0}) {
    return {};
  }
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(refusal.retry_after);
  return {{"retry-after", std::to_string(seconds.count())}};
}

}  // namespace auburnloft
