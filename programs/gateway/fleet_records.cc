#include "gateway/fleet_records.h"

#include <algorithm>
#include <string>
#include <string_view>

#include "fleet.pb.h"

namespace auburnloft::gateway {

namespace {

constexpr std::string_view kRouterKey = "r/";
constexpr std::string_view kAllowanceKey = "a/";
constexpr std::string_view kPromptKey = "p/";

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
  message.set_link_mbps(announcement.link_mbps);
  message.set_requests_per_second(announcement.requests_per_second);
  return {std::string(kRouterKey) + announcement.name,
          message.SerializeAsString()};
}

auto ToRecord(const AllowanceEntry& entry) -> KeyedRecord {
  wire::AllowanceRecord message;
  message.set_team(entry.team);
  message.set_holder(entry.holder);
  message.set_taken_tokens(entry.taken_tokens);
  message.set_settled_tokens(entry.settled_tokens);
  message.set_demand_per_second(entry.demand_per_second);
  message.set_revision(entry.revision);
  message.set_reserved_tokens(entry.reserved_tokens);
  return {std::string(kAllowanceKey) + entry.team + "/" + entry.holder,
          message.SerializeAsString()};
}

auto ToRecord(const PromptReport& report, Instant now) -> KeyedRecord {
  KeyedRecord record;
  record.key =
      std::string(kPromptKey) + std::string(RouterNameOf(report.reporter));
  if (report.empty()) {
    return record;
  }
  wire::PromptRecord message;
  message.set_reporter(report.reporter);
  message.set_written_at_ms(ToUnixMillis(now));
  for (const PromptReport::Failure& failure : report.failures) {
    wire::PromptFailureRecord& item = *message.add_failures();
    item.set_upstream(failure.upstream);
    for (const std::string& part : failure.parts) {
      item.add_parts(part);
    }
    item.set_age_ms(AgeInMillis(failure.at, now));
  }
  for (const PromptReport::Success& success : report.successes) {
    wire::PromptSuccessRecord& item = *message.add_successes();
    item.set_part(success.part);
    item.set_age_ms(AgeInMillis(success.at, now));
  }
  for (const PromptReport::Quarantine& quarantine : report.quarantines) {
    wire::PromptQuarantineRecord& item = *message.add_quarantines();
    item.set_part(quarantine.part);
    item.set_failed_age_ms(AgeInMillis(quarantine.failed_at, now));
    item.set_ends_in_ms(ToMillis(quarantine.ends_at - now));
    item.set_failed_trials(quarantine.failed_trials);
  }
  record.value = message.SerializeAsString();
  return record;
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
  announcement.link_mbps = message->link_mbps();
  announcement.requests_per_second = message->requests_per_second();
  return announcement;
}

auto ReadAllowance(const KeyedRecord& record) -> std::optional<AllowanceEntry> {
  const auto message = Read<wire::AllowanceRecord>(record, kAllowanceKey);
  if (!message) {
    return std::nullopt;
  }
  AllowanceEntry entry;
  entry.team = message->team();
  entry.holder = message->holder();
  entry.taken_tokens = message->taken_tokens();
  entry.settled_tokens = message->settled_tokens();
  entry.demand_per_second = message->demand_per_second();
  entry.revision = message->revision();
  entry.reserved_tokens = message->reserved_tokens();
  return entry;
}

auto ReadPromptReport(const KeyedRecord& record, bool was_listed, Instant now)
    -> std::optional<PromptReport> {
  const auto message = Read<wire::PromptRecord>(record, kPromptKey);
  if (!message) {
    return std::nullopt;
  }
  const Instant told = FromUnixMillis(message->written_at_ms());
  const bool is_plausible =
      told <= now && (was_listed || now - told <= kMaxReadDelay);
  const Instant written_at = is_plausible ? told : now;
  const auto before = [written_at](std::uint64_t age_ms) {
    // An age beyond a day is as good as any, and does not overflow.
    constexpr std::uint64_t kMaxAgeMs = 86'400'000;
    return written_at - std::chrono::milliseconds(std::min(age_ms, kMaxAgeMs));
  };
  PromptReport report;
  report.reporter = message->reporter();
  for (const wire::PromptFailureRecord& item : message->failures()) {
    report.failures.push_back({item.upstream(),
                               {item.parts().begin(), item.parts().end()},
                               before(item.age_ms())});
  }
  for (const wire::PromptSuccessRecord& item : message->successes()) {
    report.successes.push_back({item.part(), before(item.age_ms())});
  }
  for (const wire::PromptQuarantineRecord& item : message->quarantines()) {
    report.quarantines.push_back(
        {item.part(), before(item.failed_age_ms()),
         written_at + std::chrono::milliseconds(item.ends_in_ms()),
         item.failed_trials()});
  }
  return report;
}

}  // namespace auburnloft::gateway
