/** Module al_edge: the event loop, sockets, timers, settings and metrics of a
   process, all on one thread.

    Depends on: al_core, libwebsockets (HTTP server, the loop),
   ZeroMQ and protobuf (messages between routers), Boost.Histogram (metrics),
   TCLAP (flags), log4cplus (logs).

    Parts:
    - loop/       EventLoop and LoopTimer: timers, posted callbacks and watched
   descriptors
    - http/       HttpServer, HttpExchange, SseParser
    - peer/       PeerSocket: messages between routers
    - settings/   SettingsReader: command-line flags and environment variables
    - metrics/    LatencyHistogram and its Prometheus text
*/
#ifndef AL_EDGE_AL_EDGE_H_
#define AL_EDGE_AL_EDGE_H_

#include "al_edge/http/http_exchange.h"
#include "al_edge/http/http_server.h"
#include "al_edge/http/sse_parser.h"
#include "al_edge/loop/event_loop.h"
#include "al_edge/metrics/latency_histogram.h"
#include "al_edge/peer/peer_socket.h"
#include "al_edge/settings/settings_reader.h"

#endif  // AL_EDGE_AL_EDGE_H_
