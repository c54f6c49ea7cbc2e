#ifndef AL_HTTP1_MEMORY_ACCOUNT_H_
#define AL_HTTP1_MEMORY_ACCOUNT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_set>

#include "al_core/time/instant.h"

namespace auburnloft {

class MemoryCharge;

/** Why a connection may be closed for the memory that it takes, the first
    first. */
enum class MemoryRank {
  kUseless,    ///< Leads nowhere: no route, no key, or no such path.
  kPending,    ///< A request that has not arrived whole, or unread responses.
  kProtected,  ///< A request is open, and may have been sent to an upstream.
};

/** The memory that the connections of all servers of a process take: input
    buffers, parsed heads, bodies, open requests and unsent responses.

    Whoever has memory says so in a MemoryCharge, also beyond the limit, as the
    memory is taken by then. MakeRoom() brings the sum back under the limit: it
    closes the least useful holders, within a rank those without progress for
    longest. Requests that are open are never closed.

    Bodies over kMinLargeBodyBytes have a share of their own, so that smaller
    ones find memory. A large body that is the only one is not limited by it.

    Owns no socket and no clock. Thread safety: none; use on one thread.
*/
class MemoryAccount {
 public:
  /** Counters since the start. */
  struct Counts {
    std::size_t refused = 0;  ///< Requests refused with 503.
    std::size_t closed = 0;   ///< Connections closed by MakeRoom().
  };

  /** Part of a VM's memory that connections may take. The rest is for the
      process at rest (11 to 35 MB at 420 routers), for what the allocator
     loses, and for the kernel's buffers: docs/CAPACITY.md. */
  static constexpr std::size_t kVmPart = 4;

  /** A VM's memory if no setting names it: that of most VMs. */
  static constexpr std::size_t kDefaultVmMb = 160;

  /** Part of the account for bodies over kMinLargeBodyBytes. */
  static constexpr std::size_t kLargeBodiesPart = 2;

  /** Smaller bodies do not count as large: those of most requests. */
  static constexpr std::size_t kMinLargeBodyBytes = std::size_t{64} * 1024;

  /** Part of the account by which it may be exceeded for requests of the
      platform and of other routers. */
  static constexpr std::size_t kReservePart = 8;

  /** Fixed cost of a connection: its session, timer, watch and socket
      (estimate, docs/CAPACITY.md). */
  static constexpr std::size_t kConnectionBytes = 4'096;

  /** @param limit  in bytes. */
  explicit MemoryAccount(std::size_t limit) : bytes_limit(limit) {}

  MemoryAccount(const MemoryAccount&) = delete;
  auto operator=(const MemoryAccount&) -> MemoryAccount& = delete;

  /** Returns the account of a VM with `memory_mb` MiB; 0: kDefaultVmMb. */
  [[nodiscard]] static auto ForVm(std::size_t memory_mb)
      -> std::shared_ptr<MemoryAccount>;

  //============================================================================
  // Commands

  /** Closes holders until the account is under its limit with some room, or
      none is left that may be closed.
      @param asker  closed last within its rank; may be null.
      @return whether the account is within its limit. It may be over it for one
      request that is larger than all others together may be. */
  auto MakeRoom(const MemoryCharge* asker) -> bool;

  /** Counts a request that was refused as no memory is left. */
  auto CountRefusal() -> void { ++this->event_counts.refused; }

  //============================================================================
  // Queries

  [[nodiscard]] auto limit() const -> std::size_t { return this->bytes_limit; }
  [[nodiscard]] auto used() const -> std::size_t { return this->bytes_used; }
  [[nodiscard]] auto peak() const -> std::size_t { return this->bytes_peak; }
  [[nodiscard]] auto large_bodies() const -> std::size_t {
    return this->large_bytes;
  }
  [[nodiscard]] auto counts() const -> const Counts& {
    return this->event_counts;
  }

  /** True from three quarters of the limit on: less is read ahead then, and
      fewer response bytes are kept. */
  [[nodiscard]] auto is_tight() const -> bool {
    return this->bytes_used > this->bytes_limit / 4 * 3;
  }
  [[nodiscard]] auto is_exceeded() const -> bool {
    return this->bytes_used > this->bytes_limit;
  }

 private:
  friend class MemoryCharge;

  /** Returns whether the holder may go on: all are within the limit, or it is
      over it alone, as a request of a legal size may be. */
  [[nodiscard]] auto MayKeep(const MemoryCharge& charge) const -> bool;

  std::size_t bytes_limit;
  std::size_t bytes_used = 0;
  std::size_t bytes_peak = 0;
  std::size_t large_bytes = 0;
  Counts event_counts;
  std::unordered_set<MemoryCharge*> charges;
};

/** What one connection takes of a MemoryAccount; returned at the end.

    Thread safety: none; use on one thread.
*/
class MemoryCharge {
 public:
  struct Callbacks {
    bool uses_reserve = false;  ///< See MemoryAccount::kReservePart.
    std::function<MemoryRank()> rank;
    std::function<void()> close;  ///< Releases the memory. May end the charge.
  };

  /** @param account  null for no limit. */
  MemoryCharge(std::shared_ptr<MemoryAccount> account, Callbacks callbacks);
  ~MemoryCharge();

  MemoryCharge(const MemoryCharge&) = delete;
  auto operator=(const MemoryCharge&) -> MemoryCharge& = delete;

  /** Sets what the connection takes, its fixed cost included. */
  auto Set(std::size_t bytes) -> void;

  /** Changes the size of a large body; 0 if there is none.
      @return false, with no change, if the share of large bodies does not cover
      it. */
  [[nodiscard]] auto SetLargeBody(std::size_t bytes) -> bool;

  /** Records that the connection made progress. */
  auto RecordProgress(Instant now) -> void { this->progress_at = now; }

  /** Returns all memory to the account and ends the part in it. */
  auto Release() -> void;

  [[nodiscard]] auto bytes() const -> std::size_t { return this->own; }
  [[nodiscard]] auto last_progress_at() const -> Instant {
    return this->progress_at;
  }
  /** The account; null for no limit. */
  [[nodiscard]] auto account() const -> MemoryAccount* {
    return this->shared.get();
  }

 private:
  friend class MemoryAccount;

  std::shared_ptr<MemoryAccount> shared;
  Callbacks callbacks;
  std::size_t own = 0;
  std::size_t large_body = 0;
  Instant progress_at{};
};

}  // namespace auburnloft

#endif  // AL_HTTP1_MEMORY_ACCOUNT_H_
