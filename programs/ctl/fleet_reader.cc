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

/** An operator's patience with a log that does not answer. */
constexpr Duration kListLimit = std::chrono::seconds(5);

constexpr Duration kReadPause = std::chrono::milliseconds(200);

auto TakeConfig(const gateway::KeyedRecord& record, FleetView& view) -> void {
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
  bool has_fleet = false;
  TopicFollower config(
      poller, log_address,
      {std::string(platform::kOperatorTopic), Duration(0), kReadPause, true},
      {[&](const gateway::KeyedRecord& record) { TakeConfig(record, view); },
       {},
       [&](const std::set<std::string>& /*keys*/) { has_config = true; },
       [](bool /*answered*/) {}});
  TopicFollower fleet(
      poller, log_address,
      {std::string(platform::kFleetTopic), Duration(0), kReadPause, false},
      {[&](const gateway::KeyedRecord& record) {
         view.Apply(record, has_fleet);
       },
       {},
       [&](const std::set<std::string>& /*keys*/) { has_fleet = true; },
       [](bool /*answered*/) {}});
  config.Start();
  fleet.Start();
  loop.RunUntil([&] { return has_config && has_fleet; }, kListLimit);
  if (!has_config || !has_fleet) {
    std::cerr << "the log at " << log_address << " does not answer\n";
    return false;
  }
  loop.RunUntil([] { return false; }, watch_time);
  return true;
}

}  // namespace auburnloft
