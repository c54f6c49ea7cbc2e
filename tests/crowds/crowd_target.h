#ifndef CROWDS_CROWD_TARGET_H_
#define CROWDS_CROWD_TARGET_H_

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace auburnloft::testing {

/** A gateway with its store and stand-in upstreams, each a process of the
    programs that lie beside this one, on loopback addresses.

    Route `/read/` leads to a desk that answers at once, `/held/` to one that
    executes and never answers, `/ask/` to an engine with long streams. The key
    of the team is `blue-key`.

    Thread safety: none. */
class CrowdTarget {
 public:
  struct Settings {
    std::size_t max_body_bytes = 65'536;
    std::size_t max_header_bytes = 16'384;
    std::map<std::string, std::string>
        environment;  ///< Further settings of the gateway.
  };

  /** Memory and descriptors of the gateway's process. */
  struct Usage {
    bool is_alive = false;
    std::size_t resident_kb = 0;       ///< VmRSS.
    std::size_t peak_resident_kb = 0;  ///< VmHWM.
    std::size_t descriptors = 0;
    std::size_t unread_kb = 0;  ///< Received by the kernel, not by the process.
  };

  /** Starts all and waits until an ordinary request is answered. Throws
      std::runtime_error if that does not happen within 30 s. */
  explicit CrowdTarget(Settings settings);

  /** Ends the processes. */
  ~CrowdTarget();

  CrowdTarget(const CrowdTarget&) = delete;
  auto operator=(const CrowdTarget&) -> CrowdTarget& = delete;

  /** Returns an address of the gateway: `clients`, `entry`, `readiness`,
      `peers` or `metrics`. */
  [[nodiscard]] static auto AddressOf(const std::string& listener)
      -> std::string;

  [[nodiscard]] auto MeasureUsage() const -> Usage;

  /** Sends one ordinary request. @return whether it was answered with 200
      within `timeout`. */
  [[nodiscard]] static auto ServesRequest(std::chrono::milliseconds timeout)
      -> bool;

  /** Sends ordinary requests until one is answered with 200.
      @return false if none is within 20 s. */
  [[nodiscard]] static auto ServesEventually() -> bool;

 private:
  auto StartProcess(const std::string& program,
                    const std::vector<std::string>& arguments,
                    const std::map<std::string, std::string>& environment)
      -> pid_t;
  [[nodiscard]] auto ConfigText() const -> std::string;

  Settings settings;
  std::vector<pid_t> processes;
  pid_t gateway = -1;
};

/** Sends `bytes` to `address` and returns what is received until the connection
    ends, the first response without a body is complete, or `timeout`. */
[[nodiscard]] auto ExchangeBytes(const std::string& address,
                                 const std::string& bytes,
                                 std::chrono::milliseconds timeout)
    -> std::string;

}  // namespace auburnloft::testing

#endif  // CROWDS_CROWD_TARGET_H_
