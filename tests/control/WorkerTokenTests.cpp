#include "control/WorkerTokens.h"

#include <criterion/criterion.h>

#include <string>

using namespace lovagerock;
using namespace lovagerock::control;

namespace {

WorkerId
Id(int aNumber)
{
  return WorkerId("w" + std::to_string(aNumber));
}

} // namespace

Test(WorkerTokens, are_that_of_the_leadership_until_they_are_raised)
{
  WorkerTokens tokens(FencingToken(5));
  cr_assert_eq(tokens.OrderToken(Id(0)), FencingToken(5));
  cr_assert_eq(tokens.Highest(Id(0)), FencingToken(5));
  tokens.OnCall(Id(0), FencingToken(7));
  cr_assert_eq(tokens.OrderToken(Id(0)), FencingToken(5));
  cr_assert_eq(tokens.Highest(Id(0)), FencingToken(7));
  tokens.RaiseFor(Id(0), scheduler::WorkerIncarnation(1), FencingToken(8));
  cr_assert_eq(tokens.OrderToken(Id(0)), FencingToken(8));
  cr_assert(tokens.IsRaisedFor(Id(0), scheduler::WorkerIncarnation(1)));
  cr_assert_not(tokens.IsRaisedFor(Id(0), scheduler::WorkerIncarnation(2)));
}

// Guards against a worker that never gets a higher token because its incarnation isn't known.
Test(WorkerTokens, are_not_raised_for_an_unknown_incarnation_before_a_record_is_stored)
{
  WorkerTokens tokens(FencingToken(5));
  cr_assert_not(tokens.IsRaisedFor(Id(0), scheduler::WorkerIncarnation()));
  tokens.Raise(Id(0), FencingToken(6));
  cr_assert_not(tokens.IsRaisedFor(Id(0), scheduler::WorkerIncarnation()));
}

// Guards against tokens of gone workers that are kept without end, and against a worker that comes
// back and obeys an order whose token was forgotten.
Test(WorkerTokens, of_gone_workers_are_forgotten_together)
{
  constexpr std::size_t kMost = 10;
  scheduler::Fleet fleet;
  fleet[Id(0)];
  WorkerTokens tokens(FencingToken(5));
  tokens.Raise(Id(0), FencingToken(6));
  for (int i = 1; i <= static_cast<int>(kMost); ++i) {
    tokens.OnCall(Id(i), FencingToken(10 + i));
  }
  tokens.Prune(fleet, kMost);
  cr_assert_eq(tokens.Highest(Id(1)), FencingToken(11), "within the limit");
  tokens.Raise(Id(99), FencingToken(30));
  tokens.Prune(fleet, kMost);
  cr_assert_eq(tokens.Highest(Id(0)), FencingToken(6));
  cr_assert_eq(tokens.OrderToken(Id(0)), FencingToken(6));
  cr_assert_eq(tokens.Highest(Id(1)), FencingToken(30));
  cr_assert_eq(tokens.OrderToken(Id(99)), FencingToken(5));
}
