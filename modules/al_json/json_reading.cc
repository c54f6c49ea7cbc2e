#include "al_json/json_reading.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace auburnloft {

using Json = nlohmann::json;

auto ParseJson(std::string_view text) -> Json {
  Json parsed = Json::parse(text, nullptr, false);
  if (!parsed.is_discarded()) {
    return parsed;
  }
  constexpr unsigned char kFirstNonAscii = 0x80;
  std::string replaced(text);
  std::ranges::replace_if(
      replaced, [](unsigned char letter) { return letter >= kFirstNonAscii; },
      '?');
  return Json::parse(replaced, nullptr, false);
}

auto ParseStrictJson(std::string_view text) -> Json {
  bool is_too_deep = false;
  const auto accept = [&is_too_deep](int depth, Json::parse_event_t /*event*/,
                                     Json& /*parsed*/) {
    is_too_deep = is_too_deep || depth >= kMaxJsonDepth;
    return !is_too_deep;  // Nothing more is built.
  };
  Json parsed = Json::parse(text, accept, false);
  return is_too_deep ? Json(Json::value_t::discarded) : parsed;
}

auto FindText(const Json& object, const char* name)
    -> std::optional<std::string> {
  const auto found = object.find(name);
  return found != object.end() && found->is_string()
             ? std::optional(found->get<std::string>())
             : std::nullopt;
}

auto FindBoolean(const Json& object, const char* name) -> std::optional<bool> {
  const auto found = object.find(name);
  return found != object.end() && found->is_boolean()
             ? std::optional(found->get<bool>())
             : std::nullopt;
}

auto FindArray(const Json& object, const char* name)
    -> const std::vector<Json>& {
  static const std::vector<Json> kNone;
  const auto found = object.find(name);
  return found != object.end() && found->is_array()
             ? found->get_ref<const Json::array_t&>()
             : kNone;
}

auto FindWhole(const Json& object,
               const char* name,
               std::int64_t min,
               std::int64_t max) -> std::optional<std::int64_t> {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number()) {
    return std::nullopt;
  }
  // Compared as a floating-point number first, as other conversions of a number
  // that is out of range are undefined.
  const double value = found->get<double>();
  const bool is_in_range = value >= static_cast<double>(min) &&
                           value <= static_cast<double>(max) &&
                           std::floor(value) == value;
  return is_in_range ? std::optional(static_cast<std::int64_t>(value))
                     : std::nullopt;
}

auto HasMember(const Json& object, const char* name) -> bool {
  const auto found = object.find(name);
  return found != object.end() && !found->is_null();
}

}  // namespace auburnloft
