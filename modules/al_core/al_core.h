/** Module al_core: identifiers, time, findings, hashing and random numbers,
   used by all other modules.

    Depends on: xxHash, OpenSSL (digests and secure random numbers), the C++
   standard library.

    Parts:
    - ids/      strongly typed identifiers and the format of incarnation ids
    - time/     time points and durations of the decision code, which never
   reads a clock
    - errors/   findings of an input check, each with its location
    - text/     base64, digests, comma-separated lists and text files
    - random/   seeded random numbers for jitter and load balancing
*/
#ifndef AL_CORE_AL_CORE_H_
#define AL_CORE_AL_CORE_H_

#include "al_core/errors/findings.h"
#include "al_core/ids/ids.h"
#include "al_core/ids/incarnation.h"
#include "al_core/random/random_source.h"
#include "al_core/text/digest.h"
#include "al_core/time/instant.h"

#endif  // AL_CORE_AL_CORE_H_
