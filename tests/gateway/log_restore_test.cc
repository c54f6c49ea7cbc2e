// The log service is restored from an older copy: what routers wrote since is
// gone, and offsets are given out again. What a router read, wrote or was told
// before must not be taken for the restored log's state.
#include <set>

#include "al_gateway/al_gateway.h"
#include "al_http1/http1_client.h"
#include "al_http1/http1_server.h"
#include "al_logstore/al_logstore.h"
#include "fleet.pb.h"
#include "gateway/increase_notifier.h"
#include "gateway/peer_message.h"
#include "support/free_port.h"
#include "support/gateway_fixture.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)
using namespace auburnloft::testing;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string& kAddress = testing::AddressFor("restored-log");

constexpr std::uint64_t kPromptTokens = 1'000;
constexpr const char* kTokens = "1000,20";

auto MakeRecord(bool leaving) -> UpstreamRecord {
  UpstreamRecord record;
  record.id = "u";
  record.service = "s";
  record.address = "127.0.0.1:1";
  record.started_at_ms = 1;
  record.leaving = leaving;
  return record;
}

/** A log service that acknowledges appends as of a given era. */
class AcknowledgingServer {
 public:
  explicit AcknowledgingServer(SocketPoller& poller)
      : server(poller,
               this->limits,
               [this](const std::shared_ptr<Http1ServerSession>& session,
                      const Http1Request& /*request*/) {
                 ++this->calls;
                 Http1ResponseHead head;
                 head.status = 200;
                 head.fields.Add("Store-Era", std::to_string(this->era));
                 session->Respond(head, "{}");
               }) {}

  [[nodiscard]] auto Listen() -> bool { return this->server.Listen(kAddress); }

  int era = 1;
  int calls = 0;

 private:
  Http1SessionLimits limits;
  Http1Server server;
};

}  // namespace

TEST_GROUP(LogRestoreSessions) {
  GatewayFixture fixture;

  /** Sends requests to a router until one is refused.
      @return the prompt tokens of those that were served. */
  auto SpendAt(int router)->std::uint64_t {
    std::uint64_t spent = 0;
    int refused_in_row = 0;
    for (int number = 0; number < 60 && refused_in_row < 4; ++number) {
      GatewayFixture::Call call;
      call.id =
          "r" + std::to_string(router) + "-" + std::to_string(++this->ids);
      call.path = "/draft/";
      call.tokens = kTokens;
      const auto response = this->fixture.SendTo(
          GatewayFixture::AddressOf(router, "clients"), call);
      const bool served = response.status == 200;
      spent += served ? kPromptTokens : 0;
      refused_in_row = served ? 0 : refused_in_row + 1;
      this->fixture.RunFor(milliseconds(served ? 5 : 200));
    }
    return spent;
  }

  /** Sends requests to router 1, one after the other.
      @return the prompt tokens of those that were served. */
  auto Spend(int requests)->std::uint64_t {
    std::uint64_t spent = 0;
    for (int number = 0; number < requests; ++number) {
      GatewayFixture::Call call;
      call.id = "s-" + std::to_string(++this->ids);
      call.path = "/draft/";
      call.tokens = kTokens;
      spent += this->fixture.Send(call).status == 200 ? kPromptTokens : 0;
      this->fixture.RunFor(milliseconds(50));
    }
    return spent;
  }

  int ids = 0;
};

// Guards against a team that gets more than its budget, as a router counts only
// what the restored log says that the others have taken.
TEST(LogRestoreSessions, KeepABudgetThatOthersSpentSince) {
  constexpr std::uint64_t kBudget = 30'000;
  this->fixture.AddRouter(2);
  this->fixture.Publish(1, kBudget);
  this->fixture.RunFor(seconds(1));
  this->fixture.store.Copy();
  std::uint64_t spent = this->SpendAt(2);
  CHECK_TRUE(spent > kBudget / 2);
  this->fixture.store.Restore();
  spent += this->SpendAt(1);
  spent += this->SpendAt(2);
  CHECK_TRUE(spent <= kBudget);
}

// Guards against a team that gets more than its budget, as a router starts with
// a log that has lost all entries and announcements of the others.
TEST(LogRestoreSessions, KeepABudgetFromRoutersThatStartWithAnEmptyLog) {
  constexpr std::uint64_t kBudget = 30'000;
  this->fixture.Publish(1, kBudget);
  this->fixture.RunFor(seconds(1));
  std::uint64_t spent = this->SpendAt(1);
  CHECK_TRUE(spent > kBudget / 2);
  this->fixture.store.Restore();
  this->fixture.AddRouter(2);
  spent += this->SpendAt(2);
  CHECK_TRUE(spent <= kBudget);
}

