#ifndef STORE_STORE_SERVER_H_
#define STORE_STORE_SERVER_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_http1/http1_server.h"
#include "store/keyed_log.h"

namespace auburnloft::standins {

/** Stand-in for the platform's store (its log service) with fault injection,
    for tests and the demo.

    In addition to the calls of the platform it accepts
    `PUT /record?Topic=T&Key=K`, with which a script writes a record as an
    operator or an upstream (an empty body writes a tombstone), and
    `POST /faults` with the name of a Fault as the body, or `copy` and `restore`
    for Copy() and Restore(). Both work during any fault.

    Thread safety: none; used on the event loop's thread.
*/
class StoreServer {
 public:
  /** The injected fault, with its name in `POST /faults`. */
  enum class Fault {
    kNone,    ///< `none`
    kSilent,  ///< `silent`: accepts calls and never replies.
    kBusy,    ///< `busy`: replies with status 503.
    kLost,    ///< `lost`: executes appends and drops the replies.
  };

  explicit StoreServer(SocketPoller& poller);
  ~StoreServer();

  StoreServer(const StoreServer&) = delete;
  auto operator=(const StoreServer&) -> StoreServer& = delete;

  //============================================================================
  // Commands

  /** Starts to serve at IP:PORT. @return false if it is not available. */
  [[nodiscard]] auto Listen(std::string_view address) -> bool;

  /** Appends a record without a producer, as an operator or an upstream does.
      No value makes it a tombstone. */
  auto Put(const std::string& topic,
           const std::string& key,
           std::optional<std::string> value) -> void;

  auto SetFault(Fault fault) -> void { this->fault = fault; }

  /** Keeps a copy of the log, to which Restore() returns. */
  auto Copy() -> void { this->copy = this->log; }

  /** Returns to the last copy, or to an empty log, and raises the era. What
     routers appended since is gone; the newest records of the operator and the
     upstreams are written again. */
  auto Restore() -> void;

  /** Removes the ordered records of a topic. The newest record of each key
      stays available. */
  auto Compact(const std::string& topic) -> void { this->log.Compact(topic); }

  //============================================================================
  // Queries

  /** Number of calls received so far, of any kind. */
  [[nodiscard]] auto calls() const -> std::uint64_t { return this->call_count; }

  /** Total body size of the replies to reads of a topic so far. */
  [[nodiscard]] auto BytesRead(const std::string& topic) const
      -> std::uint64_t {
    const auto found = this->bytes_read.find(topic);
    return found == this->bytes_read.end() ? 0 : found->second;
  }

 private:
  using Session = std::shared_ptr<Http1ServerSession>;
  struct WaitingRead;

  auto OnRequest(const Session& session, const Http1Request& request) -> void;
  auto OnAppend(const Session& session, const Http1Request& request) -> void;
  auto OnRead(const Session& session, const Http1Request& request) -> void;
  auto OnNewest(const Session& session, const Http1Request& request) -> void;
  auto OnPut(const Session& session, const Http1Request& request) -> void;
  auto OnFaults(const Session& session, const Http1Request& request) -> void;
  auto Respond(const Session& session, int status, std::string_view body) const
      -> void;
  auto RespondToRead(const Session& session,
                     const std::string& topic,
                     std::uint64_t offset) -> void;
  auto CompleteWaitingReads(const std::string& topic) -> void;

  SocketPoller& poller;
  Http1SessionLimits limits;
  KeyedLog log;
  KeyedLog copy;
  std::uint64_t era = 0;
  Fault fault = Fault::kNone;
  std::list<std::unique_ptr<WaitingRead>> waiting_reads;
  std::uint64_t call_count = 0;
  std::map<std::string, std::uint64_t> bytes_read;  ///< By topic.
  Http1Server server;
};

}  // namespace auburnloft::standins

#endif  // STORE_STORE_SERVER_H_
