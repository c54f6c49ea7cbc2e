/** Module al_edge: the sockets, timers and settings of a process, all on one
   loop and one thread.

    Depends on: al_core, libwebsockets (HTTP server and client, the loop),
   ZeroMQ and protobuf (messages between routers), Boost.Histogram (metrics),
   TCLAP (flags), log4cplus (logs).

    Parts:
    - loop/       EventLoop: timers, posted calls and watched descriptors
    - http/       HttpServer, HttpExchange, HttpClient, SseParser
    - peer/       PeerSocket
    - settings/   SettingsReader: flags and environment variables, checked
   together
    - metrics/    LatencyHistogram and the text that /metrics serves
*/
#ifndef AL_EDGE_AL_EDGE_H_
#define AL_EDGE_AL_EDGE_H_

#include "al_edge/http/http_client.h"
#include "al_edge/http/http_exchange.h"
#include "al_edge/http/http_server.h"
#include "al_edge/http/sse_parser.h"
#include "al_edge/loop/event_loop.h"
#include "al_edge/metrics/latency_histogram.h"
#include "al_edge/peer/peer_socket.h"
#include "al_edge/settings/settings_reader.h"

#endif  // AL_EDGE_AL_EDGE_H_
