#ifndef PROGRAMS_SOAK_SOAK_RESULT_H_
#define PROGRAMS_SOAK_SOAK_RESULT_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace auburnloft::soak {

/** A kind of request: its route and the guarantees that its callers rely on. */
struct RequestKind {
  std::string_view path;
  bool streams = false;
  bool at_most_once = true;  ///< Upstreams must not execute it twice.
};

/** Result of one request, as its caller observed it. The caller never retries,
 * but may take up a stream that was broken off with another request. */
struct RequestResult {
  std::string id;
  const RequestKind* kind = nullptr;
  std::string team;
  std::string router;  ///< Address.
  std::uint64_t prompt_tokens = 0;
  int status = 0;            ///< HTTP status; 0 if no response began.
  bool was_sent = false;     ///< Whether any byte of the request was sent.
  bool is_complete = false;  ///< The response ended normally.
  bool is_mixed =
      false;  ///< The response has bytes of another request or is out of order.
  bool is_deadly = false;           ///< Each upstream ends that runs it.
  bool on_kept_connection = false;  ///< Others preceded it on its connection.
  std::uint64_t events = 0;         ///< Events received of the stream.
  std::set<std::string> releases;   ///< Of the upstreams that wrote them.
  std::string resumes;  ///< The request that brought the first event of the
                        ///< stream that this one takes up; empty: none.

  /** Whether the status guarantees that the request was not and will not be
   * executed. */
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
