#ifndef AL_CORE_IDS_IDS_H_
#define AL_CORE_IDS_IDS_H_

#include <cstdint>

#include "al_core/ids/strong_id.h"

namespace auburnloft {

/** A team, which owns a prepaid budget. */
using TeamId = StrongId<struct TeamTag>;

/** A router VM by its stable name, whichever process runs on it. */
using RouterId = StrongId<struct RouterTag>;

/** One life of a router process; the unit that holds allowances and writes
 * records. */
using IncarnationId = StrongId<struct IncarnationTag>;

/** A model engine or plain service behind the routers. */
using UpstreamId = StrongId<struct UpstreamTag>;

/** A failure domain of the platform. */
using DomainId = StrongId<struct DomainTag>;

/** The identity that a caller gives to a request; unique within a team. */
using RequestKey = StrongId<struct RequestKeyTag>;

/** One execution of a request at one router. */
using ExecutionId = StrongId<struct ExecutionTag>;

/** A stream of the platform's log. */
using StreamId = StrongId<struct StreamTag>;

/** A count of model tokens; negative only as a difference. */
using Tokens = std::int64_t;

/** The place of a record in a stream of the log, from zero. */
using LogOffset = std::uint64_t;

/** Names an open request inside one router process. */
using RequestHandle = std::uint64_t;

/** A partition of the ledger. */
using PartitionIndex = std::uint32_t;

}  // namespace auburnloft

#endif  // AL_CORE_IDS_IDS_H_
