#include "ctl/fleet_reader.h"

#include <iostream>
#include <set>

#include "al_edge/loop/event_loop.h"
#include "al_logstore/topic_follower.h"
#include "al_net/socket_poller.h"
#include "ctl/fleet_view.h"
#include "platform/config_codec.h"
#include "platform/wire_names.h"

namespace auburnloft {

namespace {

/** Time to wait for the newest records. */
constexpr Duration kListTimeout = std::chrono::seconds(5);

/** Pause between reads at the end of a topic. */
constexpr Duration kReadInterval = std::chrono::milliseconds(200);

/** Sets the configuration of the view if the record is a valid one. Prints the
    findings of an invalid configuration. */
auto ApplyConfig(const gateway::KeyedRecord& record, FleetView& view) -> void {
  if (record.key != platform::kConfigKey || !record.value) {
    return;
  }
  Findings findings;
  if (auto config = platform::ReadConfig(*record.value, findings)) {
    view.SetConfig(std::move(*config));
  } else {
    std::cerr << findings.ToText();
  }
}

}  // namespace

auto ReadFleet(const std::string& log_address,
               Duration watch_time,
               FleetView& view) -> bool {
  EventLoop loop;
  SocketPoller poller(loop);
  bool has_config = false;
  bool has_fleet_records = false;
  LogEra era([](std::optional<std::uint64_t> /*previous*/) {});
  TopicFollower config(
      poller, log_address, era,
      {std::string(platform::kOperatorTopic), Duration(0), kReadInterval, true},
      {[&](const gateway::KeyedRecord& record) { ApplyConfig(record, view); },
       {},
       [&](const std::set<std::string>& /*keys*/) { has_config = true; },
       [](bool /*answered*/) {}});
  TopicFollower fleet(
      poller, log_address, era,
      {std::string(platform::kFleetTopic), Duration(0), kReadInterval, false},
      {[&](const gateway::KeyedRecord& record) {
         view.Apply(record, has_fleet_records);
       },
       {},
       [&](const std::set<std::string>& /*keys*/) { has_fleet_records = true; },
       [](bool /*answered*/) {}});
  config.Start();
  fleet.Start();
  loop.RunUntil([&] { return has_config && has_fleet_records; }, kListTimeout);
  if (!has_config || !has_fleet_records) {
    std::cerr << "the log at " << log_address << " did not reply in time\n";
    return false;
  }
  loop.RunUntil([] { return false; }, watch_time);
  return true;
}

}  // namespace auburnloft
