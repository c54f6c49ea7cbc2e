#ifndef AL_HTTP1_BYTE_BUDGET_H_
#define AL_HTTP1_BYTE_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace auburnloft {

/** Bytes that several connections together may keep in memory.

    Thread safety: none; use on one thread.

    @see ByteReservation
*/
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit) : limit(limit) {}

  /** Bytes reserved at present. */
  [[nodiscard]] auto used() const -> std::size_t { return this->reserved; }

 private:
  friend class ByteReservation;

  std::size_t limit;
  std::size_t reserved = 0;
};

/** The part of a ByteBudget that one connection uses; returned at the end.

    Thread safety: none; use on one thread.
*/
class ByteReservation {
 public:
  /** @param budget  null for no limit. */
  explicit ByteReservation(std::shared_ptr<ByteBudget> budget)
      : budget(std::move(budget)) {}
  ~ByteReservation() { this->Release(); }

  ByteReservation(const ByteReservation&) = delete;
  auto operator=(const ByteReservation&) -> ByteReservation& = delete;

  /** Changes the reservation to `bytes`. A reservation that is the only one is
     not limited. @return false, with no change, if the budget does not cover
     it. */
  [[nodiscard]] auto Resize(std::size_t bytes) -> bool {
    if (!this->budget) {
      return true;
    }
    const std::size_t others = this->budget->reserved - this->own;
    if (bytes > this->own && others > 0 &&
        (others > this->budget->limit ||
         bytes > this->budget->limit - others)) {
      return false;
    }
    this->budget->reserved = others + bytes;
    this->own = bytes;
    return true;
  }

  /** Returns the whole reservation. */
  auto Release() -> void {
    if (this->budget) {
      this->budget->reserved -= std::exchange(this->own, 0);
    }
  }

 private:
  std::shared_ptr<ByteBudget> budget;
  std::size_t own = 0;
};

}  // namespace auburnloft

#endif  // AL_HTTP1_BYTE_BUDGET_H_
