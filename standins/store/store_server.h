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

/** The platform's store for tests and the demo, with faults to switch on.

    Beside the store's own calls it takes `PUT /record?Topic=T&Key=K`, with
   which a script plays the operator, and `POST /faults` with one of the words
   of Fault.

    Thread safety: none; used on the loop's thread.
*/
class StoreServer {
 public:
  enum class Fault {
    kNone,    ///< `none`
    kSilent,  ///< `silent`: takes calls and does not answer.
    kBusy,    ///< `busy`: answers 503.
    kLost,    ///< `lost`: appends are done and not answered.
  };

  explicit StoreServer(SocketPoller& poller);
  ~StoreServer();

  StoreServer(const StoreServer&) = delete;
  auto operator=(const StoreServer&) -> StoreServer& = delete;

  //============================================================================
  // Commands

  [[nodiscard]] auto Listen(std::string_view address) -> bool;

  /** Writes a record as an operator or an upstream does. */
  auto Put(const std::string& topic,
           const std::string& key,
           std::optional<std::string> value) -> void;

  auto SetFault(Fault fault) -> void { this->fault = fault; }

  /** Deletes the history of a topic; the newest of each key stays. */
  auto Compact(const std::string& topic) -> void { this->log.Compact(topic); }

  //============================================================================
  // Queries

  [[nodiscard]] auto calls() const -> std::uint64_t { return this->call_count; }

  /** Bytes of answers to reads of a topic. */
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
  auto RespondToRead(const Session& session,
                     const std::string& topic,
                     std::uint64_t offset) -> void;
  auto CompleteWaitingReads(const std::string& topic) -> void;

  SocketPoller& poller;
  Http1SessionLimits limits;
  KeyedLog log;
  Fault fault = Fault::kNone;
  std::list<std::unique_ptr<WaitingRead>> waiting_reads;
  std::uint64_t call_count = 0;
  std::map<std::string, std::uint64_t> bytes_read;  ///< By topic.
  Http1Server server;
};

}  // namespace auburnloft::standins

#endif  // STORE_STORE_SERVER_H_
