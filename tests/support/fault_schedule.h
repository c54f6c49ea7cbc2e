#ifndef TESTS_SUPPORT_FAULT_SCHEDULE_H_
#define TESTS_SUPPORT_FAULT_SCHEDULE_H_

#include <string>
#include <vector>

#include "support/invariant_checker.h"
#include "support/virtual_fleet.h"

namespace auburnloft::testing {

/** Runs a simulated fleet under faults that a seed determines, and checks all
   invariants after each event.

    A fault starts every second or so and lasts for some seconds, so that two or
   more overlap: killed and replaced routers, pauses, network partitions between
   routers (one-way or both ways) and from the log, outages of the log, lost,
   late and repeated appends, lost, repeated and reordered messages, retention
   that drops old records, top-ups, and operators that publish at the same time.
*/
class FaultSchedule {
 public:
  struct Outcome {
    std::string violation;  ///< Empty if all invariants held.
    std::uint64_t steps = 0;
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t unbilled = 0;
    Tokens stranded = 0;
    std::vector<std::string> faults;  ///< One line per fault, with its time.
  };

  explicit FaultSchedule(std::uint64_t seed);

  /** Runs to the end or to the first violated invariant. */
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
