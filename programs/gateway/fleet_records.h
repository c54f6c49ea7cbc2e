#ifndef GATEWAY_FLEET_RECORDS_H_
#define GATEWAY_FLEET_RECORDS_H_

#include <optional>

#include "al_gateway/membership/router_registry.h"
#include "al_gateway/model/log_messages.h"
#include "al_gateway/prepaid/allowance_ledger.h"

/** The records of the fleet's topic: one of each router, and one of each life
    of a router for each team that it holds an allowance of. */
namespace auburnloft::gateway {

[[nodiscard]] auto ToRecord(const RouterAnnouncement& announcement)
    -> KeyedRecord;
[[nodiscard]] auto ToRecord(const AllowanceEntry& entry) -> KeyedRecord;

/** @return none where the record is no announcement, or cannot be read. */
[[nodiscard]] auto ReadAnnouncement(const KeyedRecord& record)
    -> std::optional<RouterAnnouncement>;

/** @return none where the record is no allowance, or cannot be read. */
[[nodiscard]] auto ReadAllowance(const KeyedRecord& record)
    -> std::optional<AllowanceEntry>;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_FLEET_RECORDS_H_
