/** Module al_logstore: the client of the platform's log service ("the log").

    Depends on: al_http1, platform (LogCodec).

    Parts:
    - LogEra         tells when the log was restored from an older copy
    - TopicFollower  lists the newest records of a keyed topic, then reads the
                     records appended to it
    - TopicProducer  appends batches in order, each exactly once
*/
#ifndef AL_LOGSTORE_AL_LOGSTORE_H_
#define AL_LOGSTORE_AL_LOGSTORE_H_

#include "al_logstore/log_era.h"
#include "al_logstore/topic_follower.h"
#include "al_logstore/topic_producer.h"

#endif  // AL_LOGSTORE_AL_LOGSTORE_H_
