/** Module al_net: non-blocking TCP connections on the event loop of a process.

    Depends on: al_edge (EventLoop).

    Parts:
    - SocketPoller   dispatches socket events from one epoll instance
    - TcpConnection  a buffered connection that reports why it closed
    - TcpListener    accepts connections
*/
#ifndef AL_NET_AL_NET_H_
#define AL_NET_AL_NET_H_

#include "al_net/socket_poller.h"
#include "al_net/tcp_connection.h"
#include "al_net/tcp_listener.h"

#endif  // AL_NET_AL_NET_H_
