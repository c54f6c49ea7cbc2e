#include "store/store_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "al_core/text/base64.h"
#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "common/query.h"
#include "platform/wire_names.h"

namespace auburnloft::standins {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kOffsetBytes = 8;
constexpr unsigned int kByteBits = 8;

auto PutBigEndian(std::string& bytes, std::uint64_t value, std::size_t width)
    -> void {
  for (std::size_t i = width; i > 0; --i) {
    bytes.push_back(static_cast<char>(value >> (kByteBits * (i - 1))));
  }
}

auto ParseRecords(std::string_view body) -> std::vector<KeyedLog::Record> {
  std::vector<KeyedLog::Record> records;
  while (body.size() > kLengthBytes) {
    std::size_t length = 0;
    for (const char byte : body.substr(0, kLengthBytes)) {
      length = (length << kByteBits) | static_cast<unsigned char>(byte);
    }
    const std::string_view content = body.substr(kLengthBytes, length);
    const std::size_t key = static_cast<unsigned char>(content.front());
    KeyedLog::Record record{std::string(content.substr(1, key)), std::nullopt};
    if (content.size() > 1 + key) {
      record.value = std::string(content.substr(1 + key));
    }
    records.push_back(std::move(record));
    body.remove_prefix(kLengthBytes + length);
  }
  return records;
}

}  // namespace

/** A long-poll read that waits for a new record. */
struct StoreServer::WaitingRead {
  Session session;
  std::string topic;
  std::uint64_t offset = 0;
  std::unique_ptr<LoopTimer> timer;
};

StoreServer::StoreServer(SocketPoller& poller)
    : poller(poller),
      server(poller,
             this->limits,
             [this](const Session& session, const Http1Request& request) {
               this->OnRequest(session, request);
             }) {}

StoreServer::~StoreServer() = default;

//==============================================================================
// Commands

auto StoreServer::Listen(std::string_view address) -> bool {
  return this->server.Listen(address);
}

auto StoreServer::Put(const std::string& topic,
                      const std::string& key,
                      std::optional<std::string> value) -> void {
  this->log.Append(topic, {}, {{key, std::move(value)}});
  this->CompleteWaitingReads(topic);
}

auto StoreServer::Restore() -> void {
  const KeyedLog lost = std::exchange(this->log, this->copy);
  ++this->era;
  for (const std::string_view topic :
       {platform::kOperatorTopic, platform::kUpstreamTopic}) {
    for (const KeyedLog::Record& record : lost.Newest(std::string(topic))) {
      this->log.Append(std::string(topic), {}, {record});
    }
  }
  for (const auto& read : std::exchange(this->waiting_reads, {})) {
    read->session->Abort();
  }
}

//==============================================================================

auto StoreServer::OnRequest(const Session& session, const Http1Request& request)
    -> void {
  ++this->call_count;
  const std::string_view path =
      std::string_view(request.target).substr(0, request.target.find('?'));
  if (path == "/faults") {
    this->OnFaults(session, request);
  } else if (path == "/record") {
    this->OnPut(session, request);
  } else if (this->fault == Fault::kSilent) {
    return;
  } else if (this->fault == Fault::kBusy) {
    this->Respond(session, 503, {});
  } else if (path == platform::kAppendPath) {
    this->OnAppend(session, request);
  } else if (path == platform::kReadPath) {
    this->OnRead(session, request);
  } else if (path == platform::kNewestPath) {
    this->OnNewest(session, request);
  } else {
    this->Respond(session, 404, {});
  }
}

auto StoreServer::OnAppend(const Session& session, const Http1Request& request)
    -> void {
  const Query query(request.target);
  const std::string topic = query.Text("Topic");
  const KeyedLog::AppendResult appended = this->log.Append(
      topic,
      {query.Text("Producer"), query.Number("epoch"), query.Number("Sequence")},
      ParseRecords(request.body));
  this->CompleteWaitingReads(topic);
  if (this->fault == Fault::kLost) {
    session->Abort();
    return;
  }
  nlohmann::json body;
  body["EndOffset"] = appended.end;
  if (!appended.accepted) {
    body["Reason"] = appended.is_fenced ? "fenced" : "seq";
    body["Sequence"] = appended.expected_sequence;
  }
  this->Respond(session, appended.accepted ? 200 : 409, body.dump());
}

