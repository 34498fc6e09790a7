#include "control/OrderWindow.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::control;

// Guards against more connections to workers than the process has descriptors for.
Test(OrderWindow, sends_so_many_orders_at_a_time_and_stops_first)
{
  OrderWindow window(2);
  std::vector<std::string> sent;
  const auto order = [&sent](const char* aName, bool aIsSent = true) {
    return [&sent, aName, aIsSent] {
      sent.emplace_back(aName);
      return aIsSent;
    };
  };
  window.AddStart(order("a"));
  window.AddStart(order("b"));
  window.AddStart(order("c", false));
  window.AddStart(order("d"));
  window.AddStop(order("stop"));
  cr_assert_eq(sent.size(), 2);
  window.OnEnded();
  cr_assert_eq(sent.back(), std::string("stop"));
  window.OnEnded();
  // What is out of date takes no place.
  cr_assert_eq(sent.back(), std::string("d"));
  cr_assert_eq(window.InProgress(), 2);
  cr_assert_eq(window.Waiting(), 0);
}
