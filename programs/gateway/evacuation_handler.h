#ifndef GATEWAY_EVACUATION_HANDLER_H_
#define GATEWAY_EVACUATION_HANDLER_H_

#include <set>
#include <string>

#include "al_core/time/instant.h"
#include "al_gateway/model/log_messages.h"
#include "al_gateway/upstreams/evacuation_table.h"

namespace auburnloft {
class EventLoop;
}

namespace auburnloft::wire {
class UpstreamFeedNews;
}

namespace auburnloft::gateway {

class ColdUpstreams;
class DecisionLog;
class GatewayMetrics;
class UpstreamConnectionPool;
class UpstreamDirectory;

/** Feeds the table of evacuated failure domains from the operator's topic of
   the log service ("the log"), or from a reader's reply, and marks the
   upstreams of the domains.

    Thread safety: none; used on the loop's thread.
*/
class EvacuationHandler {
 public:
  /** @pre the references outlive this object. */
  EvacuationHandler(EventLoop& loop,
                    UpstreamDirectory& upstreams,
                    UpstreamConnectionPool& connections,
                    ColdUpstreams& cold_upstreams,
                    DecisionLog& log,
                    GatewayMetrics& metrics);

  EvacuationHandler(const EvacuationHandler&) = delete;
  auto operator=(const EvacuationHandler&) -> EvacuationHandler& = delete;

  //============================================================================
  // Commands

  /** Records that the operator's topic is listed from now on. */
  auto StartReading() -> void;

  /** Records that the log was restored or has lost records, so that the topic
     is listed again. */
  auto RestartListing() -> void;

  /** Applies a record of the operator's topic, if it is an evacuation's. */
  auto OnRecord(const KeyedRecord& record) -> void;

  /** Records that the list of the operator's topic is complete. */
  auto OnListed() -> void;

  /** Records the end of a call to the operator's topic. */
  auto RecordContact(bool answered) -> void;

  /** Records that the log replies again after an outage, or was restored. */
  auto RecordLogRecovery() -> void;

  /** Applies what a reader's reply tells.
      @return whether it tells anything; a router of an older version does not.
   */
  auto Apply(const wire::UpstreamFeedNews& news) -> bool;

  /** Ends what has expired; call it regularly. */
  auto Update() -> void;

  //============================================================================
  // Queries

  /** Writes the evacuated domains into the reply to another router. */
  auto Fill(wire::UpstreamFeedNews& news) const -> void;

  /** Returns whether this router's own reading of the operator's topic is
     recent enough to serve other routers: it is, or the log replies to nobody.
      @param is_log_reachable  whether the log replies to this router. */
  [[nodiscard]] auto IsCurrent(bool is_log_reachable) const -> bool;

  [[nodiscard]] auto table() const -> const EvacuationTable& {
    return this->evacuations;
  }

 private:
  auto OnChange(const EvacuationTable::Change& change) -> void;

  EventLoop& loop;
  UpstreamDirectory& upstreams;
  UpstreamConnectionPool& connections;
  ColdUpstreams& cold_upstreams;
  DecisionLog& log;
  GatewayMetrics& metrics;
  EvacuationTable evacuations;
  std::set<std::string> listed;  ///< Domains of the list that is being read.
  bool is_listing = false;
  bool has_listed = false;  ///< This router's own reading, since it began.
  Instant read_at{};        ///< When the topic was last read, or the log
                            ///< recovered.
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_EVACUATION_HANDLER_H_
