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

/** Stand-in for an upstream of the users' platform. It responds to a generation
    with an event stream and to any other request with a plain response, and
    records the attempts it executed.

    `POST /faults` takes one of the words `none`, `full`, `busy`, `lost`,
    `breaks`, `extra`, `fails`, `silent` and `deadly` for the values of Fault,
   or `leaving` to start draining; all responses say so from then on.

    Thread safety: none; used on the event loop's thread.
*/
class WireUpstream {
 public:
  struct Settings {
    std::string id;       ///< Also the value expected in `X-Expect-Instance`.
    std::string address;  ///< IP:PORT to listen on.
    std::string announced_address;  ///< Address in the entry; empty: `address`.
    std::int64_t start_unix_ms = 1;  ///< `born` in the entry.
    std::string version = "v1";      ///< `Version` in the entry.
    bool marks_events = false;  ///< Whether each event ends with the version.
    Duration first_event_delay{0};       ///< Before a stream's first event.
    Duration event_interval{0};          ///< Between the events of a stream.
    std::uint64_t events = 4;            ///< Number of events of a stream.
    std::uint64_t tokens_per_event = 0;  ///< 0: streams have `events` events.
    std::size_t event_padding = 0;  ///< Bytes added to the data of an event.
    Duration plain_delay{0};        ///< Before a plain response.
  };

  /** The injected fault. */
  enum class Fault {
    kNone,
    kFull,            ///< Refuses and states that it did not execute.
    kBusy,            ///< As kFull, and wants no requests for two seconds.
    kResponseLost,    ///< Executes, and closes without a response.
    kBreaksStream,    ///< Closes in the middle of event 2 of a stream.
    kWrongAttemptId,  ///< Plain responses carry another attempt's id.
    kFails,           ///< Executes, and responds with status 500.
    kSilent,          ///< Executes, and never responds.
    kLimited,         ///< Executes, and names a limit of requests a second.
    kDeadlyPart,      ///< Resets all streams when one with the prompt part
                      ///< `dead` is to begin, as a crash does.
  };

  WireUpstream(SocketPoller& poller, Settings settings);
  ~WireUpstream();

  WireUpstream(const WireUpstream&) = delete;
  auto operator=(const WireUpstream&) -> WireUpstream& = delete;

  //============================================================================
  // Commands

  /** Starts to serve. @return false if the address is not available. */
  [[nodiscard]] auto Listen() -> bool;
  auto SetFault(Fault fault) -> void { this->fault = fault; }

  /** Lets the entry say that the upstream has started again, with another
     version of its software. */
  auto SetVersion(std::string version) -> void {
    this->settings.version = std::move(version);
    ++this->settings.start_unix_ms;
  }

  /** Sets the pace of the streams that start from now on. */
  auto SetPace(Duration first_event_delay, Duration event_interval) -> void {
    this->settings.first_event_delay = first_event_delay;
    this->settings.event_interval = event_interval;
  }

  /** Lets the streams that start from now on have all tokens that their request
     allows, `tokens_per_event` in each event, in place of a fixed number. */
  auto SetTokensPerEvent(std::uint64_t tokens_per_event) -> void {
    this->settings.tokens_per_event = tokens_per_event;
  }

  /** Sets the bytes that are added to the data of each event. */
  auto SetEventPadding(std::size_t bytes) -> void {
    this->settings.event_padding = bytes;
  }

  /** Sets how long plain requests take from now on. */
  auto SetPlainDelay(Duration delay) -> void {
    this->settings.plain_delay = delay;
  }

  /** Sets a callback that receives the id of each attempt when its execution
      starts. */
  auto SetOnExecution(std::function<void(const std::string& id)> call) -> void {
    this->on_execution = std::move(call);
  }

  //============================================================================
  // Queries

  [[nodiscard]] auto id() const -> const std::string& {
    return this->settings.id;
  }

  /** Ids of the executed attempts, in order of execution. */
  [[nodiscard]] auto executions() const -> const std::vector<std::string>& {
    return this->executed_ids;
  }

  /** The request received last, except those to `/faults`. */
  [[nodiscard]] auto last_request() const -> const Http1Request& {
    return this->newest_request;
  }

  /** Whether a `leaving` request has started draining. */
  [[nodiscard]] auto leaving() const -> bool { return this->drain_requested; }

  /** The record with which the upstream announces itself in the store. */
  [[nodiscard]] auto Entry(std::string_view service,
                           std::string_view domain,
                           bool leaving) const -> std::string;

 private:
  using Session = std::shared_ptr<Http1ServerSession>;
  struct Stream;

  auto OnRequest(const Session& session, const Http1Request& request) -> void;
  auto OnFaults(const Session& session, const std::string& word) -> void;
  /** Returns the number of events of the stream that answers a request. */
  [[nodiscard]] auto EventCount(const Http1Request& request) const
      -> std::uint64_t;
  [[nodiscard]] auto HeadFor(int status, std::string_view id) const
      -> Http1ResponseHead;
  /** Resets the connections of all streams. */
  auto Crash() -> void;
  auto StartPlainResponse(const Session& session, const std::string& id)
      -> void;
  auto SendPlainResponse(Http1ServerSession& session, const std::string& id)
      -> void;
  auto StartStream(const Session& session,
                   const Http1Request& request,
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
