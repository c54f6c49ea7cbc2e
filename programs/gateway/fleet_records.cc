#include "gateway/fleet_records.h"

#include <string>
#include <string_view>

#include "fleet.pb.h"

namespace auburnloft::gateway {

namespace {

constexpr std::string_view kRouterKey = "r/";
constexpr std::string_view kAllowanceKey = "a/";

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

}  // namespace auburnloft::gateway
