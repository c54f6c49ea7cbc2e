#ifndef AL_OPERATOR_SESSION_OPERATOR_SESSION_H_
#define AL_OPERATOR_SESSION_OPERATOR_SESSION_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "al_config/replay/config_state_machine.h"
#include "al_edge/loop/event_loop.h"
#include "al_http1/http_client.h"
#include "al_ledger/fold/partition_ledger.h"
#include "al_platform/log/log_client.h"

namespace auburnloft {

/** The response to an HTTP call. */
struct HttpResponse {
  int status = 0;
  std::string body;
};

/** Calls the platform's log service ("the log") and routers for an operator.
   Each method blocks until its calls have ended.

    A method that fails returns empty; last_error() is the reason.

    Thread safety: none.
*/
class OperatorSession {
 public:
  /** A valid bill of a ledger partition. */
  struct Bill {
    wire::Bill bill;
    LogOffset offset = 0;  ///< Of the log record that contains the bill.
  };

  /** @param platform_address  of the log, `ip:port`.
      @param operator_name     recorded as the author of each change. */
  OperatorSession(std::string platform_address, std::string operator_name);

  /** The reason of the last method that returned empty. */
  [[nodiscard]] auto last_error() const -> const std::string& {
    return this->error_text;
  }

  //============================================================================
  // Queries

  /** Reads the configuration stream up to its end and returns the resulting
      configuration. */
  [[nodiscard]] auto ReadConfig() -> std::optional<ConfigStateMachine>;

  /** Returns the ledger partition of a team, by the newest configuration. */
  [[nodiscard]] auto PartitionOf(const TeamId& team)
      -> std::optional<PartitionIndex>;

  /** Reads the stream of a ledger partition up to its end and returns the
      resulting ledger.
      @param bills  receives the valid bills of the records that the log still
                    holds; may be null. */
  [[nodiscard]] auto ReadLedger(PartitionIndex partition,
                                std::vector<Bill>* bills)
      -> std::optional<PartitionLedger>;

  //============================================================================
  // Commands

  /** Publishes a configuration change and waits until the log holds it.
      @param base_version  the version that the change is based on.
      @param reason        recorded with the change.
      @return the new version; empty if `base_version` is not the newest version
              or the log does not reply. */
  [[nodiscard]] auto PublishConfig(std::uint64_t base_version,
                                   const nlohmann::json& merge_patch,
                                   const std::string& reason)
      -> std::optional<std::uint64_t>;

  /** Appends an operator's entry to a ledger partition and returns its verdict,
      which results from its position in the log. An entry without an ID gets a
      random one. */
  [[nodiscard]] auto SubmitEntry(PartitionIndex partition,
                                 wire::LedgerEntry entry)
      -> std::optional<wire::Verdict>;

  /** Sends an HTTP call, usually to a router.
      @return a complete response of any status. */
  [[nodiscard]] auto Call(HttpCall call) -> std::optional<HttpResponse>;

 private:
  using OnRecord =
      std::function<void(LogOffset offset, const std::string& bytes)>;

  /** Appends a record. Empty means that no reply was received: the record may
      still have been appended. */
  auto Append(const StreamId& stream, const std::string& bytes)
      -> std::optional<LogOffset>;
  /** Calls `on_record` with each record that the log holds of a stream, in
      order, up to its end. Before, calls `on_start` with the oldest offset.
      @return false if the log does not reply. */
  auto ReadStream(const StreamId& stream,
                  const std::function<void(LogOffset oldest)>& on_start,
                  const OnRecord& on_record) -> bool;
  /** Reads the next records of a stream, with retries. */
  auto ReadBatch(const StreamId& stream, LogOffset from)
      -> std::optional<LogRecords>;

  std::string operator_name;
  EventLoop loop;
  HttpClient http;
  LogClient log;
  std::string error_text;
};

}  // namespace auburnloft

#endif  // AL_OPERATOR_SESSION_OPERATOR_SESSION_H_
