#include "base/EventLoop.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <csignal>
#include <deque>
#include <mutex>
#include <utility>
#include <vector>

namespace lovagerock {

namespace detail {

struct EventFree
{
  void operator()(event* aEvent) const { event_free(aEvent); }
};
using EventPtr = std::unique_ptr<event, EventFree>;

struct EventBaseFree
{
  void operator()(event_base* aBase) const { event_base_free(aBase); }
};

struct EventConfigFree
{
  void operator()(event_config* aConfig) const { event_config_free(aConfig); }
};

struct SignalHandler
{
  EventLoop::Task mTask;
  EventPtr mEvent;
};

struct EventLoopState
{
  std::unique_ptr<event_base, EventBaseFree> mBase;
  EventPtr mWakeup;
  EventPtr mKeepAlive;
  std::mutex mMutex;
  std::deque<EventLoop::Task> mPosted;
  std::vector<std::unique_ptr<SignalHandler>> mSignals;
};

struct TimerState
{
  EventLoop::Task mTask;
  EventPtr mEvent;
  // Set while the callback runs, so that the callback may destroy its own timer.
  bool* mDestroyed = nullptr;
  bool mRepeats = false;

  ~TimerState()
  {
    if (mDestroyed) {
      *mDestroyed = true;
    }
  }
};

namespace {

timeval
ToTimeval(Duration aDuration)
{
  const auto n = aDuration.count() < 0 ? 0 : aDuration.count();
  return { static_cast<time_t>(n / 1000), static_cast<suseconds_t>((n % 1000) * 1000) };
}

// Creates a base whose timers run from the time at which they are set. By default libevent may
// count from an earlier time that it has cached: after long work on an answer, the timeout of the
// next call was due before the call was even sent.
event_base*
NewBase()
{
  const std::unique_ptr<event_config, EventConfigFree> config(event_config_new());
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_NO_CACHE_TIME);
  return event_base_new_with_config(config.get());
}

void
RunTimer(evutil_socket_t, short, void* aArgument)
{
  auto* state = static_cast<TimerState*>(aArgument);
  bool destroyed = false;
  state->mDestroyed = &destroyed;
  auto task = state->mRepeats ? state->mTask : std::move(state->mTask);
  task();
  if (!destroyed) {
    state->mDestroyed = nullptr;
  }
}

void
RunPosted(evutil_socket_t, short, void* aArgument)
{
  auto* state = static_cast<EventLoopState*>(aArgument);
  std::deque<EventLoop::Task> tasks;
  {
    const std::lock_guard lock(state->mMutex);
    tasks.swap(state->mPosted);
  }
  for (auto& it : tasks) {
    it();
  }
}

void
RunSignal(evutil_socket_t, short, void* aArgument)
{
  static_cast<SignalHandler*>(aArgument)->mTask();
}

void
IgnoreEvent(evutil_socket_t, short, void*)
{
}

} // namespace

} // namespace detail

Timer::Timer() = default;
Timer::~Timer() = default;
Timer::Timer(Timer&&) noexcept = default;
Timer&
Timer::operator=(Timer&&) noexcept = default;

Timer::Timer(std::unique_ptr<detail::TimerState> aState)
  : mState(std::move(aState))
{
}

void
Timer::Cancel()
{
  mState.reset();
}

bool
Timer::IsPending() const
{
  return mState && event_pending(mState->mEvent.get(), EV_TIMEOUT, nullptr) != 0;
}

EventLoop::EventLoop()
  : mState(std::make_unique<detail::EventLoopState>())
{
  // A write to a connection that its other end closed must return an error, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  evthread_use_pthreads();
  mState->mBase.reset(detail::NewBase());
  mState->mWakeup.reset(event_new(mState->mBase.get(), -1, 0, detail::RunPosted, mState.get()));
  // A pending event keeps event_base_dispatch() running while nothing else is registered.
  mState->mKeepAlive.reset(
    event_new(mState->mBase.get(), -1, EV_PERSIST, detail::IgnoreEvent, nullptr));
  const auto interval = detail::ToTimeval(std::chrono::hours(1));
  event_add(mState->mKeepAlive.get(), &interval);
}

EventLoop::~EventLoop() = default;

void
EventLoop::Post(Task aTask)
{
  {
    const std::lock_guard lock(mState->mMutex);
    mState->mPosted.push_back(std::move(aTask));
  }
  // A timer of zero length in place of event_active(): libevent runs events that are activated
  // from a callback before it looks at sockets again, so a call that posts itself would starve
  // them.
  constexpr timeval kAtOnce{ 0, 0 };
  event_add(mState->mWakeup.get(), &kAtOnce);
}

Timer
EventLoop::After(Duration aDelay, Task aTask)
{
  auto state = std::make_unique<detail::TimerState>();
  state->mTask = std::move(aTask);
  state->mEvent.reset(event_new(Base(), -1, 0, detail::RunTimer, state.get()));
  const auto delay = detail::ToTimeval(aDelay);
  event_add(state->mEvent.get(), &delay);
  return Timer(std::move(state));
}

Timer
EventLoop::Every(Duration aPeriod, Task aTask)
{
  auto state = std::make_unique<detail::TimerState>();
  state->mTask = std::move(aTask);
  state->mRepeats = true;
  state->mEvent.reset(event_new(Base(), -1, EV_PERSIST, detail::RunTimer, state.get()));
  const auto period = detail::ToTimeval(aPeriod);
  event_add(state->mEvent.get(), &period);
  return Timer(std::move(state));
}

void
EventLoop::OnSignal(int aSignal, Task aTask)
{
  auto handler = std::make_unique<detail::SignalHandler>();
  handler->mTask = std::move(aTask);
  handler->mEvent.reset(
    event_new(Base(), aSignal, EV_SIGNAL | EV_PERSIST, detail::RunSignal, handler.get()));
  event_add(handler->mEvent.get(), nullptr);
  mState->mSignals.push_back(std::move(handler));
}

void
EventLoop::Run()
{
  event_base_dispatch(Base());
}

void
EventLoop::Stop()
{
  event_base_loopbreak(Base());
}

event_base*
EventLoop::Base() const
{
  return mState->mBase.get();
}

} // namespace lovagerock
