#ifndef WIRE_WIRE_UPSTREAM_H_
#define WIRE_WIRE_UPSTREAM_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/time/instant.h"
#include "al_http1/http1_server.h"

namespace auburnloft {
class LoopTimer;
}

namespace auburnloft::standins {

/** An upstream that speaks as the users' platform's servers do: a stream for a
   generation, a plain answer for the rest. It remembers which attempts it ran.

    Thread safety: none; used on the loop's thread.
*/
class WireUpstream {
 public:
  struct Settings {
    std::string id;
    std::string address;
    std::string announced_address;  ///< In its entry; empty: `address`.
    std::int64_t start_unix_ms =
        1;  ///< Unix time of its start, as its entry tells.
    Duration first_event_delay{0};  ///< Until an answer, or the first event.
    Duration event_interval{0};     ///< Between events.
    std::uint64_t events = 4;       ///< Of a stream.
  };

  /** What goes wrong. */
  enum class Fault {
    kNone,
    kFull,            ///< Refuses with the statement that it did not run.
    kResponseLost,    ///< Runs, and closes without an answer.
    kBreaksStream,    ///< Closes in the middle of the second event.
    kWrongAttemptId,  ///< Sends another request's answer first.
    kFails,           ///< Answers 500.
    kSilent,          ///< Runs, and never answers.
  };

  WireUpstream(SocketPoller& poller, Settings settings);
  ~WireUpstream();

  WireUpstream(const WireUpstream&) = delete;
  auto operator=(const WireUpstream&) -> WireUpstream& = delete;

  //============================================================================
  // Commands

  [[nodiscard]] auto Listen() -> bool;
  auto SetFault(Fault fault) -> void { this->fault = fault; }

  /** Called with the id of each attempt as it begins to run. */
  auto SetOnExecution(std::function<void(const std::string& id)> call) -> void {
    this->on_execution = std::move(call);
  }

  //============================================================================
  // Queries

  /** Ids of the attempts that ran, in their order. */
  [[nodiscard]] auto executions() const -> const std::vector<std::string>& {
    return this->executed_ids;
  }

  /** The newest request that came. */
  [[nodiscard]] auto last_request() const -> const Http1Request& {
    return this->newest_request;
  }

  /** Whether it was told to leave. */
  [[nodiscard]] auto leaving() const -> bool { return this->drain_requested; }

  /** The entry with which it is listed. */
  [[nodiscard]] auto Entry(std::string_view service,
                           std::string_view domain,
                           bool leaving) const -> std::string;

 private:
  using Session = std::shared_ptr<Http1ServerSession>;
  struct Stream;

  auto OnRequest(const Session& session, const Http1Request& request) -> void;
  auto OnFaults(const Session& session, const std::string& word) -> void;
  auto SendPlainResponse(const Session& session, const std::string& id) -> void;
  auto StartStream(const Session& session,
                   const std::string& id,
                   std::uint64_t from) -> void;
  auto SendEvent(Stream& stream) -> void;
  auto RemoveStream(const Stream* stream) -> void;

  SocketPoller& poller;
  Settings settings;
  Http1SessionLimits limits;
  Fault fault = Fault::kNone;
  bool drain_requested = false;
  std::function<void(const std::string&)> on_execution;
  std::vector<std::string> executed_ids;
  Http1Request newest_request;
  std::list<std::unique_ptr<Stream>> streams;
  Http1Server server;
};

}  // namespace auburnloft::standins

#endif  // WIRE_WIRE_UPSTREAM_H_
