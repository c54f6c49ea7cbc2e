/** Module al_operator: operations of operators' tools on the platform's log
    service.

    Depends on: al_platform, al_config, al_ledger.

    Parts:
    - session/   OperatorSession: reads the configuration and ledger partitions,
                 publishes configuration changes, submits operators' entries
*/
#ifndef AL_OPERATOR_AL_OPERATOR_H_
#define AL_OPERATOR_AL_OPERATOR_H_

#include "al_operator/session/operator_session.h"

#endif  // AL_OPERATOR_AL_OPERATOR_H_
