#ifndef GATEWAY_FLEET_RECORDS_H_
#define GATEWAY_FLEET_RECORDS_H_

#include <optional>

#include "al_gateway/membership/router_registry.h"
#include "al_gateway/model/log_messages.h"
#include "al_gateway/prepaid/allowance_ledger.h"

/** Encodes and decodes the records of the fleet topic: one record for each
   router, and one for each team and each incarnation of a router that holds an
   allowance of the team. */
namespace auburnloft::gateway {

[[nodiscard]] auto ToRecord(const RouterAnnouncement& announcement)
    -> KeyedRecord;
[[nodiscard]] auto ToRecord(const AllowanceEntry& entry) -> KeyedRecord;

/** @return none if the record is not a valid announcement. */
[[nodiscard]] auto ReadAnnouncement(const KeyedRecord& record)
    -> std::optional<RouterAnnouncement>;

/** @return none if the record is not a valid allowance entry. */
[[nodiscard]] auto ReadAllowance(const KeyedRecord& record)
    -> std::optional<AllowanceEntry>;

}  // namespace auburnloft::gateway

#endif  // GATEWAY_FLEET_RECORDS_H_
