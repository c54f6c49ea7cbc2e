#include "al_logstore/topic_producer.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "platform/log_codec.h"

namespace auburnloft {

namespace {

/** One life of a process is one producer; a new life has a new name. */
constexpr std::uint64_t kEpoch = 1;

/** How long an answer may take. */
constexpr Duration kAnswerLimit = std::chrono::milliseconds(1'000);

/** Pause before a batch is sent again, doubled up to the most. */
constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr Duration kMostPause = std::chrono::milliseconds(600);

}  // namespace

TopicProducer::TopicProducer(SocketPoller& poller,
                             std::string address,
                             std::string topic,
                             std::string producer)
    : caller(poller, std::move(address)),
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
  this->caller.Call(
      platform::MakeAppendCall(
          this->topic, {this->producer, kEpoch, this->sequence}, this->batch),
      kAnswerLimit, [this](const std::optional<Http1Caller::Reply>& reply) {
        this->OnReply(reply);
      });
}

auto TopicProducer::OnReply(const std::optional<Http1Caller::Reply>& reply)
    -> void {
  const auto answer =
      reply ? platform::ReadAppendReply(reply->status, reply->body)
            : std::nullopt;
  const bool done =
      answer && (answer->status == gateway::AppendStatus::kDone ||
                 (answer->status == gateway::AppendStatus::kOutOfOrder &&
                  answer->expected_sequence == this->sequence + 1));
  if (done) {
    ++this->sequence;
    this->failures = 0;
    this->batch.clear();
    const OnAppended call = std::exchange(this->appended, {});
    call();
    return;
  }
  if (answer && answer->status == gateway::AppendStatus::kOutOfOrder) {
    // The log has not seen this producer yet, or dropped its state.
    this->sequence = answer->expected_sequence;
  }
  constexpr int kMostDoublings = 4;
  const Duration pause =
      std::min(kFirstPause * (1 << std::min(this->failures, kMostDoublings)),
               kMostPause);
  ++this->failures;
  this->timer->Start(pause);
}

}  // namespace auburnloft
