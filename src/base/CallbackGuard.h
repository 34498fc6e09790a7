#pragma once

#include <memory>
#include <utility>

namespace lovagerock {

// Keeps callbacks from reaching an object that has been destroyed. A member of that object,
// declared last, so that it is destroyed first.
class CallbackGuard
{
public:
  // The callback, which does nothing once the guard is destroyed.
  template<typename Callback>
  auto Wrap(Callback aCallback) const
  {
    return [alive = std::weak_ptr<const Alive>(mAlive),
            callback = std::move(aCallback)](auto&&... aArguments) mutable {
      if (!alive.expired()) {
        callback(std::forward<decltype(aArguments)>(aArguments)...);
      }
    };
  }

private:
  struct Alive
  {};

  std::shared_ptr<const Alive> mAlive = std::make_shared<const Alive>();
};

} // namespace lovagerock
