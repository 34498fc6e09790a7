#include "base/EventLoop.h"
#include "http/HttpClient.h"
#include "kv/Base64.h"
#include "kv/ConsulStore.h"
#include "kv/KvError.h"
#include "standin/kv/KvService.h"
#include "support/LocalAddress.h"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>

using namespace lovagerock;
using namespace lovagerock::kv;
using Kind = Operation::Kind;

namespace {

// A stand-in service and a store on one loop.
struct Fixture
{
  EventLoop mLoop;
  std::unique_ptr<standin::KvService> mService;
  std::unique_ptr<ConsulStore> mStore;
  http::HttpClient mControl{ mLoop };
  Timer mLimit;

  explicit Fixture(const standin::KvServiceSettings& aService = {}, ConsulSettings aStore = {})
    : mService(std::make_unique<standin::KvService>(mLoop, aService))
  {
    cr_assert_not(mService->Listen(testing::LocalAddress()));
    aStore.mServer = mService->Address();
    mStore = std::make_unique<ConsulStore>(mLoop, aStore);
    mLimit = mLoop.After(Duration(60000), [] { cr_assert_fail("test did not finish"); });
  }

  void Fault(const std::string& aBody)
  {
    http::ClientRequest request;
    request.mServer = mService->Address();
    request.mMethod = http::Method::Post;
    request.mTarget = "/v1/faults";
    request.mBody = aBody;
    mControl.Send(request, [this](std::error_code aError, const http::Response&) {
      cr_assert_not(aError);
      mLoop.Stop();
    });
    mLoop.Run();
  }

  std::pair<std::error_code, std::optional<Entry>> Get(const std::string& aKey)
  {
    std::pair<std::error_code, std::optional<Entry>> result;
    mStore->Get(aKey, [&](std::error_code aError, std::optional<Entry> aEntry) {
      result = { aError, std::move(aEntry) };
      mLoop.Stop();
    });
    mLoop.Run();
    return result;
  }

  std::pair<std::error_code, TransactionResult> Write(std::vector<Operation> aOperations)
  {
    std::pair<std::error_code, TransactionResult> result;
    mStore->Transact(std::move(aOperations),
                     [&](std::error_code aError, TransactionResult aResult) {
                       result = { aError, std::move(aResult) };
                       mLoop.Stop();
                     });
    mLoop.Run();
    return result;
  }
};

} // namespace

Test(Base64, keeps_any_bytes)
{
  for (std::size_t n = 0; n < 8; ++n) {
    const std::string bytes("\0\xff\x80=+/a", n);
    cr_assert_eq(DecodeBase64(EncodeBase64(bytes)), bytes);
  }
  cr_assert_not(DecodeBase64("a"));
  cr_assert_not(DecodeBase64("!!!!"));
}

Test(ConsulStore, writes_reads_and_lists)
{
  // A value of a megabyte takes seconds under the sanitizers on a busy machine.
  ConsulSettings settings;
  settings.mTimeout = Duration(30000);
  Fixture f({}, settings);
  const std::string value(1024 * 1024, '\xff');
  const auto [ec, result] =
    f.Write({ { Kind::CompareAndSet, "a/b c%", value, 0 }, { Kind::Set, "a/d", "", 0 } });
  cr_assert_not(ec);
  cr_assert(result.mApplied);
  const auto read = f.Get("a/b c%");
  cr_assert_eq(read.second->mValue, value);
  cr_assert_eq(read.second->mModifyIndex, result.mModifyIndexes[0]);
  cr_assert_not(f.Get("absent").second);
  std::vector<Entry> entries;
  f.mStore->List("a/", [&](std::error_code, std::vector<Entry> aEntries) {
    entries = std::move(aEntries);
    f.mLoop.Stop();
  });
  f.mLoop.Run();
  cr_assert_eq(entries.size(), 2);
  cr_assert_eq(entries[1].mKey, std::string("a/d"));
}

// Guards against a lost race that is reported as a win, and against half a transaction.
Test(ConsulStore, tells_which_comparison_failed)
{
  Fixture f;
  f.Write({ { Kind::Set, "a", "1", 0 } });
  const auto [ec, result] =
    f.Write({ { Kind::Set, "b", "1", 0 }, { Kind::CompareAndSet, "a", "2", 0 } });
  cr_assert_not(ec);
  cr_assert_not(result.mApplied);
  cr_assert_eq(result.mFailed, std::vector<std::size_t>{ 1 });
  cr_assert_not(f.Get("b").second);
}

