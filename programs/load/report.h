#ifndef PROGRAMS_LOAD_REPORT_H_
#define PROGRAMS_LOAD_REPORT_H_

#include <nlohmann/json.hpp>
#include <span>
#include <string>

#include "load/audit.h"
#include "load/load_generator.h"

namespace auburnloft::load {

/** The outcome of a run as JSON: counts, promises kept or broken, and times by
 * kind. */
[[nodiscard]] auto MakeReport(std::string_view name,
                              const LoadGenerator& run,
                              const AuditReport* audit) -> nlohmann::json;

/** The same as a table for people. */
[[nodiscard]] auto FormatTable(const nlohmann::json& report) -> std::string;

}  // namespace auburnloft::load

#endif  // PROGRAMS_LOAD_REPORT_H_
