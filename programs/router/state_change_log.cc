#include "router/state_change_log.h"

#include <log4cplus/loggingmacros.h>

namespace auburnloft {

namespace {

auto Logger() -> log4cplus::Logger {
  return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("router"));
}

}  // namespace

auto StateChangeLog::LogChanges(const RouterCore& core) -> void {
  const std::uint64_t version =
      core.configuration() == nullptr ? 0 : core.configuration()->version;
  if (version != this->config_version) {
    this->config_version = version;
    LOG4CPLUS_INFO(Logger(),
                   "configuration version " << version << " is active");
  }
  const std::vector<PartitionIndex> new_partitions =
      core.keepers().KeptPartitions();
  if (new_partitions != this->kept_partitions) {
    this->kept_partitions = new_partitions;
    std::string list;
    for (const PartitionIndex partition : new_partitions) {
      list += " " + std::to_string(partition);
    }
    LOG4CPLUS_INFO(Logger(), "keeper of partitions:" << list);
  }
  const std::vector<RouterId> new_routers = core.membership().ActiveRouters();
  if (new_routers != this->active_routers) {
    this->active_routers = new_routers;
    LOG4CPLUS_INFO(Logger(),
                   "routers that accept requests: " << new_routers.size());
  }
  if (core.IsDraining() && !this->was_draining) {
    this->was_draining = true;
    LOG4CPLUS_INFO(Logger(), "draining");
  }
}

}  // namespace auburnloft
