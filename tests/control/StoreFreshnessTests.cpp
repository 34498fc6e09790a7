#include "control/StoreFreshness.h"

#include <criterion/criterion.h>

using namespace lovagerock;
using namespace lovagerock::control;

// Guards against refusing requests while the store has no changes and so answers each watch only
// after its wait.
Test(StoreFreshness, is_reachable_between_watch_answers_without_events)
{
  StoreFreshness contact;
  const Duration answer(10);
  contact.OnAnswer(Duration(0), kWatchWait + answer);
  const auto next = 2 * (kWatchWait + answer);
  cr_assert(contact.IsReachable(next - Duration(1)));
  cr_assert_eq(contact.Age(next), next);
}

Test(StoreFreshness, is_not_reachable_without_an_answer)
{
  StoreFreshness contact;
  cr_assert_not(contact.IsReachable(Duration(5000)));
  contact.OnAnswer(Duration(5000), Duration(6000));
  cr_assert_not(contact.IsReachable(Duration(8000)));
}
