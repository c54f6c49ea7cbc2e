#ifndef PROGRAMS_LOAD_REPORT_H_
#define PROGRAMS_LOAD_REPORT_H_

#include <nlohmann/json.hpp>
#include <span>
#include <string>

#include "load/audit.h"
#include "load/load_generator.h"

namespace auburnloft::load {

/** Returns the results of a load run as JSON: counts, violated guarantees and
 * latency quantiles by request kind.
    @param audit  may be null; its fields are then left out. */
[[nodiscard]] auto MakeReport(std::string_view name,
                              const LoadGenerator& run,
                              const AuditReport* audit) -> nlohmann::json;

/** Formats the result of MakeReport() as a plain text table. */
[[nodiscard]] auto FormatTable(const nlohmann::json& report) -> std::string;

}  // namespace auburnloft::load

#endif  // PROGRAMS_LOAD_REPORT_H_
