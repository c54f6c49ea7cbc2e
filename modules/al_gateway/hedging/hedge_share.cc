#include "al_gateway/hedging/hedge_share.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace auburnloft::gateway {

auto HedgeShare::RecordRequest() -> void {
  this->newest = (this->newest + 1) % kWindow;
  this->total -= std::exchange(this->hedges.at(this->newest), 0);
  this->requests = std::min(this->requests + 1, static_cast<int>(kWindow));
}

auto HedgeShare::HasRoom() const -> bool {
  return this->total + 1 <= this->share * this->requests;
}

auto HedgeShare::RecordHedge() -> void {
  assert(this->HasRoom());
  ++this->hedges.at(this->newest);
  ++this->total;
}

}  // namespace auburnloft::gateway
