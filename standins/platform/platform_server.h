#ifndef STANDINS_PLATFORM_PLATFORM_SERVER_H_
#define STANDINS_PLATFORM_PLATFORM_SERVER_H_

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "al_core/random/random_source.h"
#include "al_edge/http/http_server.h"
#include "al_edge/loop/event_loop.h"
#include "platform/log_store.h"
#include "platform/rate_limit.h"

namespace auburnloft::standins {

/** The platform's services in one small server: log, VM list, weight store, and
   their faults.

    - `POST /streams/NAME/records` appends the body as one record: `{"offset":
   N}`
    - `GET /streams/NAME/records?from=N&max=M`: `{"first", "next", "oldest",
   "records": [base64]}`
    - `GET /vms`, `PUT /vms/NAME`, `DELETE /vms/NAME`
    - `GET /weights/NAME?bytes=N`: 200, or 429 above the rate
    - `GET /stats`; `POST /faults` with any of `outage`, `slow_ms`,
   `lose_replies` (probability), `late_appends_ms`, `block_clients` (values of
   the header x-client)

    Thread safety: none; used on the loop's thread.
*/
class PlatformServer {
 public:
  struct Options {
    std::string address;
    LogStore::Retention retention;
    double appends_per_second = 400.0;
    double weight_bytes_per_second = 1e9;
    Duration vm_lag = std::chrono::seconds(1);
    std::uint64_t seed = 1;
  };

  PlatformServer(EventLoop& loop, Options options);

  PlatformServer(const PlatformServer&) = delete;
  auto operator=(const PlatformServer&) -> PlatformServer& = delete;

  [[nodiscard]] auto Listen() -> bool;

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  struct Faults {
    bool outage = false;
    Duration slow{0};
    double lose_replies = 0.0;
    Duration late_appends{0};
    std::set<std::string> block_clients;
  };
  struct VmVersion {
    Instant at;
    std::map<std::string, nlohmann::json> rows;
  };

  auto OnRequest(const Exchange& exchange) -> void;
  auto Handle(const Exchange& exchange) -> void;
  auto HandleStream(const Exchange& exchange) -> void;
  auto Append(const Exchange& exchange, const std::string& stream) -> void;
  auto HandleVms(const Exchange& exchange) -> void;
  auto HandleWeights(const Exchange& exchange) -> void;
  auto SetFaults(const Exchange& exchange) -> void;

  EventLoop& loop;
  Options options;
  HttpServer server;
  LogStore log;
  RateLimit append_limit;
  RateLimit weight_limit;
  RandomSource random;
  Faults faults;
  std::deque<VmVersion> vm_versions;
  std::uint64_t refused_appends = 0;
};

}  // namespace auburnloft::standins

#endif  // STANDINS_PLATFORM_PLATFORM_SERVER_H_
