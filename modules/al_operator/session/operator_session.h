#ifndef AL_OPERATOR_SESSION_OPERATOR_SESSION_H_
#define AL_OPERATOR_SESSION_OPERATOR_SESSION_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "al_config/replay/config_state_machine.h"
#include "al_edge/http/http_client.h"
#include "al_edge/loop/event_loop.h"
#include "al_ledger/fold/partition_ledger.h"
#include "al_platform/log/log_client.h"

namespace auburnloft {

/** An answer to an HTTP call. */
struct HttpAnswer {
  int status = 0;
  std::string body;
};

/** An operator's connection to the platform's log and to routers, one call
   after another.

    A method that fails returns empty; last_reason() tells why.

    Thread safety: none.
*/
class OperatorSession {
 public:
  struct Bill {
    wire::Bill bill;
    LogOffset offset = 0;
  };

  OperatorSession(std::string platform_address, std::string operator_name);

  [[nodiscard]] auto last_reason() const -> const std::string& {
    return this->reason;
  }

  //============================================================================
  // Queries

  /** The configuration at the end of its stream. */
  [[nodiscard]] auto ReadConfig() -> std::optional<ConfigStateMachine>;

  /** The partition of a team, by the newest configuration. */
  [[nodiscard]] auto PartitionOf(const TeamId& team)
      -> std::optional<PartitionIndex>;

  /** A ledger partition at the end of its stream.
      @param bills  gets the valid bills of the records that the log still
     keeps; may be null. */
  [[nodiscard]] auto ReadLedger(PartitionIndex partition,
                                std::vector<Bill>* bills)
      -> std::optional<PartitionLedger>;

  //============================================================================
  // Commands

  /** Publishes a change based on `base_version`. @return the version that it
     became; empty where another change came first or the log does not answer.
   */
  [[nodiscard]] auto PublishConfig(std::uint64_t base_version,
                                   const nlohmann::json& merge_patch,
                                   const std::string& reason)
      -> std::optional<std::uint64_t>;

  /** Appends an operator's entry and reads its verdict back. */
  [[nodiscard]] auto SubmitEntry(PartitionIndex partition,
                                 wire::LedgerEntry entry)
      -> std::optional<wire::Verdict>;

  /** Calls a router. */
  [[nodiscard]] auto Call(HttpCall call) -> std::optional<HttpAnswer>;

 private:
  using OnRecord =
      std::function<void(LogOffset offset, const std::string& bytes)>;

  auto Append(const StreamId& stream, const std::string& bytes)
      -> std::optional<LogOffset>;
  auto ReadStream(const StreamId& stream,
                  const std::function<void(LogOffset oldest)>& on_start,
                  const OnRecord& on_record) -> bool;
  auto ReadOnce(const StreamId& stream, LogOffset from)
      -> std::optional<LogRecords>;

  std::string operator_name;
  EventLoop loop;
  HttpClient http;
  LogClient log;
  std::string reason;
};

}  // namespace auburnloft

#endif  // AL_OPERATOR_SESSION_OPERATOR_SESSION_H_
