#ifndef GATEWAY_ADMISSION_GATE_H_
#define GATEWAY_ADMISSION_GATE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "al_core/time/instant.h"
#include "al_gateway/admission/admission_decision.h"
#include "al_gateway/admission/place_queue.h"
#include "al_gateway/admission/pressure_admission.h"
#include "gateway/upstream_dispatch.h"

namespace auburnloft {
class LoopTimer;
}

namespace auburnloft::gateway {

struct GatewayContext;

/** Admits requests to services, by PressureAdmission for generations and by a
   PlaceQueue for each plain service, and keeps those that wait.

    Requests are identified by the address of an object that handles them.

    Thread safety: none; used on the loop's thread.
*/
class AdmissionGate {
 public:
  /** Receives a decision to begin or to refuse. */
  using OnDecision = std::function<void(const AdmissionDecision&)>;

  /** @pre `context` outlives this object. */
  explicit AdmissionGate(GatewayContext& context);
  ~AdmissionGate();

  AdmissionGate(const AdmissionGate&) = delete;
  auto operator=(const AdmissionGate&) -> AdmissionGate& = delete;

  //============================================================================
  // Commands

  /** Asks whether a request may begin.
      @param owner        identifies the request until End().
      @param parameters   of its first attempt; what they refer to exists until
                          End().
      @param on_decision  called once, at once or later, unless End() is called
                          before; and again after each AskAgain(). */
  auto Ask(const void* owner,
           const AttemptParameters& parameters,
           Instant arrived_at,
           OnDecision on_decision) -> void;

  /** Lets a request that was begun and not executed wait for another place.
      @return false if it is none of a plain service, or can't begin in time. */
  [[nodiscard]] auto AskAgain(const void* owner) -> bool;

  /** Records that an upstream refused the request as full. */
  auto RecordFull(const void* owner) -> void;

  /** Records that an upstream has begun to answer the request. */
  auto RecordFirstByte(const void* owner) -> void;

  /** Ends a request that was asked for; has no effect on others. */
  auto End(const void* owner) -> void;

  //============================================================================
  // Queries

  /** Returns the number of requests that were asked for and have not ended. */
  [[nodiscard]] auto size() const -> std::size_t {
    return this->entries.size();
  }

 private:
  enum class State { kWaiting, kBegun, kAnswered, kRefused };

  struct Entry {
    AttemptParameters parameters;
    Instant arrived_at{};
    OnDecision on_decision;
    State state = State::kWaiting;
    AdmissionQuery query;   ///< Of the newest decision about a generation.
    PlaceQueue::Item item;  ///< Of a plain service.
    PlaceQueue::Ticket ticket = 0;  ///< While it waits for a place.
    bool has_place = false;
    bool was_full = false;
    bool is_overdue = false;  ///< No first event within the objective.
    bool is_wait_logged = false;
    Instant begun_at{};
  };

  [[nodiscard]] static auto IsGeneration(const Entry& entry) -> bool;
  [[nodiscard]] auto QueueOf(const Entry& entry) -> PlaceQueue&;
  auto DecideGeneration(Entry& entry, bool again) -> void;
  auto AskForPlace(Entry& entry) -> void;
  auto ReleasePlace(Entry& entry) -> void;
  /** Lets plain requests that wait begin, or refuses them. */
  auto ServeQueue(const std::string& service, PlaceQueue& queue) -> void;
  /** Logs and counts a decision, and passes it on unless it is to wait. */
  auto Apply(Entry& entry, const AdmissionDecision& decision) -> void;
  auto OnTimer() -> void;
  auto StartTimer() -> void;

  GatewayContext& context;
  PressureAdmission admission;
  std::map<std::string, PlaceQueue, std::less<>> queues;  ///< By service.
  std::unordered_map<const void*, Entry> entries;
  std::unique_ptr<LoopTimer> timer;
};

}  // namespace auburnloft::gateway

#endif  // GATEWAY_ADMISSION_GATE_H_
