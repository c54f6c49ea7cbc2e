#ifndef GATEWAY_FLEET_RECORDS_H_
#define GATEWAY_FLEET_RECORDS_H_

#include <optional>

#include "al_gateway/membership/router_registry.h"
#include "al_gateway/model/log_messages.h"
#include "al_gateway/prepaid/allowance_ledger.h"
#include "al_gateway/quarantine/crash_report.h"
#include "al_gateway/upstreams/upstream_limit_report.h"

namespace auburnloft::wire {
class AllowanceRecord;
}

/** Encodes and decodes the records of the fleet topic: one record for each
   router, one for each team and each incarnation of a router that holds an
   allowance of the team, one for each router that knows of prompt parts which
   crash upstreams, and one for each router to which upstreams named limits. */
namespace auburnloft::gateway {

[[nodiscard]] auto ToRecord(const RouterAnnouncement& announcement)
    -> KeyedRecord;
[[nodiscard]] auto ToRecord(const AllowanceEntry& entry) -> KeyedRecord;

[[nodiscard]] auto ToMessage(const AllowanceEntry& entry)
    -> wire::AllowanceRecord;
[[nodiscard]] auto FromMessage(const wire::AllowanceRecord& message)
    -> AllowanceEntry;

/** Makes the record of an entry that the log lost, on behalf of its holder. It
   has a key of its own, so that it does not replace a newer entry. */
[[nodiscard]] auto ToRestoredRecord(const AllowanceEntry& entry) -> KeyedRecord;

/** An empty report becomes a record that deletes its key. */
[[nodiscard]] auto ToRecord(const CrashReport& report, Instant now)
    -> KeyedRecord;

[[nodiscard]] auto ToRecord(const UpstreamLimitReport& report, Instant now)
    -> KeyedRecord;

/** @return none if the record is not a valid announcement. */
[[nodiscard]] auto ReadAnnouncement(const KeyedRecord& record)
    -> std::optional<RouterAnnouncement>;

/** Reads an allowance entry that its holder wrote, or another router on its
   behalf. @return none if the record is no valid one. */
[[nodiscard]] auto ReadAllowance(const KeyedRecord& record)
    -> std::optional<AllowanceEntry>;

/** Points in time follow from the ages in the record and its time of writing by
   the clock of its router, or, if that cannot be right, the current time.
    @param was_listed  whether the record may have been written long ago.
    @return none if the record is not a valid report. */
[[nodiscard]] auto ReadCrashReport(const KeyedRecord& record,
                                   bool was_listed,
                                   Instant now) -> std::optional<CrashReport>;

/** As above, for a report about limits of upstreams. */
[[nodiscard]] auto ReadUpstreamLimitReport(const KeyedRecord& record,
                                           bool was_listed,
                                           Instant now)
    -> std::optional<UpstreamLimitReport>;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_FLEET_RECORDS_H_
