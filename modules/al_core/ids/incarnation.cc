#include "al_core/ids/incarnation.h"

#include <cassert>
#include <charconv>

namespace auburnloft {

namespace {
constexpr char kStartSeparator = '#';
constexpr char kSuffixSeparator = '-';
}  // namespace

auto MakeIncarnation(const RouterId& router,
                     std::int64_t started_at_ms,
                     std::string_view suffix) -> IncarnationId {
  assert(!router.empty());
  assert(router.value().find(kStartSeparator) == std::string::npos);
  return IncarnationId(router.value() + kStartSeparator +
                       std::to_string(started_at_ms) + kSuffixSeparator +
                       std::string(suffix));
}

auto RouterOf(const IncarnationId& incarnation) -> RouterId {
  const std::string_view text = incarnation.value();
  return RouterId(text.substr(0, text.find(kStartSeparator)));
}

auto StartedAtMs(const IncarnationId& incarnation) -> std::int64_t {
  const std::string_view text = incarnation.value();
  const std::size_t separator = text.find(kStartSeparator);
  if (separator == std::string_view::npos) {
    return 0;
  }
  std::int64_t started = 0;
  std::from_chars(text.data() + separator + 1, text.data() + text.size(),
                  started);
  return started;
}

}  // namespace auburnloft
