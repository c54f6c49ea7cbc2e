#include "gateway/fleet_records.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>

#include "fleet.pb.h"

namespace auburnloft::gateway {

namespace {

constexpr std::string_view kRouterKey = "r/";
constexpr std::string_view kAllowanceKey = "a/";
constexpr std::string_view kRestoredKey = "b/";
constexpr std::string_view kCrashKey = "p/";
constexpr std::string_view kLimitKey = "l/";

/** Routers read a record within this time, unless the log is slow. A longer
   time by the writer's clock tells that the clocks differ. */
constexpr Duration kMaxReadDelay = std::chrono::milliseconds(1'000);

auto ToMillis(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

auto AgeInMillis(Instant at, Instant now) -> std::uint64_t {
  return static_cast<std::uint64_t>(ToMillis(std::max(Duration(0), now - at)));
}

/** Returns when a record was written, by its writer's clock if that can be
   right, else `now`.
    @param was_listed  whether the record may have been written long ago. */
auto WrittenAt(std::int64_t unix_ms, bool was_listed, Instant now) -> Instant {
  const Instant told = FromUnixMillis(unix_ms);
  const bool is_plausible =
      told <= now && (was_listed || now - told <= kMaxReadDelay);
  return is_plausible ? told : now;
}

/** An age or a time beyond a day is as good as any, and does not overflow. */
constexpr std::int64_t kMaxSpanMs = 86'400'000;

/** Returns the time `age_ms` before `written_at`. */
auto BeforeWriting(Instant written_at, std::uint64_t age_ms) -> Instant {
  return written_at - std::chrono::milliseconds(std::min(
                          age_ms, static_cast<std::uint64_t>(kMaxSpanMs)));
}

/** Parses the message of a record whose key begins with `prefix`. */
template <typename Message>
auto Read(const KeyedRecord& record, std::string_view prefix)
    -> std::optional<Message> {
  Message message;
  const bool readable = record.key.starts_with(prefix) && record.value &&
                        message.ParseFromString(*record.value);
  return readable ? std::optional(std::move(message)) : std::nullopt;
}

}  // namespace

auto ToRecord(const RouterAnnouncement& announcement) -> KeyedRecord {
  wire::RouterRecord message;
  message.set_name(announcement.name);
  message.set_incarnation(announcement.incarnation);
  message.set_domain(announcement.domain);
  message.set_region(announcement.region);
  message.set_client_address(announcement.client_address);
  message.set_peer_address(announcement.peer_address);
  message.set_leaving(announcement.leaving);
  message.set_beat(announcement.beat);
  message.set_config_version(announcement.config_version);
  message.set_log_era(announcement.log_era);
  message.set_written_at_ms(ToUnixMillis(announcement.written_at));
  message.set_link_mbps(announcement.link_mbps);
  message.set_requests_per_second(announcement.requests_per_second);
  return {std::string(kRouterKey) + announcement.name,
          message.SerializeAsString()};
}

auto ToRecord(const AllowanceEntry& entry) -> KeyedRecord {
  return {std::string(kAllowanceKey) + entry.team + "/" + entry.holder,
          ToMessage(entry).SerializeAsString()};
}

auto ToRestoredRecord(const AllowanceEntry& entry) -> KeyedRecord {
  return {std::string(kRestoredKey) + entry.team + "/" + entry.holder,
          ToMessage(entry).SerializeAsString()};
}

auto ToMessage(const AllowanceEntry& entry) -> wire::AllowanceRecord {
  wire::AllowanceRecord message;
  message.set_team(entry.team);
  message.set_holder(entry.holder);
  message.set_taken_tokens(entry.taken_tokens);
  message.set_settled_tokens(entry.settled_tokens);
  message.set_demand_per_second(entry.demand_per_second);
  message.set_steady_demand_per_second(entry.steady_demand_per_second);
  message.set_ahead_demand_per_second(entry.ahead_demand_per_second);
  message.set_revision(entry.revision);
  message.set_reserved_tokens(entry.reserved_tokens);
  return message;
}

auto FromMessage(const wire::AllowanceRecord& message) -> AllowanceEntry {
  AllowanceEntry entry;
  entry.team = message.team();
  entry.holder = message.holder();
  entry.taken_tokens = message.taken_tokens();
  entry.settled_tokens = message.settled_tokens();
  entry.demand_per_second = message.demand_per_second();
  entry.steady_demand_per_second = message.steady_demand_per_second();
  entry.ahead_demand_per_second = message.ahead_demand_per_second();
  entry.revision = message.revision();
  entry.reserved_tokens = message.reserved_tokens();
  return entry;
}

auto ToRecord(const CrashReport& report, Instant now) -> KeyedRecord {
  KeyedRecord record;
  record.key =
      std::string(kCrashKey) + std::string(RouterNameOf(report.reporter));
  if (report.empty()) {
    return record;
  }
  wire::CrashRecord message;
  message.set_reporter(report.reporter);
  message.set_written_at_ms(ToUnixMillis(now));
  for (const CrashReport::Failure& failure : report.failures) {
    wire::CrashFailureRecord& item = *message.add_failures();
    item.set_upstream(failure.upstream);
    for (const std::string& suspect : failure.suspects) {
      item.add_suspects(suspect);
    }
    item.set_age_ms(AgeInMillis(failure.at, now));
    item.set_sent_age_ms(AgeInMillis(failure.sent_at, now));
    item.set_domain(failure.domain);
  }
  for (const CrashReport::Success& success : report.successes) {
    wire::CrashSuccessRecord& item = *message.add_successes();
    item.set_suspect(success.suspect);
    item.set_age_ms(AgeInMillis(success.at, now));
  }
  for (const CrashReport::Quarantine& quarantine : report.quarantines) {
    wire::CrashQuarantineRecord& item = *message.add_quarantines();
    item.set_suspect(quarantine.suspect);
    item.set_failed_age_ms(AgeInMillis(quarantine.failed_at, now));
    item.set_ends_in_ms(ToMillis(quarantine.ends_at - now));
    item.set_trials(quarantine.trials);
  }
  record.value = message.SerializeAsString();
  return record;
}

auto ToRecord(const UpstreamLimitReport& report, Instant now) -> KeyedRecord {
  wire::UpstreamLimitRecord message;
  message.set_reporter(report.reporter);
  message.set_written_at_ms(ToUnixMillis(now));
  for (const UpstreamLimitReport::Limit& limit : report.limits) {
    wire::UpstreamLimitItem& item = *message.add_limits();
    item.set_upstream(limit.upstream.id);
    item.set_started_at_ms(limit.upstream.started_at_ms);
    item.set_ended(!limit.per_second);
    item.set_per_second(limit.per_second.value_or(0.0));
    item.set_age_ms(AgeInMillis(limit.heard_at, now));
  }
  return {std::string(kLimitKey) + std::string(RouterNameOf(report.reporter)),
          message.SerializeAsString()};
}

auto ReadAnnouncement(const KeyedRecord& record)
    -> std::optional<RouterAnnouncement> {
  const auto message = Read<wire::RouterRecord>(record, kRouterKey);
  if (!message) {
    return std::nullopt;
  }
  RouterAnnouncement announcement;
  announcement.name = message->name();
  announcement.incarnation = message->incarnation();
  announcement.domain = message->domain();
  announcement.region = message->region();
  announcement.client_address = message->client_address();
  announcement.peer_address = message->peer_address();
  announcement.leaving = message->leaving();
  announcement.beat = message->beat();
  announcement.config_version = message->config_version();
  announcement.log_era = message->log_era();
  announcement.written_at = FromUnixMillis(message->written_at_ms());
  announcement.link_mbps = message->link_mbps();
  announcement.requests_per_second =
      std::isfinite(message->requests_per_second())
          ? std::max(0.0, message->requests_per_second())
          : 0.0;
  return announcement;
}

auto ReadAllowance(const KeyedRecord& record) -> std::optional<AllowanceEntry> {
  auto message = Read<wire::AllowanceRecord>(record, kAllowanceKey);
  if (!message) {
    message = Read<wire::AllowanceRecord>(record, kRestoredKey);
  }
  return message ? std::optional(FromMessage(*message)) : std::nullopt;
}

auto ReadCrashReport(const KeyedRecord& record, bool was_listed, Instant now)
    -> std::optional<CrashReport> {
  const auto message = Read<wire::CrashRecord>(record, kCrashKey);
  if (!message) {
    return std::nullopt;
  }
  const Instant written_at =
      WrittenAt(message->written_at_ms(), was_listed, now);
  const auto before = [written_at](std::uint64_t age_ms) {
    return BeforeWriting(written_at, age_ms);
  };
  CrashReport report;
  report.reporter = message->reporter();
  for (const wire::CrashFailureRecord& item : message->failures()) {
    report.failures.push_back({item.upstream(),
                               {item.suspects().begin(), item.suspects().end()},
                               before(item.age_ms()),
                               before(item.sent_age_ms()),
                               item.domain()});
  }
  for (const wire::CrashSuccessRecord& item : message->successes()) {
    report.successes.push_back({item.suspect(), before(item.age_ms())});
  }
  for (const wire::CrashQuarantineRecord& item : message->quarantines()) {
    report.quarantines.push_back(
        {item.suspect(), before(item.failed_age_ms()),
         written_at + std::chrono::milliseconds(std::clamp(
                          item.ends_in_ms(), -kMaxSpanMs, kMaxSpanMs)),
         item.trials()});
  }
  return report;
}

auto ReadUpstreamLimitReport(const KeyedRecord& record,
                             bool was_listed,
                             Instant now)
    -> std::optional<UpstreamLimitReport> {
  const auto message = Read<wire::UpstreamLimitRecord>(record, kLimitKey);
  if (!message) {
    return std::nullopt;
  }
  const Instant written_at =
      WrittenAt(message->written_at_ms(), was_listed, now);
  UpstreamLimitReport report;
  report.reporter = message->reporter();
  for (const wire::UpstreamLimitItem& item : message->limits()) {
    report.limits.push_back(
        {{item.upstream(), item.started_at_ms()},
         item.ended() ? std::nullopt : std::optional(item.per_second()),
         BeforeWriting(written_at, item.age_ms())});
  }
  return report;
}

}  // namespace auburnloft::gateway
