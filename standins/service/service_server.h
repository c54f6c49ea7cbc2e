#ifndef STANDINS_SERVICE_SERVICE_SERVER_H_
#define STANDINS_SERVICE_SERVICE_SERVER_H_

#include <map>
#include <memory>
#include <string>

#include "al_core/random/random_source.h"
#include "al_edge/http/http_server.h"
#include "al_edge/loop/event_loop.h"

namespace auburnloft::standins {

/** Stand-in for a plain service. Counts the executions of each idempotency key,
    so that tests can find duplicate executions.

    - Any path not listed below executes the call and returns `{"done": KEY}`;
   the execution is counted if the request has an `idempotency-key`.
    - `GET /executions` returns the counts by key.
    - `GET /load` returns the load.
    - `POST /faults` replaces the injected faults by those in the body:
      `outage`, `slow_ms` (added to the execution time), `lose_replies`
      (probability that the response is lost after the execution) and `leaving`
      (the load report says that the service drains).

    Thread safety: none; used on the event loop's thread.
*/
class ServiceServer {
 public:
  /** @param work  time that one execution takes.
      @param seed  random seed for `lose_replies`. */
  ServiceServer(EventLoop& loop,
                std::string address,
                Duration work,
                std::uint64_t seed);

  ServiceServer(const ServiceServer&) = delete;
  auto operator=(const ServiceServer&) -> ServiceServer& = delete;

  /** Starts to serve. @return false if the address is not available. */
  [[nodiscard]] auto Listen() -> bool { return this->server.Listen(); }

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  struct Faults {
    bool outage = false;
    bool leaving = false;
    Duration slow{0};
    double lose_replies = 0.0;
  };

  auto OnRequest(const Exchange& exchange) -> void;
  auto Execute(const Exchange& exchange) -> void;

  EventLoop& loop;
  Duration work;
  RandomSource random;
  HttpServer server;
  Faults faults;
  std::map<std::string, int> executions;  ///< Counts by idempotency key.
  int running = 0;
};

}  // namespace auburnloft::standins

#endif  // STANDINS_SERVICE_SERVICE_SERVER_H_
