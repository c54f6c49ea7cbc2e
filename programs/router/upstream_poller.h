#ifndef PROGRAMS_ROUTER_UPSTREAM_POLLER_H_
#define PROGRAMS_ROUTER_UPSTREAM_POLLER_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "al_config/model/configuration.h"
#include "al_edge/loop/event_loop.h"
#include "al_http1/http_client.h"
#include "al_traffic/upstreams/upstream_pool.h"

namespace auburnloft {

/** Polls upstreams over HTTP for their load and, if they are engines, for the
    changes of their prefix caches.

    Thread safety: none; used on the loop's thread.
*/
class UpstreamPoller {
 public:
  /** Changes of an upstream's prefix cache since the last poll. */
  struct CacheChange {
    UpstreamId upstream;
    std::vector<PrefixDigest> cached;
    std::vector<PrefixDigest> evicted;
  };

  /** Receives a valid load report of an upstream. */
  using OnLoad = std::function<void(const UpstreamId&, const LoadReport&)>;

  /** Receives the changes of one poll, of which there may be none. */
  using OnCache = std::function<void(const CacheChange&)>;

  UpstreamPoller(HttpClient& http, OnLoad on_load, OnCache on_cache);

  /** Sends the requests of one poll to each upstream and returns. Each valid
      response is passed to a callback later; a failed request is ignored until
      the next poll. */
  auto Poll(const Configuration& configuration) -> void;

 private:
  /** Sends a GET request. `on_body` receives the body of a complete response of
      any status. */
  auto Get(const Upstream& upstream,
           std::string path,
           std::function<void(std::string_view body)> on_body) -> void;

  HttpClient& http;
  OnLoad on_load;
  OnCache on_cache;
  std::map<UpstreamId, std::uint64_t>
      cache_cursors;  ///< `next` of the last response; sent as `after`.
};

}  // namespace auburnloft

#endif  // PROGRAMS_ROUTER_UPSTREAM_POLLER_H_
