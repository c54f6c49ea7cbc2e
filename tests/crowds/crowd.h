#ifndef CROWDS_CROWD_H_
#define CROWDS_CROWD_H_

#include <poll.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace auburnloft::testing {

/** What each connection of a crowd does. */
struct CrowdScript {
  enum class Reading { kNothing, kSlowly, kAll };

  std::string first{};     ///< Sent once.
  std::string repeated{};  ///< Sent `count` times after that.
  std::size_t count = 0;   ///< See `repeated`.
  std::string last{};      ///< Sent once, at the end.
  std::size_t piece = 0;   ///< Bytes of a call of send(); 0: any number.
  std::chrono::milliseconds pause{0};  ///< Between two pieces.
  Reading reading = Reading::kNothing;
};

/** Connections to one address that all play the same script and then stay
    open. Bounded in count and time.

    Thread safety: none. */
class Crowd {
 public:
  using Clock = std::chrono::steady_clock;

  /** Opens `size` connections to `address`, an `ip:port`. What cannot be opened
      counts as closed. */
  Crowd(std::string_view address, std::size_t size, CrowdScript script);

  /** Closes all connections. */
  ~Crowd();

  Crowd(const Crowd&) = delete;
  auto operator=(const Crowd&) -> Crowd& = delete;

  /** Plays until no connection has made progress for `settle`, at most for
      `limit`. A connection makes progress when it connects, sends a byte or is
      closed by the server. */
  auto Play(std::chrono::milliseconds settle, std::chrono::milliseconds limit)
      -> void;

  /** Connections that the server has not closed. */
  [[nodiscard]] auto open_connections() const -> std::size_t;

 private:
  struct Connection {
    int descriptor = -1;
    std::size_t sent = 0;
    Clock::time_point next_at{};
  };

  /** Returns what follows after the first `sent` bytes of the script, as far as
      it is contiguous. */
  [[nodiscard]] auto RestAfter(std::size_t sent) const -> std::string_view;
  [[nodiscard]] auto Total() const -> std::size_t;
  /** Sends and reads what is possible. @return whether there was progress. */
  auto Advance(Connection& connection, short events, Clock::time_point now)
      -> bool;
  auto Send(Connection& connection, Clock::time_point now) -> bool;
  auto Receive(Connection& connection) -> bool;
  auto Close(Connection& connection) -> void;

  CrowdScript script;
  std::string block;  ///< Several copies of `repeated`.
  std::vector<Connection> connections;
};

}  // namespace auburnloft::testing

#endif  // CROWDS_CROWD_H_
