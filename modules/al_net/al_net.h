/** Module al_net: TCP connections on the one loop of a process.

    Depends on: al_edge (EventLoop).

    Parts:
    - SocketPoller   one epoll set, watched by the loop
    - TcpConnection  bytes in and out, with bounds and a reason for its end
    - TcpListener    accepts connections
*/
#ifndef AL_NET_AL_NET_H_
#define AL_NET_AL_NET_H_

#include "al_net/socket_poller.h"
#include "al_net/tcp_connection.h"
#include "al_net/tcp_listener.h"

#endif  // AL_NET_AL_NET_H_
