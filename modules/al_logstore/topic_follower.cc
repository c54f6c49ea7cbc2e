#include "al_logstore/topic_follower.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "platform/log_codec.h"

namespace auburnloft {

namespace {

/** Timeout of a reply, in addition to the requested wait. It tolerates replies
   that take fifty times their usual time. */
constexpr Duration kReplyTimeout = std::chrono::milliseconds(1'000);

/** Exponential back-off after a failed call. */
constexpr Duration kMinBackOff = std::chrono::milliseconds(150);
constexpr Duration kMaxBackOff = std::chrono::milliseconds(600);

}  // namespace

TopicFollower::TopicFollower(SocketPoller& poller,
                             std::string address,
                             LogEra& era,
                             Settings settings,
                             Callbacks callbacks)
    : caller(poller, std::move(address)),
      era(era),
      settings(std::move(settings)),
      callbacks(std::move(callbacks)),
      timer(std::make_unique<LoopTimer>(poller.loop(),
                                        [this] { this->Step(); })) {}

TopicFollower::~TopicFollower() = default;

auto TopicFollower::Start() -> void {
  this->Step();
}

auto TopicFollower::ReadNow() -> void {
  if (this->caller.is_busy()) {
    this->reads_again = true;
  } else if (this->failures == 0) {
    this->timer->Stop();
    this->Step();
  }
}

//==============================================================================

auto TopicFollower::Step() -> void {
  if (this->listing) {
    this->CallNewest();
  } else {
    this->CallRead();
  }
}

auto TopicFollower::CallNewest() -> void {
  this->caller.Call(
      platform::MakeNewestCall(this->settings.topic, this->list_after),
      kReplyTimeout, [this](const std::optional<Http1Client::Reply>& reply) {
        this->OnNewest(reply);
      });
}

auto TopicFollower::CallRead() -> void {
  this->reads_again = false;
  this->caller.Call(
      platform::MakeReadCall(this->settings.topic, this->next_offset,
                             this->settings.wait),
      this->settings.wait + kReplyTimeout,
      [this](const std::optional<Http1Client::Reply>& reply) {
        this->OnRead(reply);
      });
}

auto TopicFollower::IsOfCurrentEra(const Http1Client::Reply& reply) -> bool {
  if (!this->era.Observe(platform::ReadLogEra(reply.fields))) {
    this->OnCallFailed();
    return false;
  }
  const auto before = std::exchange(this->position_era, this->era.current());
  if (!before || before == this->position_era) {
    return true;
  }
  this->failures = 0;
  this->callbacks.on_contact(true);
  this->StartOver();
  return false;
}

auto TopicFollower::StartOver() -> void {
  this->listing = true;
  this->list_after.clear();
  if (this->callbacks.on_history_lost) {
    this->callbacks.on_history_lost();
  }
  this->Continue(Duration(0));
}

auto TopicFollower::OnNewest(const std::optional<Http1Client::Reply>& reply)
    -> void {
  if (reply && !this->IsOfCurrentEra(*reply)) {
    return;
  }
  const auto page = reply
                        ? platform::ParseNewestReply(reply->status, reply->body)
                        : std::nullopt;
  if (!page) {
    this->OnCallFailed();
    return;
  }
  this->failures = 0;
  this->callbacks.on_contact(true);
  if (this->list_after.empty()) {
    // Pages are not a snapshot: changes made while listing are read from the
    // offset of the first page.
    this->list_end = page->end_offset;
    this->list_keys.clear();
  }
  for (const gateway::KeyedRecord& record : page->records) {
    this->list_keys.insert(record.key);
    this->callbacks.on_record(record);
  }
  if (page->more_after) {
    this->list_after = *page->more_after;
    this->Step();
    return;
  }
  this->list_after.clear();
  this->listing = false;
  this->next_offset = this->list_end;
  this->callbacks.on_listed(this->list_keys);
  this->Continue(Duration(0));
}

auto TopicFollower::OnRead(const std::optional<Http1Client::Reply>& reply)
    -> void {
  if (reply && !this->IsOfCurrentEra(*reply)) {
    return;
  }
  const auto batch = reply ? platform::ParseReadReply(
                                 reply->status, reply->body, this->next_offset)
                           : std::nullopt;
  if (!batch) {
    this->OnCallFailed();
    return;
  }
  this->failures = 0;
  this->callbacks.on_contact(true);
  if (batch->history_lost) {
    this->StartOver();
    return;
  }
  this->ReportRecords(batch->records);
  this->next_offset = batch->next_offset;
  const bool caught_up = this->next_offset >= batch->end_offset;
  this->Continue(caught_up && !this->reads_again ? this->settings.interval
                                                 : Duration(0));
}

auto TopicFollower::ReportRecords(
    const std::vector<gateway::KeyedRecord>& records) -> void {
  std::map<std::string_view, const gateway::KeyedRecord*> newest;
  if (this->settings.newest_only) {
    for (const gateway::KeyedRecord& record : records) {
      newest[record.key] = &record;
    }
  }
  for (const gateway::KeyedRecord& record : records) {
    if (!this->settings.newest_only || newest[record.key] == &record) {
      this->callbacks.on_record(record);
    }
  }
}

auto TopicFollower::Continue(Duration delay) -> void {
  if (delay.count() == 0) {
    this->Step();
  } else {
    this->timer->Start(delay);
  }
}

auto TopicFollower::OnCallFailed() -> void {
  constexpr int kMaxDoublings = 4;
  const Duration back_off =
      std::min(kMinBackOff * (1 << std::min(this->failures, kMaxDoublings)),
               kMaxBackOff);
  ++this->failures;
  this->callbacks.on_contact(false);
  this->timer->Start(back_off);
}

}  // namespace auburnloft
