/** Module al_actions: what the decision code asks the edge of the process to
   do.

    The decisions own no socket and no clock. They append typed actions to an
   ActionQueue, and the edge (a daemon, a test or a bench) carries them out and
   reports back by events.

    Depends on: al_core, the peer messages.

    Parts:
    - action.h         the action types
    - action_queue.h   the queue that collects them
    - log_events.h     the answers of the log
    - refusal.h        the typed reason for which a request is refused
*/
#ifndef AL_ACTIONS_AL_ACTIONS_H_
#define AL_ACTIONS_AL_ACTIONS_H_

#include "al_actions/action.h"
#include "al_actions/action_queue.h"
#include "al_actions/log_events.h"
#include "al_actions/refusal.h"

#endif  // AL_ACTIONS_AL_ACTIONS_H_
