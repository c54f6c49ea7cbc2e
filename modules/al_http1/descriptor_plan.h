#ifndef AL_HTTP1_DESCRIPTOR_PLAN_H_
#define AL_HTTP1_DESCRIPTOR_PLAN_H_

#include <cstddef>

namespace auburnloft {

/** How many connections each address of a router may have, by the number of
    descriptors of the process. The shares leave three sixteenths for
    connections to upstreams, to the log and to other routers, and for the
    process itself, so that a crowd at one address takes nothing from the rest.

    Thread safety: immutable. */
class DescriptorPlan {
 public:
  /** @param descriptors  the limit of the process.
      @param memory_bytes  limit of the MemoryAccount. */
  DescriptorPlan(std::size_t descriptors, std::size_t memory_bytes);

  /** Returns the plan for a setting; 0: the limit of the process. */
  [[nodiscard]] static auto ForProcess(std::size_t max_descriptors,
                                       std::size_t memory_bytes)
      -> DescriptorPlan;

  [[nodiscard]] auto clients() const -> std::size_t;
  [[nodiscard]] auto entry() const -> std::size_t;
  [[nodiscard]] auto readiness() const -> std::size_t;
  [[nodiscard]] auto peers() const -> std::size_t;
  [[nodiscard]] auto metrics() const -> std::size_t;

 private:
  std::size_t unit;  ///< A thirty-second of all connections.
};

}  // namespace auburnloft

#endif  // AL_HTTP1_DESCRIPTOR_PLAN_H_