auto StoreServer::OnRead(const Session& session, const Http1Request& request)
    -> void {
  const Query query(request.target);
  const std::string topic = query.Text("Topic");
  const std::uint64_t offset = query.Number("From");
  const auto wait = std::chrono::milliseconds(query.Number("WaitMs"));
  if (offset < this->log.FirstOffset(topic) ||
      offset > this->log.EndOffset(topic)) {
    this->Respond(session, 410, {});
    return;
  }
  if (offset < this->log.EndOffset(topic) || wait.count() == 0) {
    this->RespondToRead(session, topic, offset);
    return;
  }
  auto read = std::make_unique<WaitingRead>();
  read->session = session;
  read->topic = topic;
  read->offset = offset;
  const auto remove_read = [this, waiting_read = read.get()] {
    std::erase_if(this->waiting_reads, [waiting_read](const auto& item) {
      return item.get() == waiting_read;
    });
  };
  read->timer = std::make_unique<LoopTimer>(
      this->poller.loop(), [this, remove_read, waiting_read = read.get()] {
        const Session reader = waiting_read->session;
        const std::string topic = waiting_read->topic;
        const std::uint64_t offset = waiting_read->offset;
        remove_read();
        this->RespondToRead(reader, topic, offset);
      });
  read->timer->Start(wait);
  session->SetExchangeCallbacks({remove_read, {}});
  this->waiting_reads.push_back(std::move(read));
}

auto StoreServer::OnNewest(const Session& session, const Http1Request& request)
    -> void {
  const std::string topic = Query(request.target).Text("Topic");
  nlohmann::json body;
  body["Entries"] = nlohmann::json::array();
  for (const KeyedLog::Record& record : this->log.Newest(topic)) {
    body["Entries"].push_back(
        {{"Key", record.key}, {"Value", ToBase64(*record.value)}});
  }
  body["More"] = false;
  body["EndOffset"] = this->log.EndOffset(topic);
  // A key may be any bytes.
  this->Respond(
      session, 200,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

auto StoreServer::OnPut(const Session& session, const Http1Request& request)
    -> void {
  const Query query(request.target);
  this->Put(query.Text("Topic"), query.Text("Key"),
            request.body.empty() ? std::nullopt : std::optional(request.body));
  this->Respond(session, 200, {});
}

auto StoreServer::OnFaults(const Session& session, const Http1Request& request)
    -> void {
  const std::string& word = request.body;
  if (word == "copy") {
    this->Copy();
  } else if (word == "restore") {
    this->Restore();
  }
  this->fault = word == "silent" ? Fault::kSilent
                : word == "busy" ? Fault::kBusy
                : word == "lost" ? Fault::kLost
                                 : Fault::kNone;
  this->Respond(session, 200, {});
}

auto StoreServer::Respond(const Session& session,
                          int status,
                          std::string_view body) const -> void {
  Http1ResponseHead head;
  head.status = status;
  head.reason = "Answer";
  head.fields.Add(platform::kLogEraHeader, std::to_string(this->era));
  session->Respond(head, body);
}

auto StoreServer::RespondToRead(const Session& session,
                                const std::string& topic,
                                std::uint64_t offset) -> void {
  if (!session->is_serving()) {
    return;
  }
  std::string body;
  PutBigEndian(body, this->log.EndOffset(topic), kOffsetBytes);
  PutBigEndian(body, this->log.FirstOffset(topic), kOffsetBytes);
  for (const KeyedLog::Record& record : this->log.ReadFrom(topic, offset)) {
    const std::string value = record.value.value_or("");
    PutBigEndian(body, 1 + record.key.size() + value.size(), kLengthBytes);
    PutBigEndian(body, record.key.size(), 1);
    body.append(record.key).append(value);
  }
  this->bytes_read[topic] += body.size();
  this->Respond(session, 200, body);
}

auto StoreServer::CompleteWaitingReads(const std::string& topic) -> void {
  std::list<std::unique_ptr<WaitingRead>> completed_reads;
  for (auto item = this->waiting_reads.begin();
       item != this->waiting_reads.end();) {
    const auto next = std::next(item);
    if ((*item)->topic == topic && this->fault == Fault::kNone) {
      completed_reads.splice(completed_reads.end(), this->waiting_reads, item);
    }
    item = next;
  }
  for (const auto& read : completed_reads) {
    this->RespondToRead(read->session, read->topic, read->offset);
  }
}

}  // namespace auburnloft::standins
