#ifndef STANDINS_COMMON_JSON_HTTP_H_
#define STANDINS_COMMON_JSON_HTTP_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "al_edge/http/http_exchange.h"

namespace auburnloft::standins {

/** Answers with a JSON document. */
auto RespondJson(HttpExchange& exchange, int status, const nlohmann::json& body)
    -> void;

/** The JSON object of a request's body; an empty object where it is none. */
[[nodiscard]] auto ParseJsonBody(const HttpExchange& exchange)
    -> nlohmann::json;

/** A number of the query, as in `from=12`; `fallback` where it is absent. */
[[nodiscard]] auto QueryNumber(std::string_view query,
                               std::string_view name,
                               std::uint64_t fallback) -> std::uint64_t;

}  // namespace auburnloft::standins

#endif  // STANDINS_COMMON_JSON_HTTP_H_
