#include "base/LogEvent.h"
#include "membership/ListReader.h"
#include "membership/Rendezvous.h"
#include "node/Node.h"

#include <algorithm>

// The node's part in watching the workers and the VM list, which the nodes of a region share.

namespace lovagerock::node {

void
Node::WireWatching()
{
  // What waited for this node in a pause must not be sent by the views from before the pause: a
  // worker may have begun to leave since then.
  mRouter.SetSendCheck([this] { return mCheckedPauses == mPauses && !mPauseWatch.IsUnnoticed(); });
  mMonitor.Share({ [this](const SocketAddress& aWorker) {
                    return mWatchNodes.empty() ||
                           membership::RendezvousOwner("worker/" + aWorker.ToString(),
                                                       mWatchNodes) == mSettings.mNode;
                  },
                   [this](const SocketAddress& aWorker) { return mRelay.Find(aWorker); },
                   [this](const workers::RelayedChange& aChange) { mRelay.Publish(aChange); } });
  mMembership.AddPayload(
    "watch", [this] { return mRelay.WritePayload(); },
    [this](const membership::Member& aMember, const Json& aPayload, TimePoint aSent) {
      if (aMember.mRegion == mSettings.mRegion && !mMonitor.PollsAll()) {
        mRelay.ReadPayload(aMember.mNode, aMember.mIncarnation, aMember.mAddress, aPayload, aSent);
      }
    });
  mMembership.AddPayload(
    "vms", [this] { return mVmList.WritePayload(); },
    [this](const membership::Member& aMember, const Json& aPayload, TimePoint aSent) {
      if (aMember.mRegion == mSettings.mRegion) {
        mVmList.ReadPayload(aMember.mNode, aMember.mIncarnation, aPayload, aSent);
      }
    });
}

void
Node::UpdateWatchNodes()
{
  // A node that others may have taken for dead watches for itself.
  mWatchNodes = mMembership.IsViewUnconfirmed() ? std::vector<NodeId>()
                                                : mMembership.LiveNodes(mSettings.mRegion);
  mMonitor.UpdateOwners();
}

void
Node::OnResumed(Duration aPause)
{
  const auto pause = ++mPauses;
  LogEvent("workers_recheck", LogLevel::Warning).With("pause_ms", aPause);
  mMonitor.Recheck([this, pause] {
    // Posted, because the changes that the check found are delivered by messages.
    mLoop.Post([this, pause] {
      mCheckedPauses = std::max(mCheckedPauses, pause);
      mRouter.Resume();
    });
  });
}

bool
Node::ReadsVmList() const
{
  return mWatchNodes.empty() ||
         membership::SelectListReader(mSettings.mRegion, mWatchNodes,
                                      std::chrono::system_clock::now()) == mSettings.mNode;
}

std::vector<SocketAddress>
Node::RegionPeers(const NodeId& aWithout)
{
  std::vector<SocketAddress> peers;
  for (const auto& it : mMembership.Members()) {
    if (it.mMember.mNode != mSettings.mNode && it.mMember.mNode != aWithout &&
        it.mMember.mRegion == mSettings.mRegion &&
        it.mState != membership::MemberState::Suspected) {
      peers.push_back(it.mMember.mAddress);
    }
  }
  return peers;
}

void
Node::OnVmList(const std::vector<membership::Vm>& aVms)
{
  mMembership.SetVmList(aVms);
  std::vector<workers::ListedWorker> listed;
  for (const auto& it : aVms) {
    // Workers of other regions belong to the nodes there.
    if (it.mRole == membership::Vm::Role::Worker &&
        (it.mRegion == mSettings.mRegion || it.mRegion.IsEmpty())) {
      listed.push_back({ it.mAddress, it.mLeaving });
    }
  }
  mListedWorkers = listed.size();
  mMonitor.SetWorkers(listed);
  mCoordinator.SetAllWorkersKnown(AllWorkersHeard());
}

void
Node::OnWorkerChange(const workers::WorkerChange& aChange)
{
  mCoordinator.SetAllWorkersKnown(AllWorkersHeard());
  mCoordinator.OnWorkerChange(aChange);
  const auto& view = aChange.mView;
  if (!view.mState) {
    return;
  }
  if (aChange.mKind == workers::WorkerChange::Kind::Removed) {
    mRouter.RemoveWorker(view.mState->mWorker);
    return;
  }
  auto state = *view.mState;
  state.mLeaving = view.Health() == workers::WorkerHealth::Leaving;
  mRouter.UpdateWorker(state, view.mAddress, view.mSuspected);
}

} // namespace lovagerock::node
