#ifndef PROGRAMS_SOAK_SOAK_CALLERS_H_
#define PROGRAMS_SOAK_SOAK_CALLERS_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "al_core/random/random_source.h"
#include "al_edge/loop/loop_timer.h"
#include "al_http1/http1_client_connection.h"
#include "soak/soak_result.h"

namespace auburnloft::soak {

/** Simulates the callers of a fleet: sends requests of all kinds to random
   routers, reuses idle connections for the time that routers state, and records
   the results. Streams that were broken off may be taken up. Some requests are
   probes: they use the newest route that a router has served, or the next one.
   A router that no longer has a route it served before has reverted to an older
   configuration.

    Thread safety: none; used on the loop's thread.
*/
class SoakCallers {
 public:
  struct Settings {
    std::vector<std::string> routers;  ///< Caller addresses of the routers.
    std::uint64_t seed = 1;
    double requests_per_second = 40.0;
    double deadly_fraction = 0.0;  ///< Of requests that crash upstreams.
    int take_ups = 0;  ///< How often a broken stream is taken up at most.
    Duration longest_pause{0};  ///< Of all callers at once; 0: none pauses.
  };

  SoakCallers(SocketPoller& poller, Settings settings);
  ~SoakCallers();

  SoakCallers(const SoakCallers&) = delete;
  auto operator=(const SoakCallers&) -> SoakCallers& = delete;

  //============================================================================
  // Commands

  /** Starts to send requests at random intervals. */
  auto Start() -> void;

  /** Sends no new requests; open requests continue. */
  auto Stop() -> void;

  //============================================================================
  // Queries

  /** Number of open requests. */
  [[nodiscard]] auto open() const -> std::size_t { return this->calls.size(); }
  [[nodiscard]] auto results() const -> const std::vector<RequestResult>& {
    return this->finished;
  }
  /** Number of probes that found a reverted configuration. */
  [[nodiscard]] auto config_reversions() const -> std::uint64_t {
    return this->reversions;
  }

 private:
  using Connection = std::shared_ptr<Http1ClientConnection>;
  struct Call;

  /** A connection without a request. */
  struct KeptConnection {
    Connection connection;
    std::optional<Instant> reusable_until;  ///< None: not stated.
  };

  auto SendNext() -> void;
  auto SendRequest() -> void;
  auto SendProbe() -> void;
  /** Repeats a request under which each upstream ends that runs it. */
  auto SendDeadly() -> void;
  [[nodiscard]] auto NewCall() -> std::unique_ptr<Call>;
  /** Requests the rest of a stream that was broken off from another router. */
  auto TakeUp(const RequestResult& broken,
              std::uint64_t last_event_id,
              int take_ups_left) -> void;
  [[nodiscard]] static auto SerializeRequest(const Call& call,
                                             const std::string& path)
      -> std::string;
  auto Send(std::unique_ptr<Call> call, const std::string& path) -> void;
  auto OnHead(Call& call, const Http1ResponseHead& head) -> void;
  auto OnBody(Call& call, const std::string& bytes) -> void;
  auto OnDone(Call& call, Http1Outcome outcome) -> void;
  auto OnProbeDone(const Call& call) -> void;
  /** Has a stream that is not complete taken up shortly after. */
  auto OnStreamDone(const Call& call) -> void;
  [[nodiscard]] auto PickRouter() -> const std::string&;
  /** Returns a kept or a new connection for a request, which says so. */
  auto ConnectionFor(RequestResult& result) -> Connection;

  SocketPoller& poller;
  Settings settings;
  RandomSource random;
  std::unique_ptr<LoopTimer> timer;
  std::map<std::string, std::vector<KeptConnection>>
      idle_connections;  ///< By router.
  std::list<std::unique_ptr<Call>> calls;
  std::vector<RequestResult> finished;
  std::uint64_t sent = 0;
  std::map<std::string, std::uint64_t>
      newest_served_route;  ///< Configuration version by router.
  std::uint64_t reversions = 0;
};

}  // namespace auburnloft::soak

#endif  // PROGRAMS_SOAK_SOAK_CALLERS_H_
