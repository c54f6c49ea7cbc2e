#include "al_operator/session/operator_session.h"

#include <utility>

#include "al_config/model/configuration.h"
#include "al_config/replay/config_follower.h"
#include "al_core/text/digest.h"
#include "al_ledger/records/partition_map.h"

namespace auburnloft {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(10);

/** Attempts of a read, and of an append. After each attempt of an append, the
    stream is read to see whether it holds the record: an append without a reply
    may have taken effect. */
constexpr int kMaxAttempts = 5;
constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

/** Random bytes in the ID of a change or an entry. */
constexpr int kIdBytes = 8;

}  // namespace

OperatorSession::OperatorSession(std::string platform_address,
                                 std::string operator_name)
    : operator_name(std::move(operator_name)),
      http(loop),
      log(http,
          std::move(platform_address),
          "operator:" + this->operator_name) {}

//==============================================================================
// Calls to the log

auto OperatorSession::Append(const StreamId& stream, const std::string& bytes)
    -> std::optional<LogOffset> {
  bool done = false;
  std::optional<LogOffset> result;
  this->log.Append(stream, bytes, [&](std::optional<LogOffset> offset) {
    result = offset;
    done = true;
  });
  this->loop.RunUntil([&done] { return done; }, kCallTimeout);
  return result;
}

auto OperatorSession::ReadBatch(const StreamId& stream, LogOffset from)
    -> std::optional<LogRecords> {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    bool done = false;
    std::optional<LogRecords> result;
    this->log.Read(stream, from, [&](std::optional<LogRecords> records) {
      result = std::move(records);
      done = true;
    });
    this->loop.RunUntil([&done] { return done; }, kCallTimeout);
    if (result) {
      return result;
    }
    this->loop.RunUntil([] { return false; }, kRetryDelay);
  }
  this->error_text = "the platform's log service does not reply";
  return std::nullopt;
}

auto OperatorSession::ReadStream(
    const StreamId& stream,
    const std::function<void(LogOffset oldest)>& on_start,
    const OnRecord& on_record) -> bool {
  LogOffset next = 0;
  bool started = false;
  while (true) {
    const std::optional<LogRecords> records = this->ReadBatch(stream, next);
    if (!records) {
      return false;
    }
    if (!started) {
      on_start(records->oldest);
      started = true;
    }
    next = records->first;
    for (const std::string& record : records->records) {
      on_record(next++, record);
    }
    if (next >= records->next) {
      return true;
    }
  }
}

//==============================================================================
// Queries

auto OperatorSession::ReadConfig() -> std::optional<ConfigStateMachine> {
  ConfigStateMachine fold;
  const bool read = this->ReadStream(
      ConfigFollower::Stream(),
      [&fold](LogOffset oldest) { fold.StartAt(oldest); },
      [&fold](LogOffset, const std::string& bytes) { fold.ApplyBytes(bytes); });
  if (!read) {
    return std::nullopt;
  }
  if (!fold.ready()) {
    this->error_text = "the log holds no snapshot of the configuration";
    return std::nullopt;
  }
  return fold;
}

auto OperatorSession::PartitionOf(const TeamId& team)
    -> std::optional<PartitionIndex> {
  const std::optional<ConfigStateMachine> fold = this->ReadConfig();
  if (!fold) {
    return std::nullopt;
  }
  const nlohmann::json ledger = fold->document()
                                    .value("defaults", nlohmann::json::object())
                                    .value("ledger", nlohmann::json::object());
  const PartitionMap partitions(ledger.value(
      "partitions", static_cast<int>(LedgerSettings{}.partitions)));
  return partitions.PartitionOf(team);
}

auto OperatorSession::ReadLedger(PartitionIndex partition,
                                 std::vector<Bill>* bills)
    -> std::optional<PartitionLedger> {
  PartitionLedger ledger;
  const bool read = this->ReadStream(
      PartitionMap::StreamOf(partition),
      [&ledger](LogOffset oldest) { ledger.StartAt(oldest); },
      [&](LogOffset offset, const std::string& bytes) {
        const BatchResult result = ledger.ApplyBytes(bytes);
        wire::LedgerBatch batch;
        if (bills == nullptr || !batch.ParseFromString(bytes)) {
          return;
        }
        for (std::size_t i = 0; i < result.verdicts.size(); ++i) {
          const wire::LedgerEntry& entry = batch.entries(static_cast<int>(i));
          if (entry.has_bill() &&
              result.verdicts[i].verdict() == wire::VERDICT_VALID) {
            bills->push_back({entry.bill(), offset});
          }
        }
      });
  if (!read) {
    return std::nullopt;
  }
  if (!ledger.ready()) {
    this->error_text = "the log holds no snapshot of the ledger partition";
    return std::nullopt;
  }
  return ledger;
}

