#ifndef AL_HTTP1_HTTP1_SERVER_OPTIONS_H_
#define AL_HTTP1_HTTP1_SERVER_OPTIONS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "al_http1/http1_request_reader.h"
#include "al_http1/memory_account.h"

namespace auburnloft {

/** A connection that met a limit of its server. */
struct Http1LimitEvent {
  /** `memory_refused`, `memory_closed`, `connections_refused`,
      `connections_closed`, `head_size`, `body_size`, `body_time`, `malformed`,
     `pipelined` or `slow`. A string literal. */
  std::string_view limit;
  std::size_t bytes = 0;        ///< That the connection takes.
  std::size_t connections = 0;  ///< At the address.
};

/** What the sessions of a server have in common, beside limits that change.

    Thread safety: none; use on one thread. */
struct Http1ServerOptions {
  /** Shared by all servers of the process; null: no limit. */
  std::shared_ptr<MemoryAccount> memory;

  /** Connections, those that are closing included; 0: no limit. Beyond it the
      least useful one is closed for each new one. */
  std::size_t max_connections = 0;

  /** Whether requests are answered by the process itself and have to be
     answered also while callers have filled the account: it may be exceeded for
     them by MemoryAccount::kReservePart. */
  bool uses_reserve = false;

  /** False: a request with a body is refused with 413. */
  bool takes_bodies = true;

  /** Returns whether a request with this head leads anywhere. Asked at most
      once a request, and only when memory or connections are short. If empty,
      each does. */
  std::function<bool(const Http1RequestHead&)> is_useful;

  /** Called for each connection that meets a limit. May be empty. */
  std::function<void(const Http1LimitEvent&)> on_limit;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HTTP1_SERVER_OPTIONS_H_
