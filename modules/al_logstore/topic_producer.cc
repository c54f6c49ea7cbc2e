#include "al_logstore/topic_producer.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "platform/log_codec.h"

namespace auburnloft {

namespace {

/** The epoch of the first era. Each incarnation of a process is a new producer
   with a new name. */
constexpr std::uint64_t kFirstEpoch = 1;

/** Timeout of a reply. */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(1'000);

/** Exponential back-off before a batch is sent again. */
constexpr Duration kMinBackOff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackOff = std::chrono::milliseconds(600);

}  // namespace

TopicProducer::TopicProducer(SocketPoller& poller,
                             std::string address,
                             LogEra& era,
                             std::string topic,
                             std::string producer)
    : caller(poller, std::move(address)),
      era(era),
      topic(std::move(topic)),
      producer(std::move(producer)),
      timer(std::make_unique<LoopTimer>(poller.loop(),
                                        [this] { this->Send(); })) {}

TopicProducer::~TopicProducer() = default;

auto TopicProducer::Append(std::vector<gateway::KeyedRecord> records,
                           OnAppended on_appended) -> void {
  assert(!this->busy() && !records.empty());
  this->batch = std::move(records);
  this->appended = std::move(on_appended);
  this->Send();
}

auto TopicProducer::Send() -> void {
  const std::uint64_t current = kFirstEpoch + this->era.number();
  if (std::exchange(this->epoch, current) != current) {
    this->sequence = 0;
  }
  this->caller.Call(
      platform::MakeAppendCall(this->topic,
                               {this->producer, this->epoch, this->sequence},
                               this->batch),
      kReplyTimeout, [this](const std::optional<Http1Client::Reply>& reply) {
        this->OnReply(reply);
      });
}

auto TopicProducer::OnReply(const std::optional<Http1Client::Reply>& reply)
    -> void {
  const bool is_current =
      reply && this->era.Observe(platform::ReadLogEra(reply->fields));
  const auto append_reply =
      is_current ? platform::ParseAppendReply(reply->status, reply->body)
                 : std::nullopt;
  const bool is_appended =
      append_reply &&
      (append_reply->status == gateway::AppendStatus::kDone ||
       (append_reply->status == gateway::AppendStatus::kOutOfOrder &&
        append_reply->expected_sequence == this->sequence + 1));
  if (is_appended) {
    ++this->sequence;
    this->failures = 0;
    this->batch.clear();
    const OnAppended call = std::exchange(this->appended, {});
    call();
    return;
  }
  if (append_reply &&
      append_reply->status == gateway::AppendStatus::kOutOfOrder) {
    // The log has no state of this producer, or has dropped it.
    this->sequence = append_reply->expected_sequence;
  }
  constexpr int kMaxDoublings = 4;
  const Duration back_off =
      std::min(kMinBackOff * (1 << std::min(this->failures, kMaxDoublings)),
               kMaxBackOff);
  ++this->failures;
  this->timer->Start(back_off);
}

}  // namespace auburnloft
