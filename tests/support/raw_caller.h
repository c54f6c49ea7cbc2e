#ifndef SUPPORT_RAW_CALLER_H_
#define SUPPORT_RAW_CALLER_H_

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace auburnloft::testing {

/** A connection to a router that sends bytes without end, on a thread of its
    own, so that it is as fast as the router's loop lets it be. It reads nothing
    unless asked to, and has a small receive buffer, so that what it does not
    read soon stays with the router.

    Thread safety: the queries may be called while it sends. */
class RawCaller {
 public:
  struct Script {
    std::string first;     ///< Sent once.
    std::string repeated;  ///< Sent again and again; empty: nothing.
    bool reads = false;    ///< Whether it reads, and drops, what it gets.
  };

  /** Connects and starts to send. Throws std::runtime_error if nothing listens
      at `address`. */
  RawCaller(const std::string& address, Script script);

  /** Closes the connection and waits for the threads. */
  ~RawCaller();

  RawCaller(const RawCaller&) = delete;
  auto operator=(const RawCaller&) -> RawCaller& = delete;

  [[nodiscard]] auto sent_bytes() const -> std::size_t { return this->sent; }
  /** Whether the router has ended the connection while it was sending. */
  [[nodiscard]] auto is_closed() const -> bool { return this->closed; }

 private:
  auto SendAll(const std::string& bytes) -> bool;
  auto Run() -> void;

  Script script;
  int descriptor = -1;
  std::atomic<std::size_t> sent{0};
  std::atomic<bool> closed{false};
  std::thread sender;
  std::thread reader;
};

}  // namespace auburnloft::testing

#endif  // SUPPORT_RAW_CALLER_H_
