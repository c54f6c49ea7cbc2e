#include "support/fake_log.h"

#include <algorithm>

namespace auburnloft::testing {

namespace {
constexpr std::size_t kMaxRecordsPerRead = 1000;
}  // namespace

auto FakeLog::Delay() -> Duration {
  return std::chrono::milliseconds(3) +
         Duration(static_cast<std::int64_t>(this->random.UniformBelow(4000))) +
         this->faults.extra_delay;
}

auto FakeLog::Store(const StreamId& stream, std::string bytes) -> LogOffset {
  Stream& target = this->streams[stream];
  target.records.push_back(std::move(bytes));
  ++this->append_count;
  this->byte_count += target.records.back().size();
  if (this->on_stored) {
    this->on_stored(stream, target.records.back());
  }
  return target.oldest + target.records.size() - 1;
}

auto FakeLog::Append(const StreamId& stream,
                     const std::string& bytes,
                     OnAppended done,
                     OnFailed failed) -> void {
  const Duration delay = this->Delay();
  if (this->faults.outage) {
    this->queue.After(delay, std::move(failed));
    return;
  }
  if (this->random.Bernoulli(this->faults.late_append_probability)) {
    const Duration append_delay =
        std::chrono::milliseconds(500 + this->random.UniformBelow(8000));
    this->queue.After(append_delay,
                      [this, stream, bytes] { this->Store(stream, bytes); });
    this->queue.After(delay, std::move(failed));
    return;
  }
  const bool is_reply_lost =
      this->random.Bernoulli(this->faults.reply_loss_probability);
  const bool is_repeated =
      this->random.Bernoulli(this->faults.repeat_probability);
  this->queue.After(
      delay / 2, [=, this, done = std::move(done), failed = std::move(failed)] {
        const LogOffset offset = this->Store(stream, bytes);
        if (is_repeated) {
          this->queue.After(
              delay * 3, [this, stream, bytes] { this->Store(stream, bytes); });
        }
        if (is_reply_lost) {
          this->queue.After(delay / 2, failed);
        } else {
          this->queue.After(delay / 2, [done, offset] { done(offset); });
        }
      });
}

auto FakeLog::Read(const StreamId& stream,
                   LogOffset from,
                   OnRecords done,
                   OnFailed failed) -> void {
  const Duration delay = this->Delay();
  if (this->faults.outage) {
    this->queue.After(delay, std::move(failed));
    return;
  }
  this->queue.After(delay / 2, [=, this, done = std::move(done)] {
    const Stream& source = this->streams[stream];
    LogRecords reply;
    reply.oldest = source.oldest;
    reply.next = source.oldest + source.records.size();
    reply.first = std::clamp(from, reply.oldest, reply.next);
    for (LogOffset offset = reply.first;
         offset < reply.next && reply.records.size() < kMaxRecordsPerRead;
         ++offset) {
      reply.records.push_back(source.records[offset - source.oldest]);
    }
    this->queue.After(delay / 2, [done, reply] { done(reply); });
  });
}

auto FakeLog::RetainNewest(std::size_t count) -> void {
  for (auto& [name, stream] : this->streams) {
    if (stream.records.size() > count) {
      const std::size_t drop = stream.records.size() - count;
      stream.records.erase(
          stream.records.begin(),
          stream.records.begin() + static_cast<std::ptrdiff_t>(drop));
      stream.oldest += drop;
    }
  }
}

}  // namespace auburnloft::testing
