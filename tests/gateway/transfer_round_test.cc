// Requests for tokens between routers: whom to ask for how much, on links and
// with routers that reply late or not at all.
#include "al_gateway/prepaid/transfer_round.h"
#include "support/test_harness.h"

using namespace auburnloft;           // NOLINT(google-build-using-namespace)
using namespace auburnloft::gateway;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

constexpr Duration kFastReplies = milliseconds(2);

auto MakePeers(std::uint64_t unspent) -> std::vector<TransferRound::Peer> {
  std::vector<TransferRound::Peer> peers;
  for (const char* const name : {"a", "b", "c", "d", "e", "f"}) {
    peers.push_back({name, std::string(name) + ":1", unspent});
  }
  return peers;
}

}  // namespace

TEST_GROUP(TransferRound) {
  TransferRound round;
  Instant now = FromUnixMillis(10'000);
};

// Load: a request that needs more than one holder has left. Guards against
// holders that are asked one after the other while the request's time runs out.
TEST(TransferRound, AsksSeveralAtOnceIfTheFirstCannotCover) {
  this->round.SetPeers(MakePeers(600));
  const auto asks = this->round.Plan(1'000, kFastReplies, this->now);
  CHECK_EQUAL(2, asks.size());
  CHECK_EQUAL(600, asks[0].tokens);
  CHECK_EQUAL(400, asks[1].tokens);
  CHECK_TRUE(asks[0].peer.incarnation != asks[1].peer.incarnation);
}

// Load: requests of a team arrive while a reply is on its way. Guards against
// requests for tokens that were requested already: one for each request.
TEST(TransferRound, AsksOnlyForTheDifferenceWhileAReplyIsPending) {
  this->round.SetPeers(MakePeers(100'000));
  const auto first = this->round.Plan(1'000, kFastReplies, this->now);
  CHECK_EQUAL(1, first.size());
  CHECK_TRUE(this->round.Plan(1'000, kFastReplies, this->now).empty());
  const auto more = this->round.Plan(1'300, kFastReplies, this->now);
  CHECK_EQUAL(1, more.size());
  CHECK_EQUAL(300, more.front().tokens);
  CHECK_EQUAL(1'300, this->round.expected_tokens());
  CHECK_TRUE(this->round.OnEnd(first.front().number, this->now).has_value());
  CHECK_EQUAL(300, this->round.expected_tokens());
}

// Load: holders of one failure domain have died. Guards against requests that
// wait for their replies while other holders have tokens.
TEST(TransferRound, AsksOthersInPlaceOfThoseThatDoNotReply) {
  this->round.SetPeers(MakePeers(100'000));
  CHECK_EQUAL(1, this->round.Plan(1'000, kFastReplies, this->now).size());
  for (int i = 0; i < 3; ++i) {
    CHECK_TRUE(this->round.Plan(1'000, kFastReplies, this->now).empty());
    this->now = this->round.NextCheckAt().value();
    CHECK_EQUAL(1, this->round.Plan(1'000, kFastReplies, this->now).size());
  }
  CHECK_TRUE(this->now <= FromUnixMillis(10'000) + milliseconds(45));
}

// Load: a router whose own link is busy, so that all replies arrive up to 500
// ms late. Guards against eight requests for the same tokens, which make the
// link busier, and against forgetting a request whose reply is on its way.
TEST(TransferRound, AsksFewInPlaceOfLateRepliesOnABusyLink) {
  this->round.SetPeers(MakePeers(100'000));
  auto asks = this->round.Plan(1'000, milliseconds(200), this->now);
  const std::uint64_t first = asks.front().number;
  std::size_t sent = asks.size();
  for (int elapsed = 0; elapsed < 390; elapsed += 10) {
    this->now += milliseconds(10);
    sent += this->round.Plan(1'000, milliseconds(200), this->now).size();
  }
  CHECK_EQUAL(1, sent);
  this->now += milliseconds(110);
  CHECK_TRUE(milliseconds(500) == this->round.OnEnd(first, this->now).value());
  // Where the usual time is not known yet, few are asked, too.
  TransferRound unaware;
  unaware.SetPeers(MakePeers(100'000));
  sent = 0;
  for (int elapsed = 0; elapsed < 500; elapsed += 10) {
    sent += unaware.Plan(1'000, kFastReplies, this->now).size();
    this->now += milliseconds(10);
  }
  CHECK_EQUAL(4, sent);
}

// Load: a cut in which nobody replies. Guards against a router that is not
// asked again after the cut, as its reply is still pending.
TEST(TransferRound, AsksARouterAgainAfterItsReplyIsLongOverdue) {
  this->round.SetPeers(MakePeers(100'000));
  const auto asks = this->round.Plan(1'000, kFastReplies, this->now);
  const std::string asked = asks.front().peer.incarnation;
  CHECK_TRUE(this->round.IsPending(asked, this->now - milliseconds(1'000)));
  this->now += milliseconds(1'500);
  CHECK_FALSE(this->round.IsPending(asked, this->now - milliseconds(1'000)));
}
