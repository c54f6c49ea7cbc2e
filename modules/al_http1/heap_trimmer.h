#ifndef AL_HTTP1_HEAP_TRIMMER_H_
#define AL_HTTP1_HEAP_TRIMMER_H_

#include <cstddef>

namespace auburnloft {

class MemoryAccount;

/** Returns memory that connections have freed to the kernel: freed blocks
    between live ones stay with the process otherwise, and count toward the
    limit of its VM.

    Thread safety: none; use on one thread. */
class HeapTrimmer {
 public:
  /** Sets from how many free bytes on the allocator returns the end of the
      heap. */
  HeapTrimmer();

  /** Trims the heap if the account has fallen by an eighth of its limit since
      the last call that did. To be called now and then. */
  auto Update(const MemoryAccount& account) -> void;

 private:
  std::size_t highest = 0;  ///< Of the account, since the last trim.
};

}  // namespace auburnloft

#endif  // AL_HTTP1_HEAP_TRIMMER_H_
