#include "configstore/ClusterFixture.h"

using namespace lovagerock;
using namespace lovagerock::configstore;
using Kind = ChangeOutcome::Kind;

// Guards against nodes that learn of a change only by their watch: the service fails right after
// the write, so that only pushes can deliver it.
Test(ConfigStore, is_in_force_everywhere_when_the_service_fails_after_the_write)
{
  Cluster c(4);
  c.ApplyFirst();
  int calls = 0;
  c.mNodes[3]->mConfig.OnInForce([&](const TestStore::Pointer& aConfig) {
    calls += aConfig->mDocument.mAccounts.size() == 2 ? 1 : 0;
  });
  // Runs before the answer of the write is delivered; the write has taken effect by then.
  c.mNodes[0]->mLink.mBeforeTransact = [&] { c.mLoop.Post([&] { c.mStore.SetAvailable(false); }); };
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  c.WaitUntilAllHave(2);
  cr_assert_eq(calls, 1);
}

// Guards against reporting a change as applied while only the accepting node has it: the others
// would lose it if that node and the service failed then.
Test(ConfigStore, reports_a_change_after_a_majority_has_it)
{
  Cluster c(3);
  c.ApplyFirst();
  std::optional<std::ptrdiff_t> have;
  c.mNodes[0]->mConfig.Accept(
    { config::Replaced("weight: 2", "weight: 4"), ConfigVersion(1), ChangeId("second"), "o" },
    [&](const ChangeOutcome& aOutcome) {
      cr_assert(aOutcome.mKind == Kind::Applied);
      have = std::count_if(c.mNodes.begin(), c.mNodes.end(), [](const auto& aNode) {
        return aNode->mConfig.Version() == ConfigVersion(2);
      });
    });
  c.WaitUntil([&] { return have.has_value(); });
  cr_assert(*have >= 2);
}

// Guards against an operator who waits forever because no member answers the push of a written
// change.
Test(ConfigStore, reports_a_written_change_when_no_member_answers)
{
  Cluster c(3);
  c.ApplyFirst();
  c.mNodes[0]->mLink.mBeforeTransact = [&] {
    c.CutLink(0, 1);
    c.CutLink(0, 2);
  };
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  c.WaitUntilAllHave(2);
}

// Guards against silently overwriting another operator's change.
Test(ConfigStore, reports_the_winning_head_on_a_conflict)
{
  Cluster c(3);
  c.ApplyFirst();
  std::optional<ChangeOutcome> one;
  std::optional<ChangeOutcome> two;
  c.Begin(0, 1, "one", 4, one);
  c.Begin(1, 1, "two", 5, two);
  c.WaitUntil([&] { return one && two; });
  cr_assert((one->mKind == Kind::Applied) != (two->mKind == Kind::Applied));
  const auto& winner = one->mKind == Kind::Applied ? *one : *two;
  const auto& loser = one->mKind == Kind::Applied ? *two : *one;
  cr_assert(loser.mKind == Kind::Conflict);
  cr_assert(loser.mHead == winner.mHead);
  c.WaitUntilAllHave(2);
  const auto again = c.Apply(winner.mHead.mOperator == "operator-0" ? 1 : 0, 1, "late", 6);
  cr_assert(again.mKind == Kind::Conflict);
  cr_assert(again.mHead == winner.mHead);
}

// Guards against applying a change twice when it is sent again.
Test(ConfigStore, gives_the_same_outcome_for_the_same_change)
{
  Cluster c(3);
  c.ApplyFirst();
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  const auto again = c.Apply(1, 0, "first");
  cr_assert(again.mKind == Kind::Applied);
  cr_assert(again.mHead.mVersion == ConfigVersion(1));
  cr_assert(c.Apply(1, 2, "first", 9).mKind == Kind::Invalid, "another file");
  c.WaitUntilAllHave(2);
}

