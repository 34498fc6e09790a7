#include "base/EventLoop.h"
#include "base/Mailbox.h"

#include <criterion/criterion.h>

#include <array>
#include <cerrno>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace lovagerock;

// Guards against a wake-up that is lost when another thread posts.
Test(EventLoop, runs_calls_posted_from_another_thread_in_order)
{
  EventLoop loop;
  std::string order;
  std::thread thread([&] {
    loop.Post([&] { order += 'a'; });
    loop.Post([&] { order += 'b'; });
    loop.Post([&] { loop.Stop(); });
  });
  loop.Run();
  thread.join();
  cr_assert_eq(order, "ab");
}

// Guards against sockets and timers that are starved by a call that posts itself again.
Test(EventLoop, serves_timers_while_a_call_posts_itself)
{
  EventLoop loop;
  std::function<void()> again = [&] { loop.Post(again); };
  again();
  const auto timer = loop.After(Duration(1), [&] { loop.Stop(); });
  loop.Run();
}

// Guards against a use after free when a timer's callback destroys the timer.
Test(EventLoop, lets_a_timer_destroy_itself)
{
  EventLoop loop;
  Timer timer;
  int calls = 0;
  timer = loop.Every(Duration(1), [&] {
    ++calls;
    timer = Timer();
    loop.Post([&] { loop.Stop(); });
  });
  loop.Run();
  cr_assert_eq(calls, 1);
}

// Guards against a call after the owner of the timer is gone.
Test(EventLoop, does_not_run_a_cancelled_timer)
{
  EventLoop loop;
  bool called = false;
  auto cancelled = loop.After(Duration(1), [&] { called = true; });
  cancelled.Cancel();
  const auto end = loop.After(Duration(20), [&] { loop.Stop(); });
  loop.Run();
  cr_assert_not(called);
}

// Guards against delivery to a task that was destroyed with messages on their way.
Test(Mailbox, drops_messages_after_its_owner_is_gone)
{
  EventLoop loop;
  int received = 0;
  Mailbox<int>::Address address;
  {
    const Mailbox<int> mailbox(loop, [&](int aValue) { received += aValue; });
    address = mailbox.GetAddress();
    address.Send(1);
  }
  address.Send(2);
  loop.Post([&] { loop.Stop(); });
  loop.Run();
  cr_assert_eq(received, 0);
}

// Guards against a process that ends because the other end of a connection was closed.
Test(EventLoop, keeps_the_process_alive_when_a_peer_closes)
{
  const EventLoop loop;
  std::array<int, 2> ends{};
  cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
  close(ends[1]);
  cr_assert_eq(write(ends[0], "x", 1), -1);
  cr_assert_eq(errno, EPIPE);
  close(ends[0]);
}
