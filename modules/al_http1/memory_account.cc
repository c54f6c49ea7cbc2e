#include "al_http1/memory_account.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace auburnloft {

namespace {

/** MakeRoom() closes until this part of the limit is free, so that it does not
    search for each further byte. */
constexpr std::size_t kFreedPart = 16;

/** Connections that take less are not closed for memory: an idle one, with its
    fixed cost and the buffers that it keeps. */
constexpr std::size_t kMinFreedBytes = MemoryAccount::kConnectionBytes + 3'072;

}  // namespace

//==============================================================================
// MemoryAccount

auto MemoryAccount::ForVm(std::size_t memory_mb)
    -> std::shared_ptr<MemoryAccount> {
  constexpr std::size_t kMegabyte = std::size_t{1} << 20;
  return std::make_shared<MemoryAccount>(
      (memory_mb == 0 ? kDefaultVmMb : memory_mb) * kMegabyte / kVmPart);
}

auto MemoryAccount::MakeRoom(const MemoryCharge* asker) -> bool {
  if (!this->is_exceeded()) {
    return true;
  }
  using Candidate = std::tuple<MemoryRank, bool, Instant, MemoryCharge*>;
  std::vector<Candidate> candidates;
  for (MemoryCharge* const charge : this->charges) {
    if (charge->own < kMinFreedBytes) {
      continue;
    }
    const MemoryRank rank = charge->callbacks.rank();
    if (rank != MemoryRank::kProtected) {
      candidates.emplace_back(rank, charge == asker, charge->progress_at,
                              charge);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  const std::size_t target = this->bytes_limit - this->bytes_limit / kFreedPart;
  for (const Candidate& candidate : candidates) {
    if (this->bytes_used <= target) {
      break;
    }
    MemoryCharge* const charge = std::get<MemoryCharge*>(candidate);
    if (charge == asker && this->MayKeep(*charge)) {
      continue;
    }
    if (!this->charges.contains(charge)) {
      continue;  // An earlier close ended it.
    }
    ++this->event_counts.closed;
    const auto close = charge->callbacks.close;
    close();
  }
  return asker == nullptr ? !this->is_exceeded() : this->MayKeep(*asker);
}

auto MemoryAccount::MayKeep(const MemoryCharge& charge) const -> bool {
  const std::size_t reserve =
      charge.callbacks.uses_reserve ? this->bytes_limit / kReservePart : 0;
  return this->bytes_used <= this->bytes_limit + reserve ||
         this->bytes_used - charge.own <= this->bytes_limit / kLargeBodiesPart;
}

//==============================================================================
// MemoryCharge

MemoryCharge::MemoryCharge(std::shared_ptr<MemoryAccount> account,
                           Callbacks callbacks)
    : shared(std::move(account)), callbacks(std::move(callbacks)) {
  if (this->shared) {
    this->shared->charges.insert(this);
  }
}

MemoryCharge::~MemoryCharge() {
  this->Release();
}

auto MemoryCharge::Set(std::size_t bytes) -> void {
  if (!this->shared || !this->shared->charges.contains(this)) {
    return;
  }
  MemoryAccount& account = *this->shared;
  account.bytes_used = account.bytes_used - this->own + bytes;
  account.bytes_peak = std::max(account.bytes_peak, account.bytes_used);
  this->own = bytes;
}

auto MemoryCharge::SetLargeBody(std::size_t bytes) -> bool {
  if (!this->shared) {
    return true;
  }
  MemoryAccount& account = *this->shared;
  const std::size_t share =
      account.bytes_limit / MemoryAccount::kLargeBodiesPart;
  const std::size_t others = account.large_bytes - this->large_body;
  if (bytes > this->large_body && others > 0 &&
      (others > share || bytes > share - others)) {
    return false;
  }
  account.large_bytes = others + bytes;
  this->large_body = bytes;
  return true;
}

auto MemoryCharge::Release() -> void {
  if (!this->shared) {
    return;
  }
  this->Set(0);
  this->shared->large_bytes -= std::exchange(this->large_body, 0);
  this->shared->charges.erase(this);
}

}  // namespace auburnloft