// Guards against an applied write that is reported as without effect.
Test(ConsulStore, reports_a_lost_answer_as_unknown_outcome)
{
  Fixture f;
  f.Fault(R"({"lose_answers":1})");
  cr_assert_eq(f.Write({ { Kind::CompareAndSet, "a", "mine", 0 } }).first,
               make_error_code(KvError::OutcomeUnknown));
  cr_assert_eq(f.Get("a").second->mValue, std::string("mine"));
}

// Guards against a service that accepts and never answers: writes must not be called failed.
Test(ConsulStore, gives_up_on_a_hanging_service)
{
  ConsulSettings settings;
  settings.mTimeout = Duration(200);
  Fixture f({}, settings);
  f.Fault(R"({"hang":true})");
  cr_assert_eq(f.Get("a").first, make_error_code(KvError::Unavailable));
  cr_assert_eq(f.Write({ { Kind::Set, "a", "1", 0 } }).first,
               make_error_code(KvError::OutcomeUnknown));
}

// Guards against an outage that is not noticed, and against a store that does not recover.
Test(ConsulStore, recovers_after_an_outage)
{
  Fixture f;
  f.Write({ { Kind::Set, "a", "1", 0 } });
  f.Fault(R"({"down":true})");
  cr_assert_eq(f.Get("a").first, make_error_code(KvError::Unavailable));
  f.Fault(R"({"down":false})");
  cr_assert_eq(f.Get("a").second->mValue, std::string("1"));
}

// Guards against a write that never reached the service and is reported as unknown.
Test(ConsulStore, reports_a_refused_connection_as_unavailable)
{
  Fixture f;
  ConsulSettings settings;
  settings.mServer = SocketAddress("127.0.0.1", 1);
  f.mStore = std::make_unique<ConsulStore>(f.mLoop, settings);
  cr_assert_eq(f.Write({ { Kind::Set, "a", "1", 0 } }).first,
               make_error_code(KvError::Unavailable));
}

Test(ConsulStore, reports_the_rate_limit_of_the_service)
{
  standin::KvServiceSettings service;
  service.mWritesPerSecond = 0.001;
  Fixture f(service);
  cr_assert_eq(f.Write({ { Kind::Set, "a", "1", 0 } }).first,
               make_error_code(KvError::RateLimited));
  cr_assert_not(f.Get("a").second);
}

// Guards against unbounded memory and load while the service is slow.
Test(ConsulStore, refuses_calls_over_its_own_limits)
{
  ConsulSettings settings;
  settings.mMaxInFlight = 1;
  settings.mMaxQueued = 1;
  Fixture f({}, settings);
  std::vector<std::error_code> errors;
  for (int i = 0; i < 3; ++i) {
    f.mStore->Get("a", [&](std::error_code aError, const std::optional<Entry>&) {
      errors.push_back(aError);
      if (errors.size() == 3) {
        f.mLoop.Stop();
      }
    });
  }
  cr_assert(errors.empty());
  f.mLoop.Run();
  cr_assert_eq(errors[0], make_error_code(KvError::RateLimited));
  cr_assert_not(errors[1]);
  cr_assert_not(errors[2]);
}

// Guards against a watch that misses the creation, the change or the deletion of a key.
Test(ConsulStore, watches_a_key_through_its_life)
{
  Fixture f;
  const auto watch = [&](ModifyIndex aSince, std::vector<Operation> aOperations) {
    std::optional<Entry> result;
    f.mStore->Watch("a", aSince, Duration(30000),
                    [&](std::error_code aError, std::optional<Entry> aEntry) {
                      cr_assert_not(aError);
                      result = std::move(aEntry);
                      f.mLoop.Stop();
                    });
    const auto write = f.mLoop.After(Duration(50), [&] {
      f.mStore->Transact(std::move(aOperations), [](std::error_code, const auto&) {});
    });
    f.mLoop.Run();
    return result;
  };
  const auto created = watch(0, { { Kind::Set, "a", "1", 0 } });
  cr_assert_eq(created->mValue, std::string("1"));
  const auto changed = watch(created->mModifyIndex, { { Kind::Set, "a", "2", 0 } });
  cr_assert_eq(changed->mValue, std::string("2"));
  cr_assert_not(watch(changed->mModifyIndex, { { Kind::Delete, "a", "", 0 } }));
}

