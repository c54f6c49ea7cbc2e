#ifndef STANDINS_SERVICE_SERVICE_SERVER_H_
#define STANDINS_SERVICE_SERVICE_SERVER_H_

#include <map>
#include <memory>
#include <string>

#include "al_core/random/random_source.h"
#include "al_edge/http/http_server.h"
#include "al_edge/loop/event_loop.h"

namespace auburnloft::standins {

/** A plain service that counts how often each key was executed.

    Any call with an `idempotency-key` is an execution and answers `{"done":
   KEY}`. `GET /executions` tells the counts, `GET /load` the load. `POST
   /faults` takes any of `outage`, `slow_ms`, `lose_replies` (probability that
   the answer is lost after the execution) and `leaving`.

    Thread safety: none; used on the loop's thread.
*/
class ServiceServer {
 public:
  ServiceServer(EventLoop& loop,
                std::string address,
                Duration work,
                std::uint64_t seed);

  ServiceServer(const ServiceServer&) = delete;
  auto operator=(const ServiceServer&) -> ServiceServer& = delete;

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
  std::map<std::string, int> executions;
  int running = 0;
};

}  // namespace auburnloft::standins

#endif  // STANDINS_SERVICE_SERVICE_SERVER_H_
