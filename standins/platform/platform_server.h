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

/** Stand-in for the platform: the log service, the VM list and the store of
    model weights in one HTTP server, with fault injection.

    - `POST /streams/NAME/records` appends the body as one record and returns
      `{"offset": N}`, or status 429 above the append rate.
    - `GET /streams/NAME/records?from=N&max=M` returns
      `{"first", "next", "oldest", "records": [base64]}`.
    - `GET /vms` returns the list as it was `Options::vm_lag` ago;
      `PUT /vms/NAME` and `DELETE /vms/NAME` change it.
    - `GET /weights/NAME?bytes=N` returns status 200, or 429 above the rate.
    - `GET /stats` returns counters.
    - `POST /faults` replaces the injected faults by those in the body:
      `outage`, `slow_ms` (delay before a request is handled), `lose_replies`
      (probability that the reply to an append is lost), `late_appends_ms`
      (appends lose their reply and take effect after this time) and
      `block_clients` (values of the header x-client).

    The client `operator-setup` is exempt from `outage` and `block_clients`.

    Thread safety: none; used on the event loop's thread.
*/
class PlatformServer {
 public:
  struct Options {
    std::string address;  ///< IP:PORT to listen on.
    LogStore::Retention retention;
    double appends_per_second = 400.0;  ///< Over all streams.
    double weight_bytes_per_second = 1e9;
    Duration vm_lag = std::chrono::seconds(1);  ///< Age of the VM list.
    std::uint64_t seed = 1;  ///< Random seed for `lose_replies`.
  };

  PlatformServer(EventLoop& loop, Options options);

  PlatformServer(const PlatformServer&) = delete;
  auto operator=(const PlatformServer&) -> PlatformServer& = delete;

  /** Starts to serve. @return false if the address is not available. */
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

  /** The VM list as of one change. */
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
