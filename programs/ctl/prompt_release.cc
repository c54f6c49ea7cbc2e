#include "ctl/prompt_release.h"

#include <unistd.h>

#include <iostream>

#include "al_edge/loop/event_loop.h"
#include "al_logstore/topic_producer.h"
#include "al_net/socket_poller.h"
#include "gateway/fleet_records.h"
#include "platform/wire_names.h"

namespace auburnloft {

namespace {

/** Time to wait for the log's confirmation. */
constexpr Duration kAppendTimeout = std::chrono::seconds(5);

constexpr std::string_view kReporter = "operator";

}  // namespace

auto MakePromptRelease(const std::string& part, Instant now)
    -> gateway::KeyedRecord {
  gateway::CrashReport report;
  report.reporter =
      std::string(kReporter) + "#" + std::to_string(ToUnixMillis(now));
  report.successes.push_back({part, now});
  return gateway::ToRecord(report, now);
}

auto ReleasePromptPart(const std::string& log_address, const std::string& part)
    -> bool {
  EventLoop loop;
  SocketPoller poller(loop);
  const Instant now = loop.Now();
  LogEra era([](std::optional<std::uint64_t> /*previous*/) {});
  // The log rejects a producer's name that was used before.
  TopicProducer producer(
      poller, log_address, era, std::string(platform::kFleetTopic),
      std::string(kReporter) + "-" + std::to_string(ToUnixMillis(now)) + "-" +
          std::to_string(getpid()));
  bool is_confirmed = false;
  producer.Append({MakePromptRelease(part, now)},
                  [&is_confirmed] { is_confirmed = true; });
  loop.RunUntil([&is_confirmed] { return is_confirmed; }, kAppendTimeout);
  if (!is_confirmed) {
    std::cerr << "the log at " << log_address << " did not reply in time\n";
  }
  return is_confirmed;
}

}  // namespace auburnloft
