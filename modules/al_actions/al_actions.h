/** Module al_actions: the actions that the decision code requests from the I/O
   layer of the process.

    The decision code owns no socket and no clock. It appends typed actions to
   an ActionQueue. The I/O layer (a daemon, a test or a benchmark) performs them
   and reports the results as events.

    Depends on: al_core, the peer messages.

    Parts:
    - action.h         the action types
    - action_queue.h   the queue that collects them
    - log_events.h     the replies of the log service
    - refusal.h        the typed reason for refusing a request
*/
#ifndef AL_ACTIONS_AL_ACTIONS_H_
#define AL_ACTIONS_AL_ACTIONS_H_

#include "al_actions/action.h"
#include "al_actions/action_queue.h"
#include "al_actions/log_events.h"
#include "al_actions/refusal.h"

#endif  // AL_ACTIONS_AL_ACTIONS_H_
