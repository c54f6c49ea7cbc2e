/** Module al_operator: what operators' tools do on the platform's log.

    Depends on: al_platform, al_config, al_ledger.

    Parts:
    - session/   OperatorSession: reads folds, publishes changes, submits
   operators' entries
*/
#ifndef AL_OPERATOR_AL_OPERATOR_H_
#define AL_OPERATOR_AL_OPERATOR_H_

#include "al_operator/session/operator_session.h"

#endif  // AL_OPERATOR_AL_OPERATOR_H_
