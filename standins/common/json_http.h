#ifndef STANDINS_COMMON_JSON_HTTP_H_
#define STANDINS_COMMON_JSON_HTTP_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "al_edge/http/http_exchange.h"

namespace auburnloft::standins {

/** Sends a response with a JSON body. */
auto RespondJson(HttpExchange& exchange, int status, const nlohmann::json& body)
    -> void;

/** Parses the request body as a JSON object. Returns an empty object if the
    body is anything else. */
[[nodiscard]] auto ParseJsonBody(const HttpExchange& exchange)
    -> nlohmann::json;

/** The value of a numeric query parameter such as `from=12`, or `fallback` if
    it is absent or not a number. */
[[nodiscard]] auto QueryNumber(std::string_view query,
                               std::string_view name,
                               std::uint64_t fallback) -> std::uint64_t;

}  // namespace auburnloft::standins

#endif  // STANDINS_COMMON_JSON_HTTP_H_