// Guards against a router that newcomers do not know of until the restore is
// complete, as the log has lost its announcement.
TEST(LogRestoreSessions, AnnounceEachRouterAgainAtOnce) {
  this->fixture.AddRouter(2);
  int announcements = 0;
  TopicFollower::Callbacks callbacks;
  callbacks.on_record = [&](const KeyedRecord& record) {
    announcements += record.key == "r/router-2" ? 1 : 0;
  };
  callbacks.on_listed = [](const std::set<std::string>& /*keys*/) {};
  callbacks.on_contact = [](bool /*answered*/) {};
  LogEra era([](std::optional<std::uint64_t> /*previous*/) {});
  TopicFollower follower(this->fixture.poller, testing::AddressFor("store"),
                         era,
                         {"keyed.fleet", Duration(0), milliseconds(10), false},
                         std::move(callbacks));
  follower.Start();
  this->fixture.RunFor(seconds(2));
  announcements = 0;
  const auto has_announced = [&] { return announcements > 0; };
  // The next regular announcement is then due in a second.
  CHECK_TRUE(this->fixture.loop.RunUntil(has_announced, seconds(2)));
  this->fixture.store.Restore();
  announcements = 0;
  CHECK_TRUE(this->fixture.loop.RunUntil(has_announced, milliseconds(700)));
}