Test(ConfigStore, refuses_invalid_files_with_problems)
{
  Cluster c(1);
  std::optional<ChangeOutcome> outcome;
  const auto accept = [&](const std::string& aText) {
    outcome.reset();
    c.mNodes[0]->mConfig.Accept({ aText, ConfigVersion(0), ChangeId("x"), "o" },
                                [&](const ChangeOutcome& aResult) { outcome = aResult; });
    c.WaitUntil([&] { return outcome.has_value(); });
    return outcome->mKind == Kind::Invalid && !outcome->mProblems.empty();
  };
  cr_assert(accept("format: 7\n"));
  c.mNodes[0]->mConfig.SetExtraCheck(
    [](const config::Document&) { return std::vector<config::Problem>(1); });
  cr_assert(accept(config::ValidFile()));
  cr_assert_eq(c.mNodes[0]->mLink.mWrites, 0);
}

// Guards against reporting OutcomeUnknown when a read shows the outcome, and against reporting a
// definite outcome when no read does.
Test(ConfigStore, reads_the_outcome_of_a_write_whose_answer_is_lost)
{
  Cluster c(3);
  c.ApplyFirst();
  c.mStore.LoseAnswers(1);
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  c.WaitUntilAllHave(2);
  c.mStore.LoseAnswers(1);
  std::optional<ChangeOutcome> outcome;
  c.Begin(0, 2, "third", 5, outcome);
  c.mNodes[0]->mLink.mBeforeTransact = [&] {
    c.mLoop.Post([&] { c.mNodes[0]->mLink.mUp = false; });
  };
  c.WaitUntil([&] { return outcome.has_value(); });
  cr_assert(outcome->mKind == Kind::OutcomeUnknown);
  c.mNodes[0]->mLink.mUp = true;
  c.WaitUntilAllHave(3);
  std::optional<ChangeRecord> record;
  c.mNodes[1]->mConfig.FindChange(
    ChangeId("third"),
    [&](std::error_code, std::optional<ChangeRecord> aRecord) { record = aRecord; });
  c.WaitUntil([&] { return record.has_value(); });
  cr_assert(record->mVersion == ConfigVersion(3));
}

// Guards against a write-back, or a return to an older version, after a single stale read.
Test(ConfigStore, does_nothing_after_a_single_stale_read)
{
  Cluster c(2);
  c.ApplyFirst();
  const ConfigHead head = c.mNodes[0]->mConfig.InForce()->mHead;
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  c.WaitUntilAllHave(2);
  auto& node = *c.mNodes[1];
  node.mLink.mStaleHead = kv::Entry{ kHeadKey, DumpJson(WriteHead(head)), 1 };
  c.WaitUntil([&] { return !node.mLink.mStaleHead; });
  const auto reads = node.mLink.mReads[kHeadKey];
  c.WaitUntil([&] { return node.mLink.mReads[kHeadKey] > reads + 5; });
  cr_assert_eq(node.mLink.mWrites, 0);
  cr_assert(node.mConfig.Version() == ConfigVersion(2));
}

// Guards against losing an accepted change when the service is restored from a backup.
Test(ConfigStore, writes_back_what_a_restored_service_lost)
{
  Cluster c(2);
  c.ApplyFirst();
  const ConfigHead old = c.mNodes[0]->mConfig.InForce()->mHead;
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  c.WaitUntilAllHave(2);
  c.mStore.Restore(kHeadKey, DumpJson(WriteHead(old)), 1);
  cr_assert(c.Apply(0, 2, "refused", 7).mKind == Kind::Unavailable);
  std::optional<ConfigHead> head;
  c.WaitUntil([&] {
    c.mStore.Get(kHeadKey, [&](std::error_code, const std::optional<kv::Entry>& aEntry) {
      head = ReadHead(*ParseJson(aEntry->mValue));
    });
    return VersionOf(head) == ConfigVersion(2);
  });
  cr_assert(c.mNodes[0]->mConfig.Version() == ConfigVersion(2));
  cr_assert(c.Apply(1, 2, "third", 8).mKind == Kind::Applied);
  c.WaitUntilAllHave(3);
}

