#ifndef TESTS_SUPPORT_VIRTUAL_FLEET_H_
#define TESTS_SUPPORT_VIRTUAL_FLEET_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "al_router/core/router_core.h"
#include "support/event_queue.h"
#include "support/fake_log.h"
#include "support/fake_upstreams.h"

namespace auburnloft::testing {

/** The state of one caller's request, from its first try to its end. */
struct CallerRecord {
  IncomingRequest arrival;
  std::size_t router = 0;
  int tries = 0;
  bool done = false;
  bool answered = false;
  bool replayed = false;
  bool sent_in_this_try = false;  ///< The current try has reached an upstream.
  std::optional<Refusal> refusal;
  Tokens spent = 0;
  Instant began;
  Instant ended;
};

/** Simulates a fleet in virtual time: the routers' real decision code between a
   fake log service, fake upstreams and simulated callers.

    Routers can be cut off, paused, killed and replaced. All random choices come
   from one seed, so that a run can be repeated exactly.
*/
class VirtualFleet {
 public:
  struct Options {
    std::uint64_t seed = 1;
    std::size_t routers = 4;
    std::map<std::string, Tokens> budgets;
    nlohmann::json
        configuration;  ///< JSON merge patch of the default configuration.
  };

  /** A router's VM and the process that runs on it. */
  struct Node {
    RouterId name;
    Vm vm;
    std::unique_ptr<RouterCore> core;
    std::uint64_t incarnation_number = 0;
    bool paused = false;
    bool listed = true;
    std::vector<EventQueue::Event>
        inbox;  ///< Events that arrived during a pause.
    std::map<RequestHandle, std::size_t> handles;
    std::uint64_t peer_bytes = 0;
  };

  explicit VirtualFleet(Options given);

  VirtualFleet(const VirtualFleet&) = delete;
  auto operator=(const VirtualFleet&) -> VirtualFleet& = delete;

  //============================================================================
  // Faults and operators

  auto Start(std::size_t index) -> void;
  auto Kill(std::size_t index) -> void;
  auto Pause(std::size_t index) -> void;
  auto Resume(std::size_t index) -> void;
  auto SetListed(std::size_t index, bool listed) -> void;

  /** Drops all messages from one router to another until RestoreLinks(). */
  auto CutLink(std::size_t from, std::size_t to) -> void {
    this->cut_links.insert({from, to});
  }
  auto CutLog(std::size_t node) -> void { this->cut_logs.insert(node); }
  auto RestoreLinks() -> void;
  auto TopUp(const TeamId& team, Tokens tokens, const std::string& id) -> void;

  /** Publishes a change of the configuration, as an operator's tool does.
      @param base  version that the patch applies to. */
  auto Publish(std::uint64_t base, const nlohmann::json& patch) -> void;

  //============================================================================
  // Callers

  /** Sends a request to a router. If the router is down or is killed, the
     caller tries a random router, up to `max_tries` tries in total.
      @return index into `callers`. */
  auto Send(std::size_t node, IncomingRequest arrival) -> std::size_t;

  /** Returns a request of a team: a call of a service if `at_most_once`, else a
     chat request. @param upper  upper bound of its tokens. */
  [[nodiscard]] auto MakeRequest(const std::string& team,
                                 const std::string& key,
                                 Tokens upper,
                                 bool at_most_once) -> IncomingRequest;

  //============================================================================
  // Time

  /** Runs all events up to `end`, unless `after_step` stops the simulation. */
  auto RunUntil(Instant end) -> void;
  auto RunFor(Duration span) -> void {
    this->RunUntil(this->queue.Now() + span);
  }

  /** Called after each event; returns false to stop the simulation. */
  std::function<bool()> after_step;

  /** Called when a request ends for its caller. */
  std::function<void(const CallerRecord& caller)> on_end;

  /** Replaces the fake upstreams if set, for example by a model of busy
   * engines.
   */
  std::function<void(std::size_t node,
                     const SendUpstreamRequest& action,
                     const IncomingRequest& arrival)>
      send_upstream;

  /** Called with each action of a router before it is executed. */
  std::function<void(std::size_t node, const Action& action)> on_action;

  //============================================================================

  /** Delivers a result of an upstream that is simulated through
     `send_upstream`. */
  auto ReportDone(std::size_t index,
                  std::uint64_t incarnation_number,
                  const UpstreamCompleted& done) -> void;
  auto ReportFailed(std::size_t index,
                    std::uint64_t incarnation_number,
                    const UpstreamFailed& failed) -> void;

  EventQueue queue;
  RandomSource random;
  FakeLog log;
  FakeUpstreams upstreams;
  double message_loss_probability = 0.0;
  double message_repeat_probability = 0.0;
  Duration link_delay = std::chrono::microseconds(500);
  std::vector<Node> nodes;
  std::vector<CallerRecord> callers;
  std::uint64_t steps = 0;
  bool stopped = false;
  int max_tries = 6;

 private:
  auto ListVms() -> VmList;
  auto Deliver(std::size_t index,
               std::uint64_t incarnation_number,
               const EventQueue::Event& event) -> void;
  auto Tick(std::size_t index, std::uint64_t incarnation_number) -> void;
  auto FetchVms(std::size_t index, std::uint64_t incarnation_number) -> void;
  auto ExecuteActions(std::size_t index) -> void;
  auto Execute(std::size_t index, const SendPeerMessage& action) -> void;
  auto Execute(std::size_t index, const AppendRecord& action) -> void;
  auto Execute(std::size_t index, const ReadRecords& action) -> void;
  auto Execute(std::size_t index, const SendUpstreamRequest& action) -> void;
  auto Execute(std::size_t index, const ResumeUpstreamStream& action) -> void;
  auto Execute(std::size_t index, const CancelUpstreamRequest& action) -> void;
  auto Execute(std::size_t index, const RefuseRequest& action) -> void;
  auto Execute(std::size_t index, const ReplayResponse& action) -> void;
  auto Execute(std::size_t index, const ReleaseResponse& action) -> void;
  auto NotifyEnd(const CallerRecord& caller) -> void;
  auto StartTry(std::size_t number, std::size_t index) -> void;
  auto EndCaller(std::size_t index, RequestHandle handle) -> CallerRecord*;
  auto ReportLogFailure(std::size_t index,
                        std::uint64_t incarnation_number,
                        LogTag tag) -> void;

  Options options;
  std::set<std::pair<std::size_t, std::size_t>> cut_links;
  std::set<std::size_t> cut_logs;
  std::vector<std::pair<Instant, VmList>> vm_versions;
  RequestHandle next_handle = 1;
};

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_VIRTUAL_FLEET_H_