// Guards against a router that starts after a restore and serves an older
// configuration than the others do, as the log has lost the newest one.
TEST(LogRestoreSessions, GiveTheNewestConfigurationToNewRouters) {
  constexpr std::uint64_t kTooSmall = 10;
  constexpr std::uint64_t kBudget = 30'000;
  this->fixture.Publish(1, kTooSmall);
  this->fixture.Publish(2, kBudget);
  this->fixture.store.Restore();
  this->fixture.PutConfig(1, kTooSmall);
  this->fixture.AddRouter(2);
  this->fixture.RunFor(milliseconds(1'500));
  CHECK_TRUE(this->SpendAt(2) > 0);
}

// Guards against an increase that a router confirms and does not keep: the log
// may lose it, and its raiser may have died. An increase of another era must
// not be confirmed, as the two do not mean the same log.
TEST(LogRestoreSessions, CountIncreasesThatTheyConfirm) {
  constexpr std::uint64_t kBudget = 30'000;
  constexpr std::uint64_t kTakenByAnother = 25'000;
  wire::AllowanceIncreases message;
  wire::AllowanceRecord& entry = *message.add_entries();
  entry.set_team("blue");
  entry.set_holder("router-2#1");
  entry.set_taken_tokens(kTakenByAnother);
  entry.set_revision(1);
  const auto send = [&](std::uint64_t era) {
    message.set_log_era(era);
    Http1Client client(this->fixture.poller,
                       GatewayFixture::AddressOf(1, "peers"));
    int status = 0;
    client.Call(
        MakePeerRequest(IncreaseNotifier::kPath, message.SerializeAsString()),
        milliseconds(500), [&](const std::optional<Http1Client::Reply>& reply) {
          status = reply ? reply->status : -1;
        });
    this->fixture.loop.RunUntil([&] { return status != 0; }, seconds(1));
    return status;
  };
  CHECK_EQUAL(503, send(1));
  CHECK_EQUAL(200, send(0));
  this->fixture.Publish(1, kBudget);
  CHECK_TRUE(this->SpendAt(1) <= kBudget - kTakenByAnother);
}

// Guards against a team that gets more than its budget as all routers die
// before one can write again what the log has lost: nobody knows of it.
TEST(LogRestoreSessions, WriteOffWhatRoutersThatAllDiedMayHaveSpent) {
  constexpr std::uint64_t kBudget = 60'000;
  this->fixture.Publish(1, kBudget);
  this->fixture.RunFor(seconds(1));
  std::uint64_t spent = this->Spend(10);
  CHECK_TRUE(spent > 0);
  this->fixture.store.Copy();
  spent += this->Spend(25);
  CHECK_TRUE(spent < kBudget);
  this->fixture.router.reset();
  this->fixture.store.Restore();
  this->fixture.AddRouter(2);
  this->fixture.RunFor(seconds(4));
  const std::uint64_t spent_after = this->SpendAt(2);
  CHECK_TRUE(spent_after > 0);
  CHECK_TRUE(spent + spent_after <= kBudget);
}

TEST_GROUP(LogRestore) {
  EventLoop loop;
  SocketPoller poller{loop};
  LogEra era{[](std::optional<std::uint64_t> /*previous*/) {}};

  auto RunFor(Duration span)->void {
    this->loop.RunUntil([] { return false; }, span);
  }
};

// Guards against records that a follower never gets, as its offset was given
// out again for others.
TEST(LogRestore, FollowersStartOver) {
  standins::StoreServer store(this->poller);
  CHECK_TRUE(store.Listen(kAddress));
  std::set<std::string> keys;
  TopicFollower::Callbacks callbacks;
  callbacks.on_record = [&](const KeyedRecord& record) {
    keys.insert(record.key);
  };
  callbacks.on_listed = [](const std::set<std::string>& /*keys*/) {};
  callbacks.on_contact = [](bool /*answered*/) {};
  TopicFollower follower(this->poller, kAddress, this->era,
                         {"keyed.fleet", Duration(0), milliseconds(100), false},
                         std::move(callbacks));
  follower.Start();
  store.Copy();
  for (const char* const key : {"lost-1", "lost-2", "lost-3"}) {
    store.Put("keyed.fleet", key, "value");
  }
  this->RunFor(milliseconds(300));
  CHECK_EQUAL(3, keys.size());
  store.Restore();
  for (const char* const key : {"new-1", "new-2", "new-3", "new-4"}) {
    store.Put("keyed.fleet", key, "value");
  }
  this->RunFor(milliseconds(400));
  for (const char* const key : {"new-1", "new-2", "new-3", "new-4"}) {
    CHECK_TRUE(keys.contains(key));
  }
}

// Guards against an acknowledgement of the lost log that arrives when the
// process already knows of the restored one.
TEST(LogRestore, ProducersIgnoreAcknowledgementsOfTheLostLog) {
  AcknowledgingServer server(this->poller);
  CHECK_TRUE(server.Listen());
  static_cast<void>(this->era.Observe(2));
  TopicProducer producer(this->poller, kAddress, this->era, "keyed.fleet", "p");
  bool confirmed = false;
  producer.Append({{"key", "value"}}, [&] { confirmed = true; });
  this->RunFor(milliseconds(300));
  CHECK_TRUE(server.calls >= 1);
  CHECK_FALSE(confirmed);
  server.era = 2;
  this->RunFor(milliseconds(1'000));
  CHECK_TRUE(confirmed);
}

// Guards against new work for an upstream that is draining, as the restored log
// has its record from before.
TEST(LogRestore, KeepsADrain) {
  UpstreamDirectory directory([](const UpstreamState&) {});
  directory.Put(MakeRecord(false));
  directory.Put(MakeRecord(true));
  directory.Put(MakeRecord(false));
  const Instant now = FromUnixMillis(1'000'000);
  CHECK_FALSE(directory.UpstreamsOfService("s").front()->is_usable(now));
  directory.Remove("u", now);
  directory.Put(MakeRecord(false));
  CHECK_FALSE(directory.UpstreamsOfService("s").front()->is_usable(now));
  UpstreamRecord restarted = MakeRecord(false);
  restarted.started_at_ms = 2;
  directory.Put(restarted);
  CHECK_TRUE(directory.UpstreamsOfService("s").front()->is_usable(now));
}

// Guards against a drain that is forgotten because many others have begun.
TEST(LogRestore, KeepsTheNewestOfManyDrains) {
  constexpr int kDrains = 2'100;
  UpstreamDirectory directory([](const UpstreamState&) {});
  const Instant now = FromUnixMillis(1'000'000);
  UpstreamRecord record = MakeRecord(true);
  for (int number = 0; number < kDrains; ++number) {
    record.id = "u-" + std::to_string(number);
    directory.Put(record);
    directory.Remove(record.id, now);
  }
  record.leaving = false;
  for (int number = kDrains - 100; number < kDrains; ++number) {
    record.id = "u-" + std::to_string(number);
    directory.Put(record);
  }
  for (const auto& upstream : directory.UpstreamsOfService("s")) {
    CHECK_FALSE(upstream->is_usable(now));
  }
}
