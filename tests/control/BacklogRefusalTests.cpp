#include "RelayFixture.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::control;

namespace {

// The account's jobs of priority 0, which is that of the fixture's queue.
const scheduler::JobGroup kGroup{ AccountId("account"), "", true };

} // namespace

// Guards against a refusal that holds for other accounts, or leaves something in the store.
Test(BacklogRefusal, holds_for_the_closed_group_alone)
{
  RelayFixture f;
  f.Node(0).mClosed = { kGroup };
  const auto refused = f.Call(0, http::Method::Post);
  cr_assert_eq(refused.mStatus, 429);
  cr_assert_eq(refused.mHeaders.Get("Retry-After"), std::to_string(kBacklogRetryAfterSeconds));
  cr_assert_eq(f.Records(), 0);
  cr_assert_eq(f.Node(0).mRefused.at("backlog_full"), 1);
  cr_assert_eq(f.Call(0, http::Method::Post, "other").mStatus, 200);
  f.Node(0).mClosed.clear();
  cr_assert_eq(f.Call(0, http::Method::Post).mStatus, 200);
}

// Guards against "never runs" for a job that an earlier attempt has stored.
Test(BacklogRefusal, accepts_again_what_was_stored_before)
{
  RelayFixture f;
  cr_assert_eq(f.Call(1, http::Method::Post).mStatus, 200);
  f.Node(0).mClosed = { kGroup };
  cr_assert_eq(f.Call(0, http::Method::Post).mStatus, 200);
  cr_assert_eq(f.Call(0, http::Method::Delete).mStatus, 200);
}

// Guards against a flood of refused submissions that takes the store's calls from others. An answer
// without a look-up promises nothing.
Test(BacklogRefusal, looks_up_a_limited_number_of_jobs_a_second)
{
  RelayFixture f;
  f.Node(0).mClosed = { kGroup };
  int unchecked = 0;
  while (unchecked == 0) {
    const auto status = f.Call(0, http::Method::Post).mStatus;
    cr_assert(status == 429 || status == 504);
    unchecked += status == 504 ? 1 : 0;
  }
  cr_assert_eq(f.Records(), 0);
  cr_assert_geq(f.Node(0).mRefused.at("backlog_full"), kMaxRefusalChecks);
}

// Guards against "never runs" for a job that may be stored, because it could not be looked up.
Test(BacklogRefusal, promises_nothing_if_the_job_can_not_be_looked_up)
{
  RelayFixture f;
  cr_assert_eq(f.Call(1, http::Method::Post).mStatus, 200);
  f.Node(0).mClosed = { kGroup };
  f.Node(0).mStore.mError = kv::KvError::Unavailable;
  cr_assert_eq(f.Call(0, http::Method::Post).mStatus, 504);
}
