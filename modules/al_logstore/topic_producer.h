#ifndef AL_LOGSTORE_TOPIC_PRODUCER_H_
#define AL_LOGSTORE_TOPIC_PRODUCER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "al_core/time/instant.h"
#include "al_gateway/model/log_messages.h"
#include "al_http1/http1_client.h"
#include "al_logstore/log_era.h"

namespace auburnloft {

/** Appends batches of records to a topic of the log service ("the log"), one
   after the other, each exactly once.

    A batch whose reply is lost is sent again with the same sequence number
   until the log confirms it. The log ignores duplicates, and rejects a delayed
   call whose sequence number is out of order.

    Each era of the log is a new epoch of the producer, as a restored log has an
   older sequence number. It rejects what is delayed from an earlier epoch. An
   acknowledgement of an earlier era is worth nothing; the batch is sent again.

    Thread safety: none; used on the loop's thread.
*/
class TopicProducer {
 public:
  using OnAppended = std::function<void()>;

  /** @param producer  a name that no other process, and no later incarnation of
                       this one, ever uses.
      @param era       must outlive this object. */
  TopicProducer(SocketPoller& poller,
                std::string address,
                LogEra& era,
                std::string topic,
                std::string producer);
  ~TopicProducer();

  TopicProducer(const TopicProducer&) = delete;
  auto operator=(const TopicProducer&) -> TopicProducer& = delete;

  /** Appends a batch; calls `on_appended` when the log has confirmed it, and
     tries until then. @pre !busy() && !records.empty(). */
  auto Append(std::vector<gateway::KeyedRecord> records, OnAppended on_appended)
      -> void;

  /** Returns whether a batch is not confirmed yet. */
  [[nodiscard]] auto busy() const -> bool { return !this->batch.empty(); }

 private:
  auto Send() -> void;
  auto OnReply(const std::optional<Http1Client::Reply>& reply) -> void;

  Http1Client caller;
  LogEra& era;
  std::string topic;
  std::string producer;
  std::unique_ptr<LoopTimer> timer;
  std::vector<gateway::KeyedRecord> batch;
  OnAppended appended;
  std::uint64_t sequence = 0;  ///< In `epoch`.
  std::uint64_t epoch = 0;
  int failures = 0;
};

}  // namespace auburnloft

#endif  // AL_LOGSTORE_TOPIC_PRODUCER_H_
