#include "peer/NghttpTransport.h"
#include "support/LocalAddress.h"
#include "workers/StateRelay.h"
#include "workers/WorkerFixture.h"

#include <criterion/criterion.h>

#include <memory>

using namespace lovagerock;
using namespace lovagerock::workers;

namespace {

const SocketAddress kWorker("127.0.0.1", 9);
const NodeId kWatcher("a");

RelayBatch
Batch(std::uint64_t aSequence, std::uint64_t aStateSequence, std::uint64_t aIncarnation = 1)
{
  WorkerState state;
  state.mIncarnation = "w";
  state.mSequence = aStateSequence;
  return { kWatcher,
           aIncarnation,
           aSequence,
           { { kWorker, std::make_shared<const WorkerState>(state), false } } };
}

// A table in which the watcher is valid until 1 s after mStart and batch 1 is applied.
struct TableFixture
{
  TimePoint mStart{ Duration(100000) };
  RelayTable mTable{ Duration(1000) };

  TableFixture()
  {
    cr_assert(mTable.Confirm(kWatcher, 1, 1, mStart));
    cr_assert(mTable.ApplySnapshot(Batch(1, 5)));
  }
  // Returns the sequence of the relayed state, or 0 if no valid watcher relays one.
  std::uint64_t Relayed(Duration aAfter)
  {
    const auto state = mTable.Find(kWorker, mStart + aAfter).mState;
    return state ? state->mSequence : 0;
  }
};

// A node that shares the polling of workers, with a short poll wait and no handover overlap.
struct SharingNode
{
  using Relay = StateRelay<peer::NghttpTransport>;

  peer::NghttpTransport mTransport;
  bool mOwns;
  std::vector<SocketAddress> mPeers;
  Mailbox<WorkerChange> mMailbox;
  RecordingApi mApi;
  WorkerMonitor<RecordingApi> mMonitor;
  std::unique_ptr<Relay> mRelay;

  SharingNode(EventLoop& aLoop, Random& aRandom, http::HttpClient& aClient, const char* aNode,
              bool aOwns)
    : mTransport(aLoop, aRandom)
    , mOwns(aOwns)
    , mMailbox(aLoop, [](const WorkerChange&) {})
    , mApi(aClient)
    , mMonitor(aLoop, mApi, aRandom, mMailbox.GetAddress(),
               { .mPollWait = Duration(100), .mHandoverOverlap = Duration(0) })
    , mRelay(std::make_unique<Relay>(
        aLoop, mTransport, NodeId(aNode), 1,
        Relay::Hooks{
          [this] { return mPeers; }, [this] { return mMonitor.ArePollsCurrent(); },
          [this](const NodeId& aWatcher, const RelayedChange& aChange) {
            mMonitor.OnRelayed(aWatcher, aChange);
          },
          [this](const NodeId& aWatcher) { mMonitor.OnWatcherInvalidated(aWatcher); } }))
  {
    cr_assert_not(mTransport.Listen(testing::LocalAddress()));
    mMonitor.Share({ [this](const SocketAddress&) { return mOwns; },
                     [this](const SocketAddress& aWorker) { return mRelay->Find(aWorker); },
                     [this](const RelayedChange& aChange) { mRelay->Publish(aChange); } });
  }
};

// Two nodes that share the polling of one worker. The first owns it.
struct SharingFixture : WorkerFixture
{
  SharingNode mFirst{ mLoop, mRandom, mClient, "a", true };
  SharingNode mSecond{ mLoop, mRandom, mClient, "b", false };
  // Simulates the heartbeats from the second node to the first.
  Timer mHeartbeats = mLoop.Every(Duration(100), [this] {
    mSecond.mRelay->ReadPayload(kWatcher, 1, mFirst.mTransport.Address(),
                                mFirst.mRelay->WritePayload(), std::chrono::steady_clock::now());
  });

  SharingFixture()
  {
    mFirst.mPeers = { mSecond.mTransport.Address() };
    mFirst.mMonitor.SetWorkers({ { mAddress, false } });
    mSecond.mMonitor.SetWorkers({ { mAddress, false } });
    WaitUntil([&] { return ArePollsStopped(); });
  }
  // The second node's view comes from the first node only while the second does not poll.
  bool ArePollsStopped() const { return !mSecond.mMonitor.AllPolled(); }
  WorkerHealth Health() const { return mSecond.mMonitor.Find(mAddress)->Health(); }
  void WaitUntil(const std::function<bool()>& aCondition)
  {
    const auto timer = mLoop.Every(Duration(2), [&] {
      if (aCondition()) {
        mLoop.Stop();
      }
    });
    mLoop.Run();
  }
};

} // namespace

// Guards against an outdated state that stays in use after a batch was lost.
Test(RelayTable, invalidates_a_watcher_after_a_lost_batch)
{
  TableFixture f;
  cr_assert_eq(f.Relayed(Duration(1)), 5U);
  cr_assert(f.mTable.ApplyBatch(Batch(3, 7)) == RelayTable::Result::Gap);
  cr_assert_eq(f.Relayed(Duration(1)), 0U);
  cr_assert_eq(f.mTable.TakeInvalidated(f.mStart).size(), 1U);
  // A snapshot makes the watcher valid again.
  cr_assert(f.mTable.Confirm(kWatcher, 1, 3, f.mStart));
  cr_assert(f.mTable.ApplySnapshot(Batch(3, 7)));
  cr_assert_eq(f.Relayed(Duration(1)), 7U);
}

