#ifndef PROGRAMS_LOAD_LOAD_GENERATOR_H_
#define PROGRAMS_LOAD_LOAD_GENERATOR_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "al_core/random/random_source.h"
#include "al_edge/loop/event_loop.h"
#include "al_http1/http_client.h"
#include "load/caller.h"
#include "load/entry_address_table.h"
#include "load/request_result.h"
#include "load/workload.h"

namespace auburnloft::load {

/** Generates open-loop load: requests of a workload arrive as a Poisson
   process, independent of the responses.

    Thread safety: none.
*/
class LoadGenerator {
 public:
  struct Options {
    std::vector<std::string> bootstrap;
    bool uses_entry_lists = true;
    double rate = 10.0;  ///< Requests per second.
    Duration duration = std::chrono::seconds(10);
    Duration grace = std::chrono::seconds(
        30);  ///< Wait for responses after the last request.
    std::uint64_t seed = 1;
    std::map<TeamId, Tokens>
        budgets;  ///< Top-ups minus bills at the start, for the count of false
                  ///< refusals; may be empty.
  };

  LoadGenerator(Workload workload, Options options);

  LoadGenerator(const LoadGenerator&) = delete;
  auto operator=(const LoadGenerator&) -> LoadGenerator& = delete;

  /** Sends all requests and blocks until each has a result or the grace period
   * ends. */
  auto Run() -> void;

  [[nodiscard]] auto results() const -> const std::vector<RequestResult>& {
    return this->finished;
  }
  [[nodiscard]] auto sent() const -> std::uint64_t { return this->sent_count; }
  [[nodiscard]] auto seconds() const -> double { return this->elapsed_seconds; }

 private:
  struct TeamSpending {
    Tokens used_tokens = 0;
    Tokens reserved = 0;  ///< Cost bounds of the open requests.
  };

  auto ScheduleNext() -> void;
  auto SendRequest() -> void;
  auto OnResult(RequestResult result) -> void;
  auto MakeRequestKey() -> std::string;

  Workload workload;
  Options options;
  EventLoop loop;
  HttpClient http;
  RandomSource random;
  EntryAddressTable entries;
  std::map<TeamId, TeamSpending> spending;
  std::vector<RequestResult> finished;
  std::uint64_t sent_count = 0;
  double elapsed_seconds = 0.0;
  Instant next_at;
  Instant end_at;
  bool all_sent = false;
};

}  // namespace auburnloft::load

#endif  // PROGRAMS_LOAD_LOAD_GENERATOR_H_
