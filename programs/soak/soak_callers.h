#ifndef PROGRAMS_SOAK_SOAK_CALLERS_H_
#define PROGRAMS_SOAK_SOAK_CALLERS_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "al_core/random/random_source.h"
#include "al_edge/loop/loop_timer.h"
#include "al_http1/http1_client_connection.h"
#include "soak/soak_result.h"

namespace auburnloft::soak {

/** Callers of a fleet: they send requests of all kinds at random routers, keep
    connections open until these end, and note what they saw. Now and then they
    ask a router for the newest route on which it has served: one that no longer
    knows it went back to an older configuration.

    Thread safety: none; used on the loop's thread.
*/
class SoakCallers {
 public:
  struct Settings {
    std::vector<std::string> routers;  ///< Addresses for callers.
    std::uint64_t seed = 1;
    double requests_per_second = 40.0;
  };

  SoakCallers(SocketPoller& poller, Settings settings);
  ~SoakCallers();

  SoakCallers(const SoakCallers&) = delete;
  auto operator=(const SoakCallers&) -> SoakCallers& = delete;

  //============================================================================
  // Commands

  auto Start() -> void;

  /** Sends nothing new; what is open goes on. */
  auto Stop() -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto open() const -> std::size_t { return this->calls.size(); }
  [[nodiscard]] auto results() const -> const std::vector<RequestResult>& {
    return this->finished;
  }
  [[nodiscard]] auto config_reversions() const -> std::uint64_t {
    return this->reversions;
  }

 private:
  using Connection = std::shared_ptr<Http1ClientConnection>;
  struct Call;

  auto SendNext() -> void;
  auto SendRequest() -> void;
  auto SendProbe() -> void;
  [[nodiscard]] auto NewCall() -> std::unique_ptr<Call>;
  [[nodiscard]] static auto SerializeRequest(const RequestResult& attempt,
                                             const std::string& path)
      -> std::string;
  auto Send(std::unique_ptr<Call> call, const std::string& path) -> void;
  auto OnHead(Call& call, const Http1ResponseHead& head) -> void;
  auto OnBody(Call& call, const std::string& bytes) -> void;
  auto OnDone(Call& call, Http1Outcome outcome) -> void;
  auto OnProbeDone(const Call& call) -> void;
  [[nodiscard]] auto PickRouter() -> const std::string&;
  auto ConnectionTo(const std::string& router) -> Connection;

  SocketPoller& poller;
  Settings settings;
  RandomSource random;
  std::unique_ptr<LoopTimer> timer;
  std::map<std::string, std::vector<Connection>>
      idle_connections;  ///< By router.
  std::list<std::unique_ptr<Call>> calls;
  std::vector<RequestResult> finished;
  std::uint64_t sent = 0;
  std::map<std::string, std::uint64_t> newest_served_route;  ///< By router.
  std::uint64_t reversions = 0;
};

}  // namespace auburnloft::soak

#endif  // PROGRAMS_SOAK_SOAK_CALLERS_H_
