#ifndef AL_GATEWAY_UPSTREAMS_UPSTREAM_LIMITS_H_
#define AL_GATEWAY_UPSTREAMS_UPSTREAM_LIMITS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/model/upstream_process.h"
#include "al_gateway/upstreams/upstream_limit_report.h"

namespace auburnloft::gateway {

class UpstreamDirectory;

/** Keeps the fleet within the limits that upstreams name in their responses:
   the requests a second that an upstream takes from all routers together, for
   as long as its responses say so.

    A limited upstream is served by a few routers, its senders: the first in its
   rendezvous order, which all routers know from the fleet's members. Each has
   an even share. An equal share for each router would be far below one request
   in the time in which the limit is measured, and then either nobody sends, or
   in a large fleet hundreds of routers do at once.

    While the log service does not reply, the others may have replaced this
   router as a sender, so it halves its share. The routers behind a cut and
   those before it then stay within the limit together.

    A cold upstream gets a temporary limit, which ends by itself. Each router
   sets it by what it knows, and reports nothing. It has no hand-over at its
   begin: it would take half of a short period, and the senders' share leaves
   room for a view of the members that is behind.

    The routers exchange what they hear, as only the senders get responses: a
   limit, its changes and its end. A limit belongs to a process of the upstream.

    Thread safety: none; used on one thread.
*/
class UpstreamLimits {
 public:
  /** What a response or report changed, for the log. */
  enum class Change { kNone, kNamed, kChanged, kEnded };

  /** The state of the fleet from which the senders follow. */
  struct Fleet {
    int routers = 1;               ///< Active routers, including this one.
    bool is_log_reachable = true;  ///< So that the members are up to date.
    /** Returns whether this router is among the first `count` active routers
       in the rendezvous order of `item`. */
    std::function<bool(std::string_view item, int count)> is_among_first;
  };

  /** @param self       this router's incarnation.
      @param directory  its upstreams are limited; must outlive this object. */
  UpstreamLimits(std::string self, UpstreamDirectory& directory);

  UpstreamLimits(const UpstreamLimits&) = delete;
  auto operator=(const UpstreamLimits&) -> UpstreamLimits& = delete;

  //============================================================================
  // Commands

  /** Records what a response says about the limit.
      @param limit    requests a second; none if the response names no limit.
      @param sent_at  when the request was sent. A limit ends only with the
                      response to a request that was sent after the limit was
                      last named, as responses may overtake each other. */
  auto Record(const UpstreamProcess& upstream,
              std::optional<double> limit,
              Instant sent_at,
              Instant now) -> Change;

  /** Limits an upstream to requests a second until `ends_at`, in addition to
     what it names. Replaces its former temporary limit.
      @param per_second  0, or `ends_at` in the past: it gets none. */
  auto SetTemporary(const UpstreamProcess& upstream,
                    double per_second,
                    Instant ends_at,
                    Instant now) -> void;

  /** Applies another router's report where it is newer than what is known.
      @return the limits that it changed here. */
  auto Apply(const UpstreamLimitReport& report, Instant now)
      -> std::vector<UpstreamLimitReport::Limit>;

  /** Updates this router's shares after a change of the fleet's members, and
     drops what is outdated; call it regularly. */
  auto Update(const Fleet& fleet, Instant now) -> void;

  /** Makes TakeReport() return what this router heard, as the others may have
     lost it. */
  auto ReportAgain() -> void;

  /** Returns what this router heard, if the others do not know it yet or were
     last told long ago. */
  [[nodiscard]] auto TakeReport(Instant now)
      -> std::optional<UpstreamLimitReport>;

  //============================================================================
  // Queries

  /** Returns the limit in force; none if the upstream has none. */
  [[nodiscard]] auto LimitOf(const UpstreamProcess& upstream) const
      -> std::optional<double>;

  /** Calls `visit` with each limit in force and whether this router is one of
     the senders. */
  auto VisitAll(const std::function<void(const UpstreamProcess&,
                                         double per_second,
                                         bool is_sender)>& visit) const -> void;

 private:
  struct Limit {
    std::optional<double> per_second;  ///< None: it has ended.
    Instant heard_at{};
    bool is_first_hand = false;  ///< Heard in a response to this router.
    /** What the other routers know, and since when. */
    std::optional<double> shared_per_second;
    Instant shared_at{};
  };

  struct Temporary {
    double per_second = 0.0;
    Instant ends_at{};
  };

  [[nodiscard]] static auto IsReportDue(const Limit& limit, Instant now)
      -> bool;
  [[nodiscard]] auto IsSender(const UpstreamProcess& upstream,
                              double per_second) const -> bool;
  /** Returns the lower one of the limit in force and the temporary one. */
  [[nodiscard]] auto StrictestOf(const UpstreamProcess& upstream) const
      -> std::optional<double>;
  /** Sets how often this router may send to the upstream.
      @param not_before  no request is sent earlier, if this router was no
     sender before. */
  auto ApplyShare(const UpstreamProcess& upstream,
                  Instant not_before,
                  Instant now) -> void;

  std::string self;
  UpstreamDirectory& directory;
  Fleet fleet;
  std::map<UpstreamProcess, Limit> limits;
  std::map<UpstreamProcess, Temporary> temporaries;
  std::optional<Instant> members_known_at;  ///< First Update().
};

}  // namespace auburnloft::gateway

#endif  // AL_GATEWAY_UPSTREAMS_UPSTREAM_LIMITS_H_
