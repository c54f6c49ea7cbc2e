#include "al_http1/descriptor_plan.h"

#include <sys/resource.h>

#include <algorithm>

#include "al_http1/memory_account.h"

namespace auburnloft {

namespace {

/** Shares in thirty-seconds. Callers have most of the connections; each router
    asks others over a few connections; the platform checks readiness and reads
    metrics over one or two. */
constexpr std::size_t kUnits = 32;
constexpr std::size_t kClientUnits = 16;
constexpr std::size_t kEntryUnits = 2;
constexpr std::size_t kReadinessUnits = 1;
constexpr std::size_t kPeerUnits = 6;
constexpr std::size_t kMetricsUnits = 1;

/** All connections take at most this part of the account by their fixed cost,
    so that the rest finds room for requests. */
constexpr std::size_t kFixedCostPart = 2;

}  // namespace

DescriptorPlan::DescriptorPlan(std::size_t descriptors,
                               std::size_t memory_bytes)
    : unit(std::max<std::size_t>(1,
                                 std::min(descriptors,
                                          memory_bytes / kFixedCostPart /
                                              MemoryAccount::kConnectionBytes) /
                                     kUnits)) {}

auto DescriptorPlan::ForProcess(std::size_t max_descriptors,
                                std::size_t memory_bytes) -> DescriptorPlan {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  const auto process_limit = static_cast<std::size_t>(limit.rlim_cur);
  return {max_descriptors == 0 ? process_limit
                               : std::min(max_descriptors, process_limit),
          memory_bytes};
}

auto DescriptorPlan::clients() const -> std::size_t {
  return kClientUnits * this->unit;
}
auto DescriptorPlan::entry() const -> std::size_t {
  return kEntryUnits * this->unit;
}
auto DescriptorPlan::readiness() const -> std::size_t {
  return kReadinessUnits * this->unit;
}
auto DescriptorPlan::peers() const -> std::size_t {
  return kPeerUnits * this->unit;
}
auto DescriptorPlan::metrics() const -> std::size_t {
  return kMetricsUnits * this->unit;
}

}  // namespace auburnloft