// Guards against a node that learns of a change only by the push: every push to node 2 is lost.
Test(ConfigStore, reads_the_service_when_no_peer_delivers)
{
  Cluster c(3);
  c.ApplyFirst();
  c.mNodes[0]->mLink.mBeforeTransact = [&] { c.CutLink(0, 2), c.CutLink(1, 2); };
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  c.WaitUntilAllHave(2);
  cr_assert_geq(c.mNodes[2]->mLink.mReads[kBodyKey], 1);
}

// Guards against a new node that gets no configuration during an outage, and against one that
// accepts work without a configuration.
Test(ConfigStore, starts_from_a_peer_while_the_service_is_down)
{
  Cluster c(2);
  c.ApplyFirst();
  c.mStore.SetAvailable(false);
  c.Start(2);
  cr_assert(c.mNodes[2]->mConfig.State() == ConfirmationState::None);
  cr_assert_not(c.mNodes[2]->mConfig.MayAcceptWork());
  c.WaitUntilAllHave(1);
}

// Guards against a node that is cut off and accepts work with an outdated configuration.
Test(ConfigStore, an_isolated_node_refuses_work)
{
  Cluster c(3);
  c.ApplyFirst();
  c.WaitUntilState(2, ConfirmationState::Confirmed);
  c.mNodes[2]->mLink.mUp = false;
  c.CutLink(0, 2);
  c.CutLink(1, 2);
  c.WaitUntilState(2, ConfirmationState::Isolated);
  cr_assert_not(c.mNodes[2]->mConfig.MayAcceptWork());
  cr_assert(c.mNodes[0]->mConfig.MayAcceptWork());
  c.mNetwork.mCutLinks.clear();
  c.WaitUntilState(2, ConfirmationState::Confirmed);
  c.WaitUntil([&] { return c.mNodes[0]->mConfig.Nodes().back().mConfirmed; });
}

// Guards against an outage of the service that stops all nodes, and against a failed change whose
// promises are not released on the members, which would leave them isolated.
Test(ConfigStore, all_nodes_accept_work_when_the_service_is_down_for_all)
{
  Cluster c(3);
  c.ApplyFirst();
  c.WaitUntilAllSettled();
  c.mNodes[0]->mLink.mBeforeTransact = [&] {
    cr_assert(c.mNodes[1]->mConfig.CurrentReport().mOpenPromise == ConfigVersion(2));
    c.mStore.SetAvailable(false);
  };
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Unavailable);
  for (int i = 0; i < 3; ++i) {
    c.WaitUntilState(i, ConfirmationState::ServiceDown);
    cr_assert(c.mNodes[i]->mConfig.MayAcceptWork());
  }
}

// Guards against a majority that considers the service down while a node on the other side of the
// partition reaches it and accepts a change. Only one node of the majority promised the change.
Test(ConfigStore, a_majority_without_the_service_does_not_miss_a_change)
{
  Cluster c(3);
  c.ApplyFirst();
  c.WaitUntilAllSettled();
  c.CutLink(0, 2);
  c.mNodes[1]->mLink.mUp = c.mNodes[2]->mLink.mUp = false;
  c.mNodes[0]->mLink.mBeforeTransact = [&] { c.CutLink(0, 1); };
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  for (int i = 1; i < 3; ++i) {
    c.WaitUntilState(i, ConfirmationState::Isolated);
  }
  const auto end = std::chrono::steady_clock::now() + 2 * ShortTimes().mConfirmation.mReadValidity;
  c.WaitUntil([&] {
    cr_assert_not(c.mNodes[1]->mConfig.MayAcceptWork());
    cr_assert_not(c.mNodes[2]->mConfig.MayAcceptWork());
    return std::chrono::steady_clock::now() > end;
  });
  c.mNetwork.mCutLinks.clear();
  c.WaitUntilAllHave(2);
  c.WaitUntilState(2, ConfirmationState::Confirmed);
}