// Guards against the undetected loss of the last batch, which no later batch reveals.
Test(RelayTable, does_not_extend_the_validity_while_a_confirmed_batch_is_missing)
{
  TableFixture f;
  cr_assert_eq(f.Relayed(Duration(999)), 5U);
  cr_assert_not(f.mTable.Confirm(kWatcher, 1, 2, f.mStart + Duration(900)));
  cr_assert_eq(f.Relayed(Duration(1000)), 0U);
  // The watcher is reported as invalidated once.
  cr_assert_eq(f.mTable.TakeInvalidated(f.mStart + Duration(1000)).size(), 1U);
  cr_assert(f.mTable.TakeInvalidated(f.mStart + Duration(1001)).empty());
  cr_assert(f.mTable.Confirm(kWatcher, 1, 2, f.mStart + Duration(1800)));
}

// Guards against a stale batch, snapshot or confirmation that replaces a newer state or makes an
// older incarnation of the watcher valid again.
Test(RelayTable, ignores_stale_batches_snapshots_and_confirmations)
{
  TableFixture f;
  cr_assert(f.mTable.ApplyBatch(Batch(2, 6)) == RelayTable::Result::Applied);
  cr_assert(f.mTable.ApplyBatch(Batch(1, 5)) == RelayTable::Result::Ignored);
  cr_assert_not(f.mTable.ApplySnapshot(Batch(1, 5)));
  cr_assert_not(f.mTable.Confirm(kWatcher, 1, 1, f.mStart - Duration(500)));
  cr_assert_eq(f.Relayed(Duration(900)), 6U);
  cr_assert(f.mTable.Confirm(kWatcher, 2, 0, f.mStart + Duration(10)));
  cr_assert(f.mTable.ApplyBatch(Batch(3, 7)) == RelayTable::Result::Ignored);
  cr_assert_not(f.mTable.Confirm(kWatcher, 1, 3, f.mStart + Duration(20)));
  cr_assert_eq(f.Relayed(Duration(21)), 0U);
}

// Guards against a batch that loses content in serialization, and against a malformed one that is
// accepted.
Test(RelayTable, batches_round_trip_through_json)
{
  auto batch = Batch(4, 9);
  batch.mChanges.push_back({ SocketAddress("127.0.0.1", 10), nullptr, true });
  auto json = WriteRelayBatch(batch);
  const auto read = ReadRelayBatch(json);
  cr_assert(read && read->mNode == kWatcher && read->mSequence == 4);
  cr_assert(read->mChanges.at(0).mState->mSequence == 9);
  cr_assert(!read->mChanges.at(1).mState && read->mChanges.at(1).mSuspected);
  json["changes"][0]["state"].erase("leases");
  cr_assert_not(ReadRelayBatch(json));
}

// Guards against a state change of a worker that is not relayed to the other nodes.
Test(Sharing, relays_a_leaving_worker_to_a_node_that_does_not_poll)
{
  SharingFixture f;
  const auto polls = f.mSecond.mApi.mSince.size();
  f.mWorker->SetLeaving();
  f.WaitUntil([&] { return f.Health() == WorkerHealth::Leaving; });
  cr_assert_eq(f.mSecond.mApi.mSince.size(), polls);
}

// Guards against an unresponsive worker that only its watcher suspects, and against one that stays
// suspected after it responds again.
Test(Sharing, relays_an_unresponsive_worker_and_its_recovery)
{
  SharingFixture f;
  f.Post(R"({"freeze":true})");
  f.WaitUntil([&] { return f.Health() == WorkerHealth::Suspected; });
  f.Post(R"({"freeze":false})");
  f.WaitUntil([&] { return f.Health() == WorkerHealth::Live; });
  f.WaitUntil([&] { return f.ArePollsStopped(); });
}

// Guards against workers that no node polls after their watcher failed or was paused, and against
// an outdated view after a lost batch.
Test(Sharing, resumes_polling_without_heartbeats_or_after_a_lost_batch)
{
  for (const bool lost : { false, true }) {
    SharingFixture f;
    f.mFirst.mPeers.clear();
    if (!lost) {
      f.mHeartbeats.Cancel();
    }
    f.mWorker->SetLeaving();
    f.WaitUntil([&] { return f.Health() == WorkerHealth::Leaving; });
    f.WaitUntil([&] { return f.ArePollsStopped() == lost; });
  }
}

// Guards against a worker that no node polls while two nodes, or none, take themselves for its
// owner because their member lists differ.
Test(Sharing, keeps_watching_through_changes_of_the_owner)
{
  SharingFixture f;
  f.mSecond.mOwns = true;
  f.mSecond.mMonitor.UpdateOwners();
  f.WaitUntil([&] { return f.mSecond.mMonitor.AllPolled(); });
  f.mSecond.mOwns = false;
  f.mSecond.mMonitor.UpdateOwners();
  f.WaitUntil([&] { return f.ArePollsStopped(); });
  // The planner polls all workers.
  f.mSecond.mMonitor.SetPollAll(true);
  f.WaitUntil([&] { return f.mSecond.mMonitor.AllPolled(); });
  f.mSecond.mMonitor.SetPollAll(false);
  f.WaitUntil([&] { return f.ArePollsStopped(); });
  f.mFirst.mOwns = false;
  f.mFirst.mMonitor.UpdateOwners();
  f.WaitUntil([&] { return f.mSecond.mMonitor.AllPolled(); });
}

// Guards against a restart that goes unnoticed because the relayed state has the same sequence.
Test(Sharing, relays_a_restart)
{
  SharingFixture f;
  f.mWorker.reset();
  f.StartWorker("two");
  f.WaitUntil([&] {
    return f.mSecond.mMonitor.Find(f.mAddress)->mState->mIncarnation == "two" &&
           f.ArePollsStopped();
  });
}
