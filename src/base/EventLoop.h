#pragma once

#include "base/Units.h"

#include <functional>
#include <memory>

struct event_base;

namespace lovagerock {

namespace detail {
struct EventLoopState;
struct TimerState;
} // namespace detail

// A pending one-shot or repeating call on an EventLoop. Destroying or assigning over it cancels
// the call. It must be destroyed on the loop's thread and before the loop.
class Timer
{
public:
  Timer();
  ~Timer();
  Timer(Timer&&) noexcept;
  Timer& operator=(Timer&&) noexcept;

  // Cancels the call; does nothing if there is none.
  void Cancel();
  // Whether a call is still due.
  bool IsPending() const;

private:
  friend class EventLoop;
  explicit Timer(std::unique_ptr<detail::TimerState> aState);

  std::unique_ptr<detail::TimerState> mState;
};

// A libevent loop. Only Post() and Stop() may be called from other threads; all else belongs to
// the thread that runs the loop. The first loop makes the process ignore SIGPIPE.
class EventLoop
{
public:
  using Task = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Queues a call on the loop's thread, in order of posting. Never calls it directly.
  void Post(Task aTask);
  // Calls once after the delay.
  [[nodiscard]] Timer After(Duration aDelay, Task aTask);
  // Calls repeatedly with the given period until the timer is cancelled.
  [[nodiscard]] Timer Every(Duration aPeriod, Task aTask);
  // Calls on each delivery of a POSIX signal, on the loop's thread.
  void OnSignal(int aSignal, Task aTask);

  // Runs until Stop() is called.
  void Run();
  // Makes Run() return after the call in progress.
  void Stop();

  // The underlying libevent base, for modules that own sockets.
  event_base* Base() const;

private:
  std::unique_ptr<detail::EventLoopState> mState;
};

} // namespace lovagerock