// Guards against a change that is accepted with promises of a minority only.
Test(ConfigStore, refuses_a_change_without_a_majority_of_promises)
{
  Cluster c(3);
  c.ApplyFirst();
  c.CutLink(0, 1);
  c.CutLink(0, 2);
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Unavailable);
  cr_assert(c.mNodes[0]->mConfig.Version() == ConfigVersion(1));
  cr_assert(c.Apply(1, 1, "third", 5).mKind == Kind::Applied);
}

// Guards against a patch that is applied to the wrong base and produces another configuration.
Test(PushMessage, needs_the_base_and_the_hash)
{
  const auto make = [](int aVersion, int aWeight) {
    const auto document =
      config::ReadValid(config::Replaced("weight: 2", "weight: " + std::to_string(aWeight)));
    const ConfigHead head{ ConfigVersion(aVersion), config::ContentHash(document), ChangeId("c"),
                           "o" };
    return AcceptedConfig{ head, config::ToJson(document), document };
  };
  const auto one = make(1, 3);
  const auto two = make(2, 4);
  auto patch = WritePatch(one, two);
  cr_assert(ReadPush(patch, &one)->mDocument == two.mDocument);
  cr_assert_not(ReadPush(patch, &two));
  cr_assert_not(ReadPush(patch, nullptr));
  patch["head"]["hash"] = one.mHead.mHash;
  cr_assert_not(ReadPush(patch, &one));
  patch["patch"] = Json::array({ { { "op", "remove" }, { "path", "/none" } } });
  cr_assert_not(ReadPush(patch, &one));
  cr_assert(ReadPush(WriteFullBody(two), nullptr));
}

// Guards against a peer that keeps its old version because it cannot apply the patch.
Test(ConfigPush, falls_back_to_the_full_body)
{
  Cluster c(2);
  c.ApplyFirst();
  c.WaitUntil([&] { return c.mNodes[0]->mConfig.Nodes().back().mVersion == ConfigVersion(1); });
  const auto& pushes = c.mNodes[0]->mConfig.Pushes();
  const auto whole = pushes.FullBodyCount();
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  c.WaitUntilAllHave(2);
  cr_assert_eq(pushes.PatchCount(), 1);
  cr_assert_eq(pushes.FullBodyCount(), whole);
  c.WaitUntil([&] { return c.mNodes[0]->mConfig.Nodes().back().mVersion == ConfigVersion(2); });
  // The peer answers like one that refused the patch because of a hash mismatch.
  int refused = 0;
  c.mNodes[1]->mTransport.Handle("config/push",
                                 [&](const Json& aBody, const peer::ReplyFunction& aReply) {
                                   refused += aBody.contains("body") ? 10 : 1;
                                   aReply({ { "version", 2 } });
                                 });
  cr_assert(c.Apply(0, 2, "third", 5).mKind == Kind::Applied);
  c.WaitUntil([&] { return refused == 11; });
}

// Guards against sending the full body for each change when changes follow each other faster than
// heartbeats, which made the traffic of a change grow with the size of the configuration.
Test(ConfigPush, sends_patches_between_heartbeats)
{
  Cluster c(2);
  c.ApplyFirst();
  const auto& pushes = c.mNodes[0]->mConfig.Pushes();
  const auto whole = pushes.FullBodyCount();
  for (int i = 0; i < 10; ++i) {
    const auto change = "change-" + std::to_string(i);
    cr_assert(c.Apply(0, 1 + i, change, 4 + i).mKind == Kind::Applied);
    c.WaitUntilAllHave(2 + i);
  }
  cr_assert_eq(pushes.PatchCount(), 10);
  cr_assert_eq(pushes.FullBodyCount(), whole);
}
