#include "al_http1/heap_trimmer.h"

#include <malloc.h>

#include <algorithm>

#include "al_http1/memory_account.h"

namespace auburnloft {

namespace {

/** From this size on, the free end of the heap is returned at once. A fixed
    value also keeps blocks of 128 KiB and more out of the heap: by default the
    allocator moves them there once one was freed. */
constexpr int kTrimBytes = 1 << 20;

/** Part of the account's limit by which it must have fallen: a trim visits all
    free blocks. */
constexpr std::size_t kFallenPart = 8;

}  // namespace

HeapTrimmer::HeapTrimmer() {
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
}

auto HeapTrimmer::Update(const MemoryAccount& account) -> void {
  this->highest = std::max(this->highest, account.used());
  if (this->highest - account.used() > account.limit() / kFallenPart) {
    malloc_trim(0);
    this->highest = account.used();
  }
}

}  // namespace auburnloft
