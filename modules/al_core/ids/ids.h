#ifndef AL_CORE_IDS_IDS_H_
#define AL_CORE_IDS_IDS_H_

#include <cstdint>

#include "al_core/ids/strong_id.h"

namespace auburnloft {

/** A team: a customer with a prepaid token budget. */
using TeamId = StrongId<struct TeamTag>;

/** The stable name of a router VM, the same for every process that runs on it.
 */
using RouterId = StrongId<struct RouterTag>;

/** One start of a router process. Allowances and records in the log service
   belong to an incarnation, not to a router VM. */
using IncarnationId = StrongId<struct IncarnationTag>;

/** A back end: a model engine or a plain service. */
using UpstreamId = StrongId<struct UpstreamTag>;

/** A failure domain (zone) of the platform. */
using DomainId = StrongId<struct DomainTag>;

/** The idempotency key that a caller sends with a request; unique per team. */
using RequestKey = StrongId<struct RequestKeyTag>;

/** One execution of a request through one router. */
using ExecutionId = StrongId<struct ExecutionTag>;

/** A stream (topic) of the log service. */
using StreamId = StrongId<struct StreamTag>;

/** A number of model tokens. Negative only if it is a difference. */
using Tokens = std::int64_t;

/** The zero-based position of a record in a stream of the log. */
using LogOffset = std::uint64_t;

/** Identifies an open request within one router process. */
using RequestHandle = std::uint64_t;

/** The index of a ledger partition. */
using PartitionIndex = std::uint32_t;

}  // namespace auburnloft

#endif  // AL_CORE_IDS_IDS_H_