// Guards against a watch without end.
Test(ConsulStore, ends_a_watch_without_a_change_after_its_wait)
{
  Fixture f;
  f.Write({ { Kind::Set, "a", "1", 0 } });
  const auto index = f.Get("a").second->mModifyIndex;
  std::optional<Entry> result;
  f.mStore->Watch("a", index, Duration(100), [&](std::error_code, std::optional<Entry> aEntry) {
    result = std::move(aEntry);
    f.mLoop.Stop();
  });
  f.mLoop.Run();
  cr_assert_eq(result->mModifyIndex, index);
}

// Guards against names that are cut wrongly, and an answer above the limit that is read all the
// same.
Test(ConsulStore, lists_names_within_a_limit)
{
  Fixture f;
  f.Write({ { Kind::Set, "a/x", "1", 0 }, { Kind::Set, "a/y/1", "1", 0 } });
  const auto last = f.Write({ { Kind::Set, "a/y/2", "1", 0 } }).second.mModifyIndexes.at(0);
  const auto names = [&](const std::string& aPrefix, const std::string& aSeparator, int aLimit) {
    std::pair<std::error_code, NameList> result;
    f.mStore->ListNames(aPrefix, aSeparator, Bytes(aLimit),
                        [&](std::error_code aError, NameList aNames) {
                          result = { aError, std::move(aNames) };
                          f.mLoop.Stop();
                        });
    f.mLoop.Run();
    return result;
  };
  cr_assert_eq(names("a/", "/", 1000).second.mNames, (std::vector<std::string>{ "a/x", "a/y/" }));
  cr_assert_eq(names("a/y/", "", 1000).second.mIndex, last);
  cr_assert(names("c/", "/", 1000).second.mNames.empty());
  cr_assert_eq(names("a/", "", 20).first, make_error_code(KvError::TooLarge));
  std::error_code page;
  f.mStore->ListPage("a/", Bytes(100), [&](std::error_code aError, const std::vector<Entry>&) {
    page = aError;
    f.mLoop.Stop();
  });
  f.mLoop.Run();
  cr_assert_eq(page, make_error_code(KvError::TooLarge));
}

// Guards against a delete that takes effect although a key that it depends on has changed.
Test(ConsulStore, applies_a_transaction_only_if_its_checks_hold)
{
  Fixture f;
  const auto index = f.Write({ { Kind::Set, "a", "1", 0 } }).second.mModifyIndexes.at(0);
  f.Write({ { Kind::Set, "b", "1", 0 } });
  const auto refused = f.Write({ { Kind::Check, "a", "", index + 1 },
                                 { Kind::Check, "b", "", 0 },
                                 { Kind::Delete, "b", "", 0 } });
  cr_assert_not(refused.second.mApplied);
  cr_assert_eq(refused.second.mFailed, (std::vector<std::size_t>{ 0, 1 }));
  cr_assert(f.Get("b").second);
  const auto applied = f.Write({ { Kind::Check, "a", "", index },
                                 { Kind::Check, "c", "", 0 },
                                 { Kind::Delete, "b", "", 0 },
                                 { Kind::Set, "d", "1", 0 } });
  cr_assert(applied.second.mApplied);
  cr_assert_eq(applied.second.mModifyIndexes.at(0), index);
  cr_assert_gt(applied.second.mModifyIndexes.at(3), index);
  cr_assert_not(f.Get("b").second);
}

// Guards against tests that believe in a stale read or a restored backup which the stand-in does
// not produce.
Test(KvService, answers_stale_and_restored_values)
{
  Fixture f;
  f.Write({ { Kind::Set, "a", "1", 0 } });
  f.Fault(R"({"snapshot":true})");
  f.Write({ { Kind::Set, "a", "2", 0 } });
  f.Fault(R"({"stale_reads":true})");
  cr_assert_eq(f.Get("a").second->mValue, std::string("1"));
  f.Fault(R"({"stale_reads":false})");
  cr_assert_eq(f.Get("a").second->mValue, std::string("2"));
  f.Fault(R"({"restore":true})");
  cr_assert_eq(f.Get("a").second->mValue, std::string("1"));
}