//==============================================================================
// Commands

auto OperatorSession::PublishConfig(std::uint64_t base_version,
                                    const nlohmann::json& merge_patch,
                                    const std::string& reason)
    -> std::optional<std::uint64_t> {
  wire::ConfigRecord record;
  record.set_base_version(base_version);
  record.set_change_id(SecureRandomHex(kIdBytes));
  record.set_merge_patch(merge_patch.dump());
  record.set_author(this->operator_name);
  record.set_reason(reason);
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    this->Append(ConfigFollower::Stream(), record.SerializeAsString());
    std::optional<std::uint64_t> accepted;
    ConfigStateMachine fold;
    const bool read = this->ReadStream(
        ConfigFollower::Stream(),
        [&fold](LogOffset oldest) { fold.StartAt(oldest); },
        [&](LogOffset, const std::string& bytes) {
          const ConfigRecordResult result = fold.ApplyBytes(bytes);
          wire::ConfigRecord read_record;
          const bool is_own = read_record.ParseFromString(bytes) &&
                              read_record.change_id() == record.change_id();
          if (is_own && result == ConfigRecordResult::kAccepted) {
            accepted = fold.version();
          }
        });
    if (!read) {
      return std::nullopt;
    }
    if (accepted) {
      return accepted;
    }
    if (fold.version() != base_version) {
      this->error_text =
          "the change is based on version " + std::to_string(base_version) +
          ", but the newest version is " + std::to_string(fold.version());
      return std::nullopt;
    }
    this->loop.RunUntil([] { return false; }, kRetryDelay);
  }
  this->error_text = "the log did not append the change";
  return std::nullopt;
}

auto OperatorSession::SubmitEntry(PartitionIndex partition,
                                  wire::LedgerEntry entry)
    -> std::optional<wire::Verdict> {
  const StreamId stream = PartitionMap::StreamOf(partition);
  if (entry.entry_id().empty()) {
    entry.set_entry_id("operator/" + SecureRandomHex(kIdBytes));
  }
  wire::LedgerBatch batch;
  batch.set_kind(wire::BATCH_OPERATOR);
  batch.set_writer("operator:" + this->operator_name);
  *batch.add_entries() = entry;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    this->Append(stream, batch.SerializeAsString());
    PartitionLedger ledger;
    std::optional<wire::Verdict> verdict;
    const bool read = this->ReadStream(
        stream, [&ledger](LogOffset oldest) { ledger.StartAt(oldest); },
        [&](LogOffset, const std::string& bytes) {
          for (const wire::EntryVerdict& item :
               ledger.ApplyBytes(bytes).verdicts) {
            if (item.entry_id() == entry.entry_id() && !verdict) {
              verdict = item.verdict();
            }
          }
        });
    if (!read) {
      return std::nullopt;
    }
    if (verdict) {
      return verdict;
    }
    this->loop.RunUntil([] { return false; }, kRetryDelay);
  }
  this->error_text = "the log did not append the entry";
  return std::nullopt;
}

auto OperatorSession::Call(HttpCall call) -> std::optional<HttpResponse> {
  bool done = false;
  bool failed = false;
  HttpResponse response;
  call.on_head = [&](int status, const HttpHeaders&) {
    response.status = status;
  };
  call.on_data = [&](std::string_view data) { response.body += data; };
  call.on_end = [&] { done = true; };
  call.on_error = [&](bool, std::string_view text) {
    this->error_text = text;
    failed = true;
  };
  const std::shared_ptr<HttpCallHandle> handle =
      this->http.Send(std::move(call));
  this->loop.RunUntil([&] { return done || failed; }, kCallTimeout);
  if (!done) {
    handle->Cancel();
    return std::nullopt;
  }
  return response;
}

}  // namespace auburnloft
