#ifndef AL_NET_TCP_CONNECTION_H_
#define AL_NET_TCP_CONNECTION_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "al_core/time/instant.h"
#include "al_net/socket_poller.h"

struct sockaddr_in;

namespace auburnloft {

class LoopTimer;

/** How a connection ended. */
enum class TcpCloseReason {
  kOpen,          ///< It has not.
  kClosedByPeer,  ///< The peer sent the end of its bytes.
  kReset,         ///< The peer reset it, or the kernel gave it up.
  kNotConnected,  ///< It was never established; nothing was sent.
};

/** A TCP connection on the loop: unread bytes, unsent bytes, and its end.

    Bytes that arrive are appended to input(), and on_input runs; the owner
   takes what it can with Consume(). Reading pauses while input() holds more
   than the bound, so that a peer cannot fill the memory. Connections that fall
   silent are noticed by keep-alive probes and unacknowledged bytes.

    Callbacks run from the loop, or from Write() never. After Close() none runs.

    Thread safety: none; used on the loop's thread.
*/
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  struct Callbacks {
    std::function<void()> on_connected;  ///< Of a connection made by Connect().
    std::function<void()> on_input;      ///< input() has grown.
    std::function<void()> on_flushed;    ///< unsent() fell to 0.
    std::function<void(TcpCloseReason)>
        on_end;  ///< The peer is gone; runs once.
  };

  ~TcpConnection();

  TcpConnection(const TcpConnection&) = delete;
  auto operator=(const TcpConnection&) -> TcpConnection& = delete;

  //============================================================================
  // Commands

  /** Starts to connect to `address`, an `ip:port`. Ends with kNotConnected
     after `limit`. @return null where the address is none or no socket is left.
   */
  [[nodiscard]] static auto Connect(SocketPoller& poller,
                                    std::string_view address,
                                    Duration limit,
                                    Callbacks callbacks)
      -> std::shared_ptr<TcpConnection>;

  /** Takes an accepted socket over. @return null where it cannot be watched. */
  [[nodiscard]] static auto Adopt(SocketPoller& poller,
                                  int descriptor,
                                  Callbacks callbacks)
      -> std::shared_ptr<TcpConnection>;

  /** Replaces the callbacks, as when a pool lends the connection. */
  auto SetCallbacks(Callbacks callbacks) -> void;

  /** Sends `bytes`, now or as soon as the peer takes them. */
  auto Write(std::string_view bytes) -> void;

  /** Drops the first `count` bytes of input(). @pre count <= input().size(). */
  auto Consume(std::size_t count) -> void;

  /** Stops or goes on reading; also while paused the end is not noticed. */
  auto SetReadingPaused(bool paused) -> void;

  /** Closes at once; unsent bytes are dropped. */
  auto Close() -> void;

  /** Closes when all bytes are sent and the peer has closed, or after `limit`.
     Bytes that still arrive are dropped. */
  auto CloseAfterWrite(Duration limit) -> void;

  //============================================================================
  // Queries

  [[nodiscard]] auto input() const -> std::string_view {
    return std::string_view(this->received).substr(this->consumed);
  }
  [[nodiscard]] auto unsent_bytes() const -> std::size_t {
    return this->output.size() - this->sent;
  }
  [[nodiscard]] auto is_connected() const -> bool { return this->established; }
  [[nodiscard]] auto is_open() const -> bool { return this->descriptor >= 0; }

  /** True once any byte went to the kernel. */
  [[nodiscard]] auto has_sent() const -> bool { return this->sent_any; }

 private:
  TcpConnection(SocketPoller& poller, int descriptor, Callbacks callbacks);

  auto Watch() -> bool;
  auto OnReady(SocketPoller::Readiness readiness) -> void;
  auto FinishConnect() -> bool;
  auto ReadAvailable() -> void;
  auto ResumeReading() -> void;
  auto Flush() -> bool;
  auto End(TcpCloseReason end) -> void;

  SocketPoller& poller;
  int descriptor;
  SocketPoller::Token token = 0;
  Callbacks calls;
  std::unique_ptr<LoopTimer> timer;
  std::string received;
  std::size_t consumed = 0;
  std::string output;
  std::size_t sent = 0;
  bool established = false;
  bool sent_any = false;
  bool paused_by_owner = false;
  bool full = false;  ///< input() reached its bound; reading waits.
  bool closing = false;
};

/** Parses `ip:port` into a socket address of `sockaddr_in` layout.
    @return false where it is none. */
[[nodiscard]] auto ParseSocketAddress(std::string_view text,
                                      sockaddr_in& address) -> bool;

}  // namespace auburnloft

#endif  // AL_NET_TCP_CONNECTION_H_
