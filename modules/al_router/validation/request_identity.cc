#include "al_router/validation/request_identity.h"

#include <charconv>
#include <string>

namespace auburnloft {

namespace {

constexpr std::size_t kUuidSize = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kTimeHighSize = 8;
constexpr std::size_t kTimeLowPosition = 9;
constexpr std::size_t kTimeLowSize = 4;
constexpr int kHexBase = 16;

}  // namespace

auto IssueTimeOfUuid(std::string_view key) -> std::optional<std::int64_t> {
  const bool is_version_7 = key.size() == kUuidSize &&
                            key[kTimeLowPosition - 1] == '-' &&
                            key[kVersionPosition] == '7';
  if (!is_version_7) {
    return std::nullopt;
  }
  const std::string digits =
      std::string(key.substr(0, kTimeHighSize)) +
      std::string(key.substr(kTimeLowPosition, kTimeLowSize));
  std::int64_t millis = 0;
  const auto [end, error] = std::from_chars(
      digits.data(), digits.data() + digits.size(), millis, kHexBase);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return millis;
}

auto ParseIssueTime(std::string_view text) -> std::optional<std::int64_t> {
  std::int64_t millis = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (error != std::errc() || end != text.data() + text.size() || millis < 0) {
    return std::nullopt;
  }
  return millis;
}

}  // namespace auburnloft
