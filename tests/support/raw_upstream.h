#ifndef SUPPORT_RAW_UPSTREAM_H_
#define SUPPORT_RAW_UPSTREAM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "al_net/socket_poller.h"
#include "al_net/tcp_connection.h"
#include "al_net/tcp_listener.h"

namespace auburnloft {
class LoopTimer;
}

namespace auburnloft::testing {

/** An upstream of the users' platform that sends whatever bytes a test wants,
   valid or not. */
class RawUpstream {
 public:
  /** A request that arrived. */
  struct Arrival {
    std::string id;      ///< Attempt id.
    std::string target;  ///< Path with its query.
    int number = 0;      ///< Counts from 1.
    std::function<void(std::string_view bytes)> send;
    std::function<void()> close;   ///< Sends a FIN after the bytes.
    std::function<void()> drop;    ///< Closes at once, whatever is unread.
    std::function<void()> finish;  ///< Sends a FIN, and reads no more.
    std::function<void()> reset;   ///< Ends the connection with a reset.
  };
  using Script = std::function<void(const Arrival&)>;

  /** @param id  the upstream's id, as in its record. */
  RawUpstream(SocketPoller& poller, std::string id);
  ~RawUpstream();

  RawUpstream(const RawUpstream&) = delete;
  auto operator=(const RawUpstream&) -> RawUpstream& = delete;

  /** Sets what happens at each arrival. */
  auto SetScript(Script script) -> void { this->script = std::move(script); }

  /** Sets whether requests are read to their end, as by default. Otherwise they
     arrive with their head, and nothing more is read. */
  auto SetReadsBodies(bool reads) -> void { this->reads_bodies = reads; }

  /** Ends as a process that crashes: resets all connections, and refuses new
     ones until Restart(). */
  auto Crash() -> void;

  /** Listens again after Crash(), as a new process does. */
  auto Restart() -> void;

  /** Sends `first` once, and then `repeated` again and again, as fast as the
     connection takes it, until the router closes the connection. */
  auto SendWithoutEnd(const Arrival& arrival,
                      std::string_view first,
                      std::string_view repeated) -> void;

  /** The record with which the upstream announces itself.
      @param start_unix_ms  another value than before tells of a restart. */
  [[nodiscard]] auto Entry(std::string_view service,
                           std::int64_t start_unix_ms = 1) const -> std::string;

  /** The address on which it listens. */
  [[nodiscard]] auto listen_address() const -> const std::string& {
    return this->address;
  }
  [[nodiscard]] auto arrivals() const -> int { return this->arrival_count; }
  [[nodiscard]] auto sent_bytes() const -> std::size_t {
    return this->total_sent;
  }
  [[nodiscard]] auto open_connections() const -> int;
  /** Open connections on which SendWithoutEnd() sends. */
  [[nodiscard]] auto endless_connections() const -> int;

  /** Makes a response head with the id and a seal.
      @param fields  more field lines, each with its line end. */
  [[nodiscard]] static auto Head(const std::string& id, std::string_view fields)
      -> std::string;

  /** Makes a complete plain response. */
  [[nodiscard]] static auto Whole(const std::string& id, std::string_view body)
      -> std::string;

 private:
  struct Peer;

  auto Listen() -> void;
  auto OnAccepted(int descriptor) -> void;
  auto OnInput(Peer& peer) -> void;
  auto SendMore() -> void;

  SocketPoller& poller;
  std::string id;
  std::string address;
  Script script;
  bool reads_bodies = true;
  int arrival_count = 0;
  std::size_t total_sent = 0;
  std::vector<std::unique_ptr<Peer>> peers;
  std::unique_ptr<LoopTimer> timer;
  TcpListener listener;
};

}  // namespace auburnloft::testing

#endif  // SUPPORT_RAW_UPSTREAM_H_
