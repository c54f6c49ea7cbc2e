#ifndef PROGRAMS_CTL_PROMPT_RELEASE_H_
#define PROGRAMS_CTL_PROMPT_RELEASE_H_

#include <string>

#include "al_core/time/instant.h"
#include "al_gateway/model/log_messages.h"

namespace auburnloft {

/** Makes the record by which an operator releases a quarantined prompt part: a
    report that the part was answered just now, which all routers read. */
[[nodiscard]] auto MakePromptRelease(const std::string& part, Instant now)
    -> gateway::KeyedRecord;

/** Appends such a record to the fleet's topic of the log service ("the log").

    Blocks until the log has confirmed it.

    @param log_address  `ip:port`.
    @return false if the log did not reply in time; the reason is on standard
            error. The part may be released nevertheless. */
[[nodiscard]] auto ReleasePromptPart(const std::string& log_address,
                                     const std::string& part) -> bool;

}  // namespace auburnloft

#endif  // PROGRAMS_CTL_PROMPT_RELEASE_H_
