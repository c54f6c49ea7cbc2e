/** Module al_logstore: the one client of the platform's log.

    Depends on: al_http1, platform (LogCodec).

    Parts:
    - TopicFollower  the newest records of a keyed topic, and what follows
    - TopicProducer   appends in order, each exactly once
*/
#ifndef AL_LOGSTORE_AL_LOGSTORE_H_
#define AL_LOGSTORE_AL_LOGSTORE_H_

#include "al_logstore/topic_follower.h"
#include "al_logstore/topic_producer.h"

#endif  // AL_LOGSTORE_AL_LOGSTORE_H_
