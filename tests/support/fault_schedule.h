#ifndef TESTS_SUPPORT_FAULT_SCHEDULE_H_
#define TESTS_SUPPORT_FAULT_SCHEDULE_H_

#include <string>
#include <vector>

#include "support/invariant_checker.h"
#include "support/virtual_fleet.h"

namespace auburnloft::testing {

/** A run of a fleet under faults that a seed decides, with all promises checked
   after each event.

    Faults of all kinds come every second or so, each for a while, so that two
   or more overlap: death, replacement, pauses, partitions between routers and
   from the log, each way on its own, outages, lost, late and repeated appends,
   lost, repeated and reordered messages, retention, top-ups and racing
   operators.
*/
class FaultSchedule {
 public:
  struct Outcome {
    std::string violation;  ///< Empty where every promise held.
    std::uint64_t steps = 0;
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t unbilled = 0;
    Tokens stranded = 0;
    std::vector<std::string> faults;  ///< A line each, with its time.
  };

  explicit FaultSchedule(std::uint64_t seed);

  /** Runs to the end, or to the first broken promise. */
  auto Run() -> Outcome;

 private:
  auto ScheduleFault() -> void;
  auto InjectFault() -> void;
  auto InjectRouterFault(std::uint64_t kind, std::size_t node, Duration span)
      -> void;
  auto InjectLinkFault(std::uint64_t kind,
                       std::size_t node,
                       std::size_t other,
                       Duration span) -> void;
  auto InjectLogFault(std::uint64_t kind, Duration span) -> void;
  auto InjectOperatorRace(std::uint64_t kind) -> void;
  auto ScheduleRequest() -> void;
  auto SendRequest() -> void;
  auto EndFaults() -> void;
  auto RecordFault(std::string text) -> void;

  std::uint64_t seed;
  RandomSource random;
  VirtualFleet fleet;
  InvariantChecker checker;
  Outcome outcome;
  Instant start;
  Instant faults_end;
  int next_key = 1;
  int next_top_up = 1;
};

}  // namespace auburnloft::testing

#endif  // TESTS_SUPPORT_FAULT_SCHEDULE_H_
