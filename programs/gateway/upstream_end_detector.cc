#include "gateway/upstream_end_detector.h"

#include <utility>
#include <vector>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "al_gateway/upstreams/upstream_directory.h"
#include "al_net/tcp_connection.h"

namespace auburnloft::gateway {

namespace {

/** Timeout of a probe: as for connections that carry requests. */
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);

/** How long a probe that was accepted stays open: time enough for an
   intermediary that does not reach the process to close it. Not longer, as a
   connection may hold a slot of the upstream. */
constexpr Duration kProbeHold = std::chrono::milliseconds(10);

/** Records are read each 400 ms. */
constexpr Duration kCheckInterval = std::chrono::milliseconds(200);

}  // namespace

UpstreamEndDetector::UpstreamEndDetector(SocketPoller& poller,
                                         const UpstreamDirectory& upstreams,
                                         Callbacks callbacks)
    : poller(poller),
      upstreams(upstreams),
      callbacks(std::move(callbacks)),
      timer(std::make_unique<LoopTimer>(poller.loop(),
                                        [this] { this->CheckRecords(); })) {}

UpstreamEndDetector::~UpstreamEndDetector() {
  for (const auto& [upstream, observation] : this->observations) {
    if (observation.probe) {
      observation.probe->Close();
    }
  }
}

auto UpstreamEndDetector::Observe(const UpstreamRecord& upstream) -> void {
  if (this->observations.empty()) {
    this->timer->Start(kCheckInterval);
  }
  Observation& observation = this->observations[upstream.process()];
  observation.ends_at = this->poller.loop().Now() + kObservationTime;
  if (!observation.probe || !observation.probe->is_open()) {
    this->Probe(upstream, observation);
  }
}

auto UpstreamEndDetector::Probe(const UpstreamRecord& upstream,
                                Observation& observation) -> void {
  TcpConnection::Callbacks on_probe;
  on_probe.on_connected = [this, process = upstream.process()] {
    this->OnAccepted(process);
  };
  on_probe.on_end = [this, process = upstream.process()](TcpCloseReason why) {
    if (why != TcpCloseReason::kNotConnected) {
      this->ReportEnd(process);
    }
  };
  observation.hold_timer.reset();
  observation.probe = TcpConnection::Connect(
      this->poller, upstream.address, kProbeTimeout, std::move(on_probe));
}

auto UpstreamEndDetector::OnAccepted(const UpstreamProcess& upstream) -> void {
  const auto found = this->observations.find(upstream);
  if (found == this->observations.end()) {
    return;
  }
  // A raw pointer is safe: the observation owns the timer and the probe.
  found->second.hold_timer = std::make_unique<LoopTimer>(
      this->poller.loop(), [raw = found->second.probe.get()] { raw->Close(); });
  found->second.hold_timer->Start(kProbeHold);
  this->callbacks.on_accepted(upstream);
}

auto UpstreamEndDetector::CheckRecords() -> void {
  const Instant now = this->poller.loop().Now();
  std::vector<UpstreamProcess> ended;
  for (const auto& [upstream, observation] : this->observations) {
    if (!this->upstreams.Contains(upstream)) {
      ended.push_back(upstream);
    }
  }
  for (const UpstreamProcess& upstream : ended) {
    this->ReportEnd(upstream);
  }
  std::erase_if(this->observations, [now](const auto& item) {
    const bool is_over = now >= item.second.ends_at;
    if (is_over && item.second.probe) {
      item.second.probe->Close();
    }
    return is_over;
  });
  if (!this->observations.empty()) {
    this->timer->Start(kCheckInterval);
  }
}

auto UpstreamEndDetector::ReportEnd(const UpstreamProcess& upstream) -> void {
  const auto found = this->observations.find(upstream);
  if (found == this->observations.end()) {
    return;
  }
  // A callback of the probe may be running, so that the probe is released
  // later.
  const std::shared_ptr<TcpConnection> probe = std::move(found->second.probe);
  if (probe) {
    probe->Close();
    this->poller.loop().Post([probe] {});
  }
  this->observations.erase(found);
  this->callbacks.on_ended(upstream);
}

}  // namespace auburnloft::gateway
