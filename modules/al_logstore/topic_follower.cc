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

/** How long an answer may take beyond what it was asked to wait: slow answers
   of the log, fifty times the usual, still count. */
constexpr Duration kAnswerLimit = std::chrono::milliseconds(1'000);

/** Pause after a failed call, doubled up to the most. */
constexpr Duration kFirstPause = std::chrono::milliseconds(150);
constexpr Duration kMostPause = std::chrono::milliseconds(600);

}  // namespace

TopicFollower::TopicFollower(SocketPoller& poller,
                             std::string address,
                             Settings settings,
                             Callbacks callbacks)
    : caller(poller, std::move(address)),
      settings(std::move(settings)),
      calls(std::move(callbacks)),
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
      kAnswerLimit, [this](const std::optional<Http1Client::Reply>& reply) {
        this->OnNewest(reply);
      });
}

auto TopicFollower::CallRead() -> void {
  this->reads_again = false;
  this->caller.Call(
      platform::MakeReadCall(this->settings.topic, this->next_offset,
                             this->settings.wait),
      this->settings.wait + kAnswerLimit,
      [this](const std::optional<Http1Client::Reply>& reply) {
        this->OnRead(reply);
      });
}

auto TopicFollower::OnNewest(const std::optional<Http1Client::Reply>& reply)
    -> void {
  const auto page = reply
                        ? platform::ReadNewestReply(reply->status, reply->body)
                        : std::nullopt;
  if (!page) {
    this->Failed();
    return;
  }
  this->failures = 0;
  this->calls.on_contact(true);
  if (this->list_after.empty()) {
    // Pages are no snapshot: what changes between them is read from here on.
    this->list_end = page->end_offset;
    this->list_keys.clear();
  }
  for (const gateway::KeyedRecord& record : page->records) {
    this->list_keys.insert(record.key);
    this->calls.on_record(record);
  }
  if (page->more_after) {
    this->list_after = *page->more_after;
    this->Step();
    return;
  }
  this->list_after.clear();
  this->listing = false;
  this->next_offset = this->list_end;
  this->calls.on_listed(this->list_keys);
  this->Continue(Duration(0));
}

auto TopicFollower::OnRead(const std::optional<Http1Client::Reply>& reply)
    -> void {
  const auto batch = reply ? platform::ReadReadReply(reply->status, reply->body,
                                                     this->next_offset)
                           : std::nullopt;
  if (!batch) {
    this->Failed();
    return;
  }
  this->failures = 0;
  this->calls.on_contact(true);
  if (batch->history_lost) {
    this->listing = true;
    if (this->calls.on_history_lost) {
      this->calls.on_history_lost();
    }
    this->Continue(Duration(0));
    return;
  }
  this->TellBatch(batch->records);
  this->next_offset = batch->next_offset;
  const bool caught_up = this->next_offset >= batch->end_offset;
  this->Continue(caught_up && !this->reads_again ? this->settings.interval
                                                 : Duration(0));
}

auto TopicFollower::TellBatch(const std::vector<gateway::KeyedRecord>& records)
    -> void {
  std::map<std::string_view, const gateway::KeyedRecord*> newest;
  if (this->settings.newest_only) {
    for (const gateway::KeyedRecord& record : records) {
      newest[record.key] = &record;
    }
  }
  for (const gateway::KeyedRecord& record : records) {
    if (!this->settings.newest_only || newest[record.key] == &record) {
      this->calls.on_record(record);
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

auto TopicFollower::Failed() -> void {
  constexpr int kMostDoublings = 4;
  const Duration pause =
      std::min(kFirstPause * (1 << std::min(this->failures, kMostDoublings)),
               kMostPause);
  ++this->failures;
  this->calls.on_contact(false);
  this->timer->Start(pause);
}

}  // namespace auburnloft
