#include "common/json_http.h"

#include <charconv>

namespace auburnloft::standins {

auto RespondJson(HttpExchange& exchange, int status, const nlohmann::json& body)
    -> void {
  exchange.Respond(status, "application/json", body.dump());
}

auto ParseJsonBody(const HttpExchange& exchange) -> nlohmann::json {
  nlohmann::json body =
      nlohmann::json::parse(exchange.request().body, nullptr, false);
  return body.is_object() ? body : nlohmann::json::object();
}

auto QueryNumber(std::string_view query,
                 std::string_view name,
                 std::uint64_t fallback) -> std::uint64_t {
  const std::string prefix = std::string(name) + "=";
  std::size_t begin = 0;
  while (begin < query.size()) {
    const std::size_t end = query.find('&', begin);
    const std::string_view part = query.substr(begin, end - begin);
    if (part.starts_with(prefix)) {
      std::uint64_t value = fallback;
      std::from_chars(part.data() + prefix.size(), part.data() + part.size(),
                      value);
      return value;
    }
    begin = end == std::string_view::npos ? query.size() : end + 1;
  }
  return fallback;
}

}  // namespace auburnloft::standins
