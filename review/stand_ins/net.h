#ifndef REVIEW_STAND_INS_NET_H_
#define REVIEW_STAND_INS_NET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/** Blocking sockets and HTTP/1.1 messages for the stand-ins of the review.
    They use none of the project's code, so that a fault there does not hide
    itself. */
namespace review {

/** Returns the time of day in milliseconds since 1970. */
[[nodiscard]] auto NowMs() -> std::int64_t;

/** Appends lines to a file that several processes share. */
class Recorder {
 public:
  explicit Recorder(const std::string& path);
  ~Recorder();

  Recorder(const Recorder&) = delete;
  auto operator=(const Recorder&) -> Recorder& = delete;

  /** Appends the time and `text` as one line. */
  auto Write(const std::string& text) const -> void;

 private:
  int file = -1;
};

/** The head of a request or a response. */
struct Head {
  std::string first_line;
  std::map<std::string, std::string> fields;  ///< By name in lower case.

  /** Returns the value of a field; empty if it is absent. */
  [[nodiscard]] auto Field(const std::string& name) const -> std::string;
  [[nodiscard]] auto Number(const std::string& name) const -> std::int64_t;
};

/** A connected socket; closes it at its end. */
class Connection {
 public:
  explicit Connection(int socket) : socket(socket) {}
  ~Connection();

  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  [[nodiscard]] auto is_open() const -> bool { return this->socket >= 0; }

  /** Makes reads and writes fail after a time without progress. */
  auto SetTimeout(std::int64_t millis) const -> void;

  /** Makes the close of the connection a reset. */
  auto ResetAtClose() const -> void;

  [[nodiscard]] auto Send(std::string_view bytes) const -> bool;

  /** Reads a head; none if the connection ends or times out before. */
  [[nodiscard]] auto ReadHead() -> std::optional<Head>;

  /** Reads `size` bytes. @return false if the connection ends before. */
  [[nodiscard]] auto ReadBytes(std::size_t size, std::string& bytes) -> bool;

  /** Reads a chunked body to its end. @return false if it has none. */
  [[nodiscard]] auto ReadChunks(std::string& bytes) -> bool;

  /** Returns how many bytes were received in all. */
  [[nodiscard]] auto received_bytes() const -> std::size_t {
    return this->received;
  }

 private:
  [[nodiscard]] auto ReadMore() -> bool;
  [[nodiscard]] auto ReadLine(std::string& line) -> bool;

  int socket;
  std::string buffer;
  std::size_t received = 0;
};

/** Connects to a port of the loopback address; -1 if that fails. */
[[nodiscard]] auto ConnectTo(int port) -> int;

/** Listens on a port of the loopback address, any free one for 0.
    @return the socket; -1 if that fails. `port` becomes its port. */
[[nodiscard]] auto ListenOn(int& port) -> int;

/** Writes a record of a topic to the store stand-in. */
auto PutRecord(int store_port,
               const std::string& topic,
               const std::string& key,
               const std::string& body) -> void;

/** Returns the values of `--name value` pairs. */
[[nodiscard]] auto ParseArguments(int argc, char** argv)
    -> std::map<std::string, std::string>;

}  // namespace review

#endif  // REVIEW_STAND_INS_NET_H_
