#ifndef REVIEW_STAND_INS_2_FLEET_H_
#define REVIEW_STAND_INS_2_FLEET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "harness.h"

namespace review {

/** The platform's store and the routers, as separate processes on loopback.

    Thread safety: the queries may be used by several threads; the commands by
    one.
*/
class Fleet {
 public:
  struct Router {
    std::string name;
    std::string zone;
    int client_port = 0;
    int entry_port = 0;
    int readiness_port = 0;
    Process process;
    /** When it was started or got a signal last, by the record's clock. */
    std::atomic<std::int64_t> disturbed_at = 0;
    std::map<std::string, std::string> settings;
  };

  /** @param folder  for the logs of the processes. */
  Fleet(Record& record, std::string folder);

  Fleet(const Fleet&) = delete;
  auto operator=(const Fleet&) -> Fleet& = delete;

  //============================================================================
  // Commands

  auto StartStore() -> bool;
  /** Writes a record of the operator or of a server; an empty value drops the
      key. */
  auto Put(const std::string& topic,
           const std::string& key,
           const std::string& value) const -> bool;
  /** Starts `count` routers in the zones a, b and c in turn. */
  auto StartRouters(int count) -> bool;
  /** Starts one again at its addresses. */
  auto Restart(Router& router) -> bool;
  auto Signal(Router& router, int signal) -> void;
  [[nodiscard]] auto WaitUntilReady(Millis timeout) -> bool;

  //============================================================================
  // Queries

  /** Asks a router for the addresses that callers are to use, as PROTOCOL.md
      says: up to three routers, a second for each.
      @return ports; none if none answers. */
  [[nodiscard]] auto Resolve() const -> std::vector<int>;
  /** Returns the router with this port for callers. */
  [[nodiscard]] auto At(int client_port) -> Router&;
  /** Returns whether nothing disturbed the router from StableMs before `at`
      on. */
  [[nodiscard]] static auto WasInTouch(const Router& router, std::int64_t at)
      -> bool;

  [[nodiscard]] auto store_port() const -> int { return this->port; }
  [[nodiscard]] auto routers() -> std::vector<std::unique_ptr<Router>>& {
    return this->members;
  }

 private:
  auto Launch(Router& router) -> bool;

  Record& record;
  std::string folder;
  int port = 0;
  Process store;
  std::vector<std::unique_ptr<Router>> members;
};

/** A server of a service. It announces itself in the store each 1.2 s while it
    runs, and answers as PROTOCOL.md says.

    Thread safety: may be used by several threads.
*/
class Server {
 public:
  struct Settings {
    std::string id;
    std::string service;
    std::string zone = "a";
    std::string version = "v1";
    int slots = 64;
    int events = 58;               ///< Of a stream.
    Millis interval{50};           ///< Between two events.
    Millis work{60};               ///< Of a plain request.
    std::size_t body_bytes = 800;  ///< Of a plain answer.
  };

  Server(Record& record, const Fleet& fleet, Settings settings);
  ~Server();

  Server(const Server&) = delete;
  auto operator=(const Server&) -> Server& = delete;

  /** Ends as in a crash: its connections are reset, it says no more. */
  auto Crash() -> void;
  /** Reports that it is draining, and goes on serving. */
  auto Drain() -> void;
  /** Starts again under its id and at its address. */
  auto StartAgain(const std::string& version) -> void;

  /** How many requests it works on. */
  [[nodiscard]] auto working() const -> int { return this->open; }
  [[nodiscard]] auto port() const -> int { return this->listener.port(); }
  /** When it got its requests, by the record's clock. */
  [[nodiscard]] auto RequestTimes() -> std::vector<std::int64_t>;

 private:
  auto Serve(Connection& connection) -> void;
  auto SendStream(Connection& connection, const Head& request) -> bool;
  auto SendPlain(Connection& connection, const Head& request) -> bool;
  auto Announce() -> void;
  auto Heartbeat() -> void;
  [[nodiscard]] auto version() -> std::string;

  Record& record;
  const Fleet& fleet;
  Settings settings;
  std::mutex mutex;
  std::int64_t born = 0;
  std::int64_t sequence = 0;
  std::string state = "ready";
  std::vector<std::int64_t> request_times;
  std::atomic<bool> runs = true;
  std::atomic<bool> ends = false;
  std::atomic<int> life = 0;
  std::atomic<int> open = 0;
  Listener listener;
  std::thread heartbeat;
};

/** One attempt of a caller at a stream. */
struct StreamAttempt {
  int status = 0;  ///< 0: the connection ended before a head.
  std::string retry_after;
  bool is_complete = false;     ///< Ended with the last chunk.
  std::int64_t last_event = 0;  ///< Its id; 0 if there was none.
  std::int64_t events = 0;
  std::vector<std::string> versions;  ///< Those that its events name.
};

/** What a caller asks for. */
struct StreamRequest {
  int port = 0;
  std::string path;
  std::string id;
  std::string resumes;  ///< Empty for a new stream.
  std::int64_t last_event = 0;
  std::int64_t deadline_ms = 15000;
};

/** Sends a request for a stream and reads the answer to its end.
    @param on_event  called after each event; returns whether to read on. */
auto ReadStream(const StreamRequest& request,
                const std::function<bool(std::int64_t event)>& on_event)
    -> StreamAttempt;

}  // namespace review

#endif  // REVIEW_STAND_INS_2_FLEET_H_
