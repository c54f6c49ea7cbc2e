#ifndef TESTS_SUPPORT_FAKE_LOG_H_
#define TESTS_SUPPORT_FAKE_LOG_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "al_actions/log_events.h"
#include "al_core/random/random_source.h"
#include "support/event_queue.h"

namespace auburnloft::testing {

/** The log service in virtual time, with injected faults: outages, lost
   replies, late and repeated appends. */
class FakeLog {
 public:
  struct Faults {
    bool outage = false;
    double reply_loss_probability =
        0.0;  ///< The append is stored, its reply is lost.
    double late_append_probability =
        0.0;  ///< The append fails for its sender, and is stored 0.5 to 8.5 s
              ///< later.
    double repeat_probability = 0.0;  ///< The append is stored twice.
    Duration extra_delay{0};
  };
  using OnAppended = std::function<void(LogOffset)>;
  using OnRecords = std::function<void(LogRecords)>;
  using OnFailed = std::function<void()>;
  using OnStored = std::function<void(const StreamId&, const std::string&)>;

  FakeLog(EventQueue& queue, RandomSource& random)
      : queue(queue), random(random) {}

  auto Append(const StreamId& stream,
              const std::string& bytes,
              OnAppended done,
              OnFailed failed) -> void;
  auto Read(const StreamId& stream,
            LogOffset from,
            OnRecords done,
            OnFailed failed) -> void;

  /** Stores a record immediately and without faults, as an operator's tool with
     a healthy connection does. */
  auto Store(const StreamId& stream, std::string bytes) -> LogOffset;

  /** Sets the callback that is called for each stored record, in order. */
  auto SetOnStored(OnStored callback) -> void {
    this->on_stored = std::move(callback);
  }

  /** Drops all but the newest `count` records of each stream. */
  auto RetainNewest(std::size_t count) -> void;

  Faults faults;
  [[nodiscard]] auto appends() const -> std::uint64_t {
    return this->append_count;
  }
  [[nodiscard]] auto ledger_bytes() const -> std::uint64_t {
    return this->byte_count;
  }

 private:
  struct Stream {
    LogOffset oldest = 0;
    std::vector<std::string> records;
  };

  [[nodiscard]] auto Delay() -> Duration;

  EventQueue& queue;
  RandomSource& random;
  std::map<StreamId, Stream> streams;
  OnStored on_stored;
  std::uint64_t append_count = 0;
  std::uint64_t byte_count = 0;
};

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_FAKE_LOG_H_
