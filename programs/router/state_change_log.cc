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
    LOG4CPLUS_INFO(Logger(), "configuration " << version << " in force");
  }
  const std::vector<PartitionIndex> now_kept = core.keepers().Kept();
  if (now_kept != this->kept) {
    this->kept = now_kept;
    std::string list;
    for (const PartitionIndex partition : now_kept) {
      list += " " + std::to_string(partition);
    }
    LOG4CPLUS_INFO(Logger(), "keeps partitions:" << list);
  }
  const std::vector<RouterId> now_live = core.membership().Live();
  if (now_live != this->live) {
    this->live = now_live;
    LOG4CPLUS_INFO(Logger(), "routers that take callers: " << now_live.size());
  }
  if (core.IsDraining() && !this->draining) {
    this->draining = true;
    LOG4CPLUS_INFO(Logger(), "draining");
  }
}

}  // namespace auburnloft
