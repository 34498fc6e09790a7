#include "FakeStore.h"
#include "control/PrefixWatch.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <vector>

using namespace lovagerock;
using namespace lovagerock::control;

// Guards against a watch that asks again and again for changes that are too many for one answer,
// and so never learns of them.
Test(PrefixWatch, lists_again_when_the_changes_do_not_fit_into_an_answer)
{
  EventLoop loop;
  FakeStore store(loop);
  std::vector<std::string> listed;
  WatchCallbacks callbacks;
  callbacks.mOnListed = [&listed](const auto& aItems) {
    for (const auto& it : aItems) {
      listed.push_back(it.mKey);
    }
  };
  int lists = 0;
  callbacks.mOnList = [&lists](const auto& aItems) {
    cr_assert(aItems.empty(), "the items were passed on before");
    ++lists;
  };
  callbacks.mOnEvent = [](const auto&) {};
  store.Put("p/a", "1");
  PrefixWatch<FakeStore> watch(loop, store, "p/", std::move(callbacks));
  const auto check = loop.Every(Duration(2), [&] {
    if (lists == 1 && listed.size() == 1) {
      store.mMaxEvents = 1;
      store.PutWithoutNotification("p/b", "2");
      store.Put("p/c", "3");
    }
    if (lists == 2) {
      loop.Stop();
    }
  });
  const auto limit = loop.After(Duration(20000), [&loop] { loop.Stop(); });
  loop.Run();
  cr_assert_eq(lists, 2);
  cr_assert_eq(listed.size(), 4);
  cr_assert_eq(listed.back(), std::string("p/c"));
}
