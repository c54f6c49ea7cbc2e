/** Module al_core: identifiers, time, findings and hashing shared by all other
   modules.

    Depends on: xxHash, OpenSSL (digests and secure random numbers), the C++
   standard library.

    Parts:
    - ids/      strong identifier types and the shape of a router's incarnation
    - time/     instants and durations of the decision code, which never reads a
   clock
    - errors/   findings of a check, collected with their place
    - text/     small text helpers: digests, hexadecimal, formatting
    - random/   seeded random numbers for jitter and choice
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
