#ifndef PROGRAMS_ROUTER_UPSTREAM_POLLER_H_
#define PROGRAMS_ROUTER_UPSTREAM_POLLER_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "al_config/model/configuration.h"
#include "al_edge/http/http_client.h"
#include "al_edge/loop/event_loop.h"
#include "al_traffic/upstreams/upstream_pool.h"

namespace auburnloft {

/** Asks upstreams for their load and for the events of their prefix caches.

    Thread safety: none; used on the loop's thread.
*/
class UpstreamPoller {
 public:
  struct CacheChange {
    UpstreamId upstream;
    std::vector<PrefixDigest> cached;
    std::vector<PrefixDigest> dropped;
  };
  using OnLoad = std::function<void(const UpstreamId&, const LoadReport&)>;
  using OnCache = std::function<void(const CacheChange&)>;

  UpstreamPoller(HttpClient& http, OnLoad on_load, OnCache on_cache);

  /** Asks each upstream once; the answers come later. */
  auto Poll(const Configuration& configuration) -> void;

 private:
  auto Get(const Upstream& upstream,
           std::string path,
           std::function<void(std::string_view body)> on_body) -> void;

  HttpClient& http;
  OnLoad on_load;
  OnCache on_cache;
  std::map<UpstreamId, std::uint64_t> cache_sequence;
};

}  // namespace auburnloft

#endif  // PROGRAMS_ROUTER_UPSTREAM_POLLER_H_
