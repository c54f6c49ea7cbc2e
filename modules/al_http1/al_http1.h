/** Module al_http1: HTTP/1.1 messages and connections, for callers, upstreams
   and the platform's log alike.

    The framing is Boost.Beast's: libwebsockets 4.1 gives no list of unknown
    header fields and takes no chunked request bodies, and a router passes both
    on.

    Depends on: al_net, Boost.Beast.

    Parts:
    - http1_message.h   heads, fields and their text
    - Http1RequestReader, Http1ResponseReader   bytes to messages
    - Http1ServerSession   one caller's connection: requests in, answers out
    - Http1Server   a listener with its sessions
    - Http1ClientConnection   one connection to a server: one exchange at a time
    - Http1Client   calls with a time-out over one kept connection
*/
#ifndef AL_HTTP1_AL_HTTP1_H_
#define AL_HTTP1_AL_HTTP1_H_

#include "al_http1/http1_client.h"
#include "al_http1/http1_client_connection.h"
#include "al_http1/http1_message.h"
#include "al_http1/http1_request_reader.h"
#include "al_http1/http1_response_reader.h"
#include "al_http1/http1_server.h"
#include "al_http1/http1_server_session.h"

#endif  // AL_HTTP1_AL_HTTP1_H_
