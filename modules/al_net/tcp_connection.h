#ifndef AL_NET_TCP_CONNECTION_H_
#define AL_NET_TCP_CONNECTION_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_net/socket_poller.h"

struct sockaddr_in;

namespace auburnloft {

class LoopTimer;

/** Why a connection closed. */
enum class TcpCloseReason {
  kOpen,          ///< No reason: it is still open. Not passed to on_end.
  kClosedByPeer,  ///< The peer closed its sending side.
  kReset,         ///< The peer reset it, or it timed out.
  kNotConnected,  ///< It was never established; no byte was sent.
  kRefused,       ///< As above: nothing listens at the address.
};

/** A TCP connection with an input and an output buffer.

    Received bytes are appended to input(), then on_input is called. The owner
   removes the bytes that it has processed with Consume(). on_input is called
   for each 16 KiB, so that an owner that consumes its input keeps no more.
   Reading pauses when input() reaches a limit, 256 KiB by default, until half
   of that or less remains. This bounds the memory that a peer can use. A
   connection reads 64 KiB in a turn of the loop, so that a peer that never
   stops sending does not keep others from theirs. The memory of large buffers
   is released when they are empty.
   Keep-alive probes and a time-out of unacknowledged bytes detect a peer that
   stops responding.
   If a write fails, what has arrived before is still delivered to on_input, as
   far as reading is not paused, and then on_end is called.

    Callbacks are called from the event loop, never from within Write(). None is
   called after Close().

    Thread safety: none; use on the loop's thread.
*/
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  struct Callbacks {
    std::function<void()> on_connected;  ///< After Connect() only.
    std::function<void()> on_input;      ///< input() has grown.
    std::function<void()> on_flushed;    ///< unsent_bytes() fell to 0.

    /** The peer closed the connection, or it failed. Called at most once. */
    std::function<void(TcpCloseReason)> on_end;
  };

  ~TcpConnection();

  TcpConnection(const TcpConnection&) = delete;
  auto operator=(const TcpConnection&) -> TcpConnection& = delete;

  //============================================================================
  // Commands

  /** Starts to connect to `address`, an `ip:port`. on_end reports kNotConnected
     after `timeout`. @return null if the address is invalid or the connection
     fails at once. */
  [[nodiscard]] static auto Connect(SocketPoller& poller,
                                    std::string_view address,
                                    Duration timeout,
                                    Callbacks callbacks)
      -> std::shared_ptr<TcpConnection>;

  /** Takes ownership of a connected socket, such as an accepted one.
     @return null if the socket cannot be watched. */
  [[nodiscard]] static auto Adopt(SocketPoller& poller,
                                  int descriptor,
                                  Callbacks callbacks)
      -> std::shared_ptr<TcpConnection>;

  /** Replaces the callbacks. */
  auto SetCallbacks(Callbacks callbacks) -> void;

  /** Sends `bytes`; what the kernel does not accept at once is buffered. */
  auto Write(std::string_view bytes) -> void;

  /** Removes the first `count` bytes of input().
     @pre count <= input().size(). */
  auto Consume(std::size_t count) -> void;

  /** Pauses or resumes reading. While reading is paused, a close by the peer is
     not detected. */
  auto SetReadingPaused(bool paused) -> void;

  /** Sets at how many bytes of input() reading pauses. From then on, a peer
     that closes while its input is full counts as gone: on_end is called, and
     what the kernel holds of it is dropped. */
  auto SetMaxInputBytes(std::size_t bytes) -> void;

  /** Closes at once and discards unsent bytes. */
  auto Close() -> void;

  /** Shuts the connection down gracefully: sends the unsent bytes and then a
     FIN, and closes when the peer closes or after `timeout`, even if bytes are
     still unsent. Until then, it discards received bytes, up to a limit after
     which it closes, and calls no callback. Closes at once if the connection is
     not established. */
  auto CloseGracefully(Duration timeout) -> void;

  //============================================================================
  // Queries

  /** Received bytes that Consume() has not removed yet. */
  [[nodiscard]] auto input() const -> std::string_view {
    return std::string_view(this->received).substr(this->consumed);
  }
  /** Bytes written that the kernel has not accepted yet. */
  [[nodiscard]] auto unsent_bytes() const -> std::size_t {
    return this->output.size() - this->sent_output_bytes;
  }
  /** Memory that the buffers take, in bytes. */
  [[nodiscard]] auto buffer_bytes() const -> std::size_t {
    return this->received.capacity() + this->output.capacity();
  }
  [[nodiscard]] auto is_connected() const -> bool { return this->established; }
  [[nodiscard]] auto is_open() const -> bool { return this->descriptor >= 0; }

  /** Returns whether the kernel holds input, or the peer's close, that on_input
     or on_end will report. Costs a system call. */
  [[nodiscard]] auto HasUnreadInput() const -> bool;

  /** True once the kernel has accepted a byte. */
  [[nodiscard]] auto has_sent() const -> bool { return this->has_sent_bytes; }

 private:
  TcpConnection(SocketPoller& poller, int descriptor, Callbacks callbacks);

  auto Watch() -> bool;
  auto OnReady(SocketPoller::Readiness readiness) -> void;
  auto FinishConnect() -> bool;
  auto ReadAvailable() -> void;
  /** Returns why the connection ends after a turn of reading, whose recv()
     calls ended with `reason`; kOpen if it goes on. */
  [[nodiscard]] auto EndAfterReading(TcpCloseReason reason) const
      -> TcpCloseReason;
  /** Calls on_input. @return false if the connection was closed. */
  auto NotifyInput() -> bool;
  auto ResumeReading() -> void;
  auto Flush() -> bool;
  /** Sends as much of `bytes` as the kernel accepts.
      @return the number of bytes, or none if the connection has failed. */
  auto SendNow(std::string_view bytes) -> std::optional<std::size_t>;
  auto CloseAndNotify(TcpCloseReason reason) -> void;

  SocketPoller& poller;
  int descriptor;
  SocketPoller::Token watch_token = 0;
  Callbacks callbacks;
  std::unique_ptr<LoopTimer> timer;
  std::size_t max_input_bytes;
  std::string received;
  std::size_t consumed = 0;
  std::string output;
  std::size_t sent_output_bytes = 0;
  bool established = false;
  bool has_sent_bytes = false;
  bool paused_by_owner = false;
  bool resume_posted = false;
  std::size_t discarded_bytes = 0;  ///< While it shuts down.
  bool ends_if_full = false;        ///< See SetMaxInputBytes().
  bool peer_closed = false;
  bool input_full = false;  ///< input() exceeded its limit; reading waits.
  bool is_shutting_down = false;

  /** Set once a write has failed: what the end of the input then means. */
  std::optional<TcpCloseReason> end_after_failed_write;
};

/** Parses an IPv4 `ip:port`. @return false if `text` is not one. */
[[nodiscard]] auto ParseSocketAddress(std::string_view text,
                                      sockaddr_in& address) -> bool;

}  // namespace auburnloft

#endif  // AL_NET_TCP_CONNECTION_H_
