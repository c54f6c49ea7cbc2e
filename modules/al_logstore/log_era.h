#ifndef AL_LOGSTORE_LOG_ERA_H_
#define AL_LOGSTORE_LOG_ERA_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace auburnloft {

/** The era of the log service ("the log"), which rises each time the log is
   restored from an older copy. Offsets, sequence numbers and acknowledgements
   are meaningful only within one era.

    All clients of a process share one object, so that none of them believes a
    reply of an era that another one knows to be over.

    Thread safety: none; used on the loop's thread.
*/
class LogEra {
 public:
  /** @param previous  none for the first reply of the process. */
  using OnRise = std::function<void(std::optional<std::uint64_t> previous)>;

  explicit LogEra(OnRise on_rise) : on_rise(std::move(on_rise)) {}

  LogEra(const LogEra&) = delete;
  auto operator=(const LogEra&) -> LogEra& = delete;

  /** Records the era of a reply; calls OnRise if it is a higher one.
      @return false if the reply is of an era that is over, and must be ignored.
   */
  [[nodiscard]] auto Observe(std::uint64_t era) -> bool {
    if (this->newest && era < *this->newest) {
      return false;
    }
    if (this->newest != era) {
      const auto previous = std::exchange(this->newest, era);
      this->on_rise(previous);
    }
    return true;
  }

  /** Returns the newest era; none before the first reply. */
  [[nodiscard]] auto current() const -> std::optional<std::uint64_t> {
    return this->newest;
  }

  /** As above, but 0 before the first reply. */
  [[nodiscard]] auto number() const -> std::uint64_t {
    return this->newest.value_or(0);
  }

 private:
  OnRise on_rise;
  std::optional<std::uint64_t> newest;
};

}  // namespace auburnloft

#endif  // AL_LOGSTORE_LOG_ERA_H_
