#ifndef GATEWAY_UPSTREAM_END_DETECTOR_H_
#define GATEWAY_UPSTREAM_END_DETECTOR_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "al_core/time/instant.h"
#include "al_gateway/model/upstream_record.h"
#include "al_net/socket_poller.h"

namespace auburnloft {
class LoopTimer;
class TcpConnection;
}  // namespace auburnloft

namespace auburnloft::gateway {

class UpstreamDirectory;

/** Finds out whether an upstream's process has ended after one of its
   connections broke: a reset, a lost answer or a cut link look alike from that
   connection alone.

    It has ended if a new connection is refused, or closed at once as by an
   intermediary that does not reach it, or if its record is removed or replaced
   within the observation time. A connection that is neither accepted nor
   refused tells nothing.

    Thread safety: none; used on the loop's thread.
*/
class UpstreamEndDetector {
 public:
  struct Callbacks {
    /** The process has ended. Called once in an observation, at its end. */
    std::function<void(const UpstreamProcess&)> on_ended;

    /** Something accepts connections at its address. */
    std::function<void(const UpstreamProcess&)> on_accepted;
  };

  /** How long a process is observed. */
  static constexpr Duration kObservationTime = std::chrono::seconds(5);

  /** @pre the references outlive this object. */
  UpstreamEndDetector(SocketPoller& poller,
                      const UpstreamDirectory& upstreams,
                      Callbacks callbacks);
  ~UpstreamEndDetector();

  UpstreamEndDetector(const UpstreamEndDetector&) = delete;
  auto operator=(const UpstreamEndDetector&) -> UpstreamEndDetector& = delete;

  /** Observes a process whose connection broke. Restarts the observation of one
   * that is observed already. */
  auto Observe(const UpstreamRecord& upstream) -> void;

 private:
  struct Observation {
    Instant ends_at{};
    std::shared_ptr<TcpConnection> probe;
    std::unique_ptr<LoopTimer> hold_timer;  ///< Closes an accepted probe.
  };

  auto Probe(const UpstreamRecord& upstream, Observation& observation) -> void;
  auto OnAccepted(const UpstreamProcess& upstream) -> void;
  auto CheckRecords() -> void;
  /** Ends the observation; calls on_ended if the process was observed. */
  auto ReportEnd(const UpstreamProcess& upstream) -> void;

  SocketPoller& poller;
  const UpstreamDirectory& upstreams;
  Callbacks callbacks;
  std::map<UpstreamProcess, Observation> observations;
  std::unique_ptr<LoopTimer> timer;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_UPSTREAM_END_DETECTOR_H_
