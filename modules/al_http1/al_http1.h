/** Module al_http1: HTTP/1.1 messages and connections, for callers, upstreams,
   the log service and other routers, and the client of the own interface.

    Boost.Beast parses the messages. libwebsockets 4.1 cannot: it does not list
    unknown header fields and does not accept chunked request bodies, and a
    router must forward both. Its client takes malformed and truncated responses
    for complete ones.

    Depends on: al_net, Boost.Beast.

    Parts:
    - http1_message.h   requests, response heads, fields and their serialization
    - Http1RequestReader, Http1ResponseReader   incremental parsers
    - MemoryAccount   memory that all connections of a process share
    - DescriptorPlan   how many connections each address may have
    - HeapTrimmer   returns freed memory to the kernel
    - Http1ServerSession   the server side of one caller's connection
    - http1_server_options.h   what the sessions of a server have in common
    - Http1Server   a listener and its sessions
    - Http1ClientConnection   one connection to a server, one exchange at a time
    - Http1Client   calls with a time-out over one persistent connection
    - HttpClient   calls over a connection each
*/
#ifndef AL_HTTP1_AL_HTTP1_H_
#define AL_HTTP1_AL_HTTP1_H_

#include "al_http1/descriptor_plan.h"
#include "al_http1/heap_trimmer.h"
#include "al_http1/http1_client.h"
#include "al_http1/http1_client_connection.h"
#include "al_http1/http1_message.h"
#include "al_http1/http1_request_reader.h"
#include "al_http1/http1_response_reader.h"
#include "al_http1/http1_server.h"
#include "al_http1/http1_server_options.h"
#include "al_http1/http1_server_session.h"
#include "al_http1/http_client.h"
#include "al_http1/memory_account.h"

#endif  // AL_HTTP1_AL_HTTP1_H_
