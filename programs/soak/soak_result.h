#ifndef PROGRAMS_SOAK_SOAK_RESULT_H_
#define PROGRAMS_SOAK_SOAK_RESULT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnloft::soak {

/** A kind of request: its route, and what its callers rely on. */
struct RequestKind {
  std::string_view path;
  bool streams = false;
  bool at_most_once = true;  ///< It must not run twice.
};

/** What one attempt's caller saw. */
struct RequestResult {
  std::string id;
  const RequestKind* kind = nullptr;
  std::string team;
  std::string router;  ///< Address.
  std::uint64_t prompt_tokens = 0;
  int status = 0;            ///< 0: no answer began.
  bool sent = false;         ///< Whether any byte left the caller.
  bool is_complete = false;  ///< The answer came to its end.
  bool is_mixed = false;     ///< Bytes of another request, or out of order.
  std::uint64_t events = 0;  ///< Of its stream, as they came.

  /** True where the answer promises that it has not run and never will. */
  [[nodiscard]] auto promises_not_executed() const -> bool {
    constexpr int kTimedOut = 408;
    constexpr int kMisdirected = 421;
    constexpr int kTooMany = 429;
    constexpr int kUnavailable = 503;
    return this->status == kTimedOut || this->status == kMisdirected ||
           this->status == kTooMany || this->status == kUnavailable;
  }
};

}  // namespace auburnloft::soak

#endif  // PROGRAMS_SOAK_SOAK_RESULT_H_
