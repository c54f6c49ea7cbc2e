// The account of memory: which connections are closed for it, and which are
// not.
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "al_http1/descriptor_plan.h"
#include "al_http1/memory_account.h"
#include "support/test_harness.h"

using namespace auburnloft;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::seconds;

constexpr std::size_t kLimit = 1'000'000;

/** A connection with a rank of its own. */
class Holder {
 public:
  Holder(const std::shared_ptr<MemoryAccount>& account,
         MemoryRank rank,
         std::size_t bytes,
         int progress_at_s,
         bool uses_reserve = false)
      : charge(account,
               {uses_reserve, [rank] { return rank; },
                [this] {
                  this->is_closed = true;
                  this->charge.Release();
                }}) {
    this->charge.RecordProgress(Instant() + seconds(progress_at_s));
    this->charge.Set(bytes);
  }

  Holder(const Holder&) = delete;
  auto operator=(const Holder&) -> Holder& = delete;

  bool is_closed = false;
  MemoryCharge charge;
};

}  // namespace

TEST_GROUP(MemoryAccounts) {
  std::shared_ptr<MemoryAccount> account =
      std::make_shared<MemoryAccount>(kLimit);
};

// Guards against a sound request that is closed while one without a route, or
// an older one without progress, could be.
TEST(MemoryAccounts, CloseTheLeastUsefulAndOldestFirst) {
  const Holder older(this->account, MemoryRank::kPending, 300'000, 2);
  const Holder useless(this->account, MemoryRank::kUseless, 100'000, 9);
  const Holder oldest(this->account, MemoryRank::kPending, 300'000, 1);
  const Holder newest(this->account, MemoryRank::kPending, 350'000, 8);
  CHECK_TRUE(this->account->MakeRoom(&newest.charge));
  CHECK_TRUE(useless.is_closed);
  CHECK_TRUE(oldest.is_closed);
  CHECK_FALSE(older.is_closed);
  CHECK_FALSE(newest.is_closed);
  CHECK_EQUAL(2, this->account->counts().closed);
}

// Guards against a request that was sent to an upstream and loses its caller.
TEST(MemoryAccounts, NeverCloseAnOpenRequest) {
  const Holder open(this->account, MemoryRank::kProtected, 900'000, 1);
  const Holder asker(this->account, MemoryRank::kPending, 600'000, 9);
  static_cast<void>(this->account->MakeRoom(&asker.charge));
  CHECK_FALSE(open.is_closed);
  CHECK_TRUE(asker.is_closed);
}

// Guards against connections that are closed though that frees nothing.
TEST(MemoryAccounts, KeepIdleConnections) {
  const Holder idle(this->account, MemoryRank::kPending,
                    MemoryAccount::kConnectionBytes + 2'000, 1);
  const Holder large(this->account, MemoryRank::kPending, 800'000, 3);
  const Holder larger(this->account, MemoryRank::kPending, 900'000, 2);
  static_cast<void>(this->account->MakeRoom(&large.charge));
  CHECK_FALSE(idle.is_closed);
  CHECK_TRUE(larger.is_closed);
}

// Guards against a request of a legal size that is refused in calm, as it is
// larger than the account.
TEST(MemoryAccounts, LetOneLargeRequestBe) {
  const Holder small(this->account, MemoryRank::kProtected, 10'000, 1);
  const Holder large(this->account, MemoryRank::kPending, 2 * kLimit, 1);
  CHECK_TRUE(this->account->MakeRoom(&large.charge));
  CHECK_FALSE(large.is_closed);
}

// Guards against a router that callers have filled with requests and that no
// longer answers the platform and other routers.
TEST(MemoryAccounts, HaveAReserve) {
  const Holder open(this->account, MemoryRank::kProtected, kLimit, 1);
  const Holder platform(this->account, MemoryRank::kPending, 5'000, 9, true);
  CHECK_TRUE(this->account->MakeRoom(&platform.charge));
  const Holder more(this->account, MemoryRank::kProtected, kLimit / 8, 1);
  CHECK_FALSE(this->account->MakeRoom(&platform.charge));
}

// Guards against large bodies that together leave no memory for small ones.
TEST(MemoryAccounts, HaveAShareForLargeBodies) {
  Holder first(this->account, MemoryRank::kPending, 0, 1);
  Holder second(this->account, MemoryRank::kPending, 0, 1);
  CHECK_TRUE(first.charge.SetLargeBody(kLimit));
  CHECK_FALSE(second.charge.SetLargeBody(100'000));
  CHECK_TRUE(first.charge.SetLargeBody(300'000));
  CHECK_TRUE(second.charge.SetLargeBody(200'000));
  CHECK_FALSE(second.charge.SetLargeBody(200'001));
  first.charge.Release();
  CHECK_TRUE(second.charge.SetLargeBody(400'000));
}

// Guards against memory that stays counted after its connection has ended.
TEST(MemoryAccounts, ReturnEverything) {
  {
    Holder holder(this->account, MemoryRank::kPending, 5'000, 1);
    CHECK_TRUE(holder.charge.SetLargeBody(4'000));
    CHECK_EQUAL(5'000, this->account->used());
  }
  CHECK_EQUAL(0, this->account->used());
  CHECK_EQUAL(0, this->account->large_bodies());
  CHECK_EQUAL(5'000, this->account->peak());
}

// Guards against connections of callers that leave no descriptors for
// upstreams, or no memory for requests.
TEST(MemoryAccounts, PlanDescriptors) {
  for (const std::size_t descriptors : {200U, 1'024U, 3'075U, 10'250U}) {
    const std::size_t memory = MemoryAccount::ForVm(0)->limit();
    const DescriptorPlan plan(descriptors, memory);
    const std::size_t all = plan.clients() + plan.entry() + plan.readiness() +
                            plan.peers() + plan.metrics();
    CHECK_TRUE(all <= descriptors * 13 / 16);
    CHECK_TRUE(all * MemoryAccount::kConnectionBytes <= memory / 2);
    CHECK_TRUE(plan.readiness() >= 4);
  }
}
