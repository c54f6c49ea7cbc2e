// Reading the platform's log service when replies are long or records many.
#include <memory>

#include "al_edge/loop/event_loop.h"
#include "al_edge/loop/loop_timer.h"
#include "al_http1/http1_client.h"
#include "al_http1/http1_server.h"
#include "al_logstore/topic_follower.h"
#include "store/store_server.h"
#include "support/free_port.h"
#include "support/raw_upstream.h"
#include "support/test_harness.h"

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string& kAddress = testing::AddressFor("log");

/** Responds with one piece every 40 ms, like a long response over a busy
   link. */
class SlowServer {
 public:
  SlowServer(SocketPoller& poller, int pieces)
      : pieces_left(pieces),
        timer(poller.loop(), [this] { this->SendPiece(); }),
        server(poller,
               this->limits,
               [this](std::shared_ptr<Http1ServerSession> opened,
                      const Http1Request& /*request*/) {
                 this->session = std::move(opened);
                 Http1ResponseHead head;
                 head.status = 200;
                 this->session->StartResponse(head);
                 this->SendPiece();
               }) {}

  [[nodiscard]] auto Listen() -> bool { return this->server.Listen(kAddress); }

 private:
  auto SendPiece() -> void {
    if (this->pieces_left-- == 0) {
      this->session->FinishResponse();
      return;
    }
    this->session->Send("piece ");
    this->timer.Start(milliseconds(40));
  }

  int pieces_left;
  Http1SessionLimits limits;
  std::shared_ptr<Http1ServerSession> session;
  LoopTimer timer;
  Http1Server server;
};

}  // namespace

TEST_GROUP(LogReading) {
  EventLoop loop;
  SocketPoller poller{loop};

  auto Call(Duration limit)->std::optional<Http1Client::Reply> {
    Http1Client caller(this->poller, kAddress);
    std::optional<Http1Client::Reply> result;
    bool done = false;
    Http1Request request;
    request.method = "GET";
    request.target = "/";
    caller.Call(request, limit,
                [&](const std::optional<Http1Client::Reply>& reply) {
                  result = reply;
                  done = true;
                });
    this->loop.RunUntil([&] { return done; }, seconds(10));
    return result;
  }
};

TEST(LogReading, WaitsForALongReplyWhileItsBytesArrive) {
  SlowServer server(this->poller, 12);
  CHECK_TRUE(server.Listen());
  const auto reply = this->Call(milliseconds(200));
  CHECK_TRUE(reply.has_value());
  constexpr std::size_t kPieces = 12;
  CHECK_EQUAL(kPieces * std::string_view("piece ").size(), reply->body.size());
}

TEST(LogReading, TimesOutASilentReply) {
  SlowServer server(this->poller, 3);
  CHECK_TRUE(server.Listen());
  CHECK_FALSE(this->Call(milliseconds(15)).has_value());
}

// Guards against a reply without end, of the log or of another router: its
// bytes keep arriving, so that the call never times out, and all are kept.
TEST(LogReading, GivesUpAReplyWithoutEnd) {
  testing::RawUpstream server(this->poller, "log");
  server.SetScript([&](const testing::RawUpstream::Arrival& arrival) {
    server.SendWithoutEnd(arrival, testing::RawUpstream::Head("a", ""),
                          "1234567890");
  });
  Http1Client caller(this->poller, server.listen_address());
  std::optional<bool> has_reply;
  Http1Request request;
  request.method = "GET";
  request.target = "/";
  caller.Call(request, milliseconds(200),
              [&](const std::optional<Http1Client::Reply>& reply) {
                has_reply = reply.has_value();
              });
  this->loop.RunUntil([&] { return has_reply.has_value(); }, seconds(5));
  CHECK_TRUE(has_reply.has_value());
  CHECK_FALSE(*has_reply);
  CHECK_TRUE(server.sent_bytes() < std::size_t{8} << 20);
}

/** Load pattern: configurations in quick succession, each with many routes. A
   follower that processed each of them would fall behind. */
TEST(LogReading, DeliversOnlyTheNewestOfRecordsThatReplaceEachOther) {
  standins::StoreServer store(this->poller);
  CHECK_TRUE(store.Listen(kAddress));
  std::vector<std::string> delivered;
  TopicFollower::Callbacks callbacks;
  callbacks.on_record = [&](const gateway::KeyedRecord& record) {
    delivered.push_back(record.key + "=" + record.value.value_or("none"));
  };
  callbacks.on_listed = [](const std::set<std::string>& /*keys*/) {};
  callbacks.on_contact = [](bool /*answered*/) {};
  LogEra era([](std::optional<std::uint64_t> /*previous*/) {});
  TopicFollower follower(this->poller, kAddress, era,
                         {"keyed.storm", Duration(0), milliseconds(100), true},
                         std::move(callbacks));
  follower.Start();
  this->loop.RunUntil([] { return false; }, milliseconds(50));
  for (int version = 1; version <= 5; ++version) {
    store.Put("keyed.storm", "config", std::to_string(version));
    store.Put("keyed.storm", "other", std::to_string(version));
  }
  store.Put("keyed.storm", "config", std::nullopt);
  this->loop.RunUntil([] { return false; }, milliseconds(300));
  CHECK_EQUAL(2U, delivered.size());
  STRCMP_EQUAL("other=5", delivered[0].c_str());
  STRCMP_EQUAL("config=none", delivered[1].c_str());
}
