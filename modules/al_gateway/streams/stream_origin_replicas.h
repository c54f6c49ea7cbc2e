#ifndef AL_GATEWAY_STREAMS_STREAM_ORIGIN_REPLICAS_H_
#define AL_GATEWAY_STREAMS_STREAM_ORIGIN_REPLICAS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "al_gateway/membership/router_registry.h"
#include "al_gateway/streams/stream_origin_table.h"

namespace auburnloft::gateway {

/** Decides which other routers keep a copy of where streams began, and which
    are asked for it.

    The replicas of a stream are the first two other routers in the rendezvous
    order of its group, of different failure domains; routers that leave only if
    there are too few others. The router that serves the stream tells them, and
    tells each router that takes the place of one which leaves, has expired or
    has started again. A router that leaves tells others of all its streams, and
    of those that routers told it which are gone.

    Queues what other routers have to be told; it owns no socket and no clock.

    Thread safety: none; use on one thread.
*/
class StreamOriginReplicas {
 public:
  /** A stream that another router has to be told of. */
  struct News {
    StreamOrigin origin;
    Instant recorded_at{};
  };
  using NewsByAddress = std::map<std::string, std::vector<News>>;

  /** Returns whether the replicas of a service's streams have to be told. */
  using IsReplicated = std::function<bool(const std::string& service)>;

  /** Peer addresses of routers that may know a stream. */
  struct Sources {
    std::vector<std::string> staying;
    std::vector<std::string> leaving;  ///< Some may have gone.
  };

  /** @param routers          outlives this object.
      @param stream_lifetime  streams that were recorded before are not told any
                              more: they are taken up no more. */
  StreamOriginReplicas(const RouterRegistry& routers, Duration stream_lifetime);

  StreamOriginReplicas(const StreamOriginReplicas&) = delete;
  auto operator=(const StreamOriginReplicas&) -> StreamOriginReplicas& = delete;

  //============================================================================
  // Commands. `members_at` is the point in time as of which the routers' list
  // counts: see RouterRegistry.

  /** Records a stream that this router serves.
      @param is_replicated  whether its replicas are told. */
  auto RecordOwn(StreamOrigin origin,
                 bool is_replicated,
                 Instant now,
                 Instant members_at) -> void;

  /** Records a stream that another router told.
      @param age     since the other router recorded it.
      @param teller  incarnation of the other router; empty: unknown. */
  auto RecordTold(StreamOrigin origin,
                  Duration age,
                  std::string_view teller,
                  Instant now) -> void;

  /** From now on all streams of this router are replicated, as it leaves. */
  auto BeginLeaving() -> void { this->is_leaving = true; }

  /** Replicates the streams of more services from now on, and tells replicas
     that are new. Call it twice a second. */
  auto Update(const IsReplicated& is_replicated,
              Instant now,
              Instant members_at) -> void;

  /** Returns what other routers have to be told since the last call. */
  [[nodiscard]] auto TakeNews() -> NewsByAddress;

  //============================================================================
  // Queries

  /** Returns where a stream began; null if this router does not know it. Valid
     until the next command. */
  [[nodiscard]] auto Find(std::string_view attempt_id, Instant now) const
      -> const StreamOrigin*;

  /** Returns the other routers that may know a stream. */
  [[nodiscard]] auto SourcesOf(std::string_view attempt_id,
                               Instant members_at) const -> Sources;

 private:
  /** Streams are divided into this many groups, each with its own routers, so
     that a router of a large fleet has connections to some of the others only.
   */
  static constexpr std::size_t kGroups = 32;

  struct Replica {
    std::uint64_t id = 0;  ///< Hash of its incarnation.
    std::string address;
  };
  using Replicas = std::vector<Replica>;

  [[nodiscard]] static auto GroupOf(std::string_view attempt_id) -> std::size_t;
  [[nodiscard]] auto ReplicasOf(std::size_t group, Instant members_at) const
      -> Replicas;
  /** Queues the news for those replicas that have not been told. */
  auto Tell(StreamOriginTable::Entry& entry,
            const Replicas& replicas,
            Instant now) -> void;
  /** Returns hashes of the incarnations of all active routers, also of those
     that leave. */
  [[nodiscard]] auto ActiveRouters(Instant members_at) const
      -> std::set<std::uint64_t>;

  const RouterRegistry& routers;
  Duration stream_lifetime;
  StreamOriginTable table;
  NewsByAddress news;
  bool is_leaving = false;
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_STREAMS_STREAM_ORIGIN_REPLICAS_H_
