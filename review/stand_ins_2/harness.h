#ifndef REVIEW_STAND_INS_2_HARNESS_H_
#define REVIEW_STAND_INS_2_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/** What the scripts of this review share: blocking sockets on loopback, child
    processes, a record, callers and servers of the users' platform. */
namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/** Sleeps for `duration`. */
auto Sleep(Millis duration) -> void;

/** Returns the wall-clock time in milliseconds. */
auto UnixMillis() -> std::int64_t;

/** Writes what was sent, answered and run, with the time since its start.

    Thread safety: may be used by several threads.
*/
class Record {
 public:
  explicit Record(const std::string& path);

  auto Write(const std::string& line) -> void;
  /** Writes a line to the record and to standard output. */
  auto Say(const std::string& line) -> void;

  /** Milliseconds since the start. */
  [[nodiscard]] auto now() const -> std::int64_t;

 private:
  Clock::time_point started_at;
  std::mutex mutex;
  std::ofstream file;
};

/** A head of a request or of an answer; names of fields in lower case. */
struct Head {
  std::string first_line;
  std::map<std::string, std::string> fields;

  /** Returns the status of an answer; 0 if there is none. */
  [[nodiscard]] auto status() const -> int;
  [[nodiscard]] auto Field(const std::string& name) const -> std::string;
  [[nodiscard]] auto Number(const std::string& name) const -> std::int64_t;
};

/** One blocking connection on loopback.

    Thread safety: none, but Shutdown() may be called by another thread.
*/
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor(descriptor) {}
  ~Connection();

  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  /** Connects within a second. @return null if that fails. */
  static auto Connect(int port) -> std::unique_ptr<Connection>;

  /** As above, with the segments and the receive buffer of a caller on a small
     link. */
  static auto ConnectOverLink(int port, int segment_bytes, int receive_bytes)
      -> std::unique_ptr<Connection>;

  /** Sets the timeout of each read. */
  auto SetTimeout(Millis timeout) -> void;
  auto Send(std::string_view bytes) -> bool;
  /** Reads until an empty line. */
  auto ReadHead() -> std::optional<Head>;
  /** Reads a line, without its end. */
  auto ReadLine() -> std::optional<std::string>;
  /** Reads `count` bytes. @return false if the connection ends before. */
  auto ReadExactly(std::size_t count, std::string& bytes) -> bool;
  /** Reads what is there, waiting for one byte at least. @return 0 at the end,
     -1 after a timeout or a reset. */
  auto ReadSome(std::size_t most) -> ssize_t;
  /** Closes with a reset. */
  auto Reset() -> void;
  auto Shutdown() -> void;

 private:
  auto Fill() -> bool;

  int descriptor;
  std::string received;
};

/** Listens on a free port of loopback and runs a thread for each connection.

    Thread safety: none.
*/
class Listener {
 public:
  using OnConnection = std::function<void(Connection&)>;

  explicit Listener(OnConnection on_connection);
  ~Listener();

  Listener(const Listener&) = delete;
  auto operator=(const Listener&) -> Listener& = delete;

  [[nodiscard]] auto port() const -> int { return this->number; }

  /** Resets all connections and listens no more, as a crash does. */
  auto Stop() -> void;
  /** Listens on the same port again. */
  auto Start() -> bool;

 private:
  auto Accept(int descriptor) -> void;

  OnConnection on_connection;
  int number = 0;
  std::atomic<int> descriptor = -1;
  std::thread thread;
  std::mutex mutex;
  std::vector<std::shared_ptr<Connection>> open;
};

/** Returns a port of loopback that was free a moment ago. */
auto FreePort() -> int;

/** Calls a server of loopback. @return the status, and the body; 0 if there is
   no answer. */
auto Call(int port,
          const std::string& method,
          const std::string& target,
          const std::string& body) -> std::pair<int, std::string>;

/** A child process.

    Thread safety: none.
*/
class Process {
 public:
  Process() = default;
  ~Process();

  Process(const Process&) = delete;
  auto operator=(const Process&) -> Process& = delete;

  auto Start(const std::vector<std::string>& command,
             const std::map<std::string, std::string>& environment,
             const std::string& log) -> bool;
  auto Signal(int signal) const -> void;
  /** Returns whether it runs; takes its exit status if it does not. */
  auto IsRunning() -> bool;
  /** Waits for its end, at most for `timeout`. */
  auto WaitForEnd(Millis timeout) -> bool;
  /** Returns its resident memory in KiB; 0 if it does not run. */
  [[nodiscard]] auto MemoryKb() const -> std::int64_t;
  [[nodiscard]] auto id() const -> pid_t { return this->process; }

 private:
  pid_t process = -1;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_2_HARNESS_H_
