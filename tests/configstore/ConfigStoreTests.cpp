#include "configstore/ClusterFixture.h"

using namespace lovagerock;
using namespace lovagerock::configstore;
using Kind = ChangeOutcome::Kind;

// Guards against nodes that depend on their watch: here the service dies with the write.
Test(ConfigStore, is_in_force_everywhere_when_the_service_fails_after_the_write)
{
  Cluster c(4);
  c.ApplyFirst();
  int calls = 0;
  c.mNodes[3]->mConfig.OnInForce([&](const TestStore::Pointer& aConfig) {
    calls += aConfig->mDocument.mAccounts.size() == 2 ? 1 : 0;
  });
  // Posted before the answer of the write, which has taken effect by then.
  c.mNodes[0]->mLink.mBeforeTransact = [&] { c.mLoop.Post([&] { c.mStore.SetAvailable(false); }); };
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  c.WaitUntilAllHave(2);
  cr_assert_eq(calls, 1);
}

// Guards against an accepted change that only the accepting node has when its operator hears of it:
// it would be lost to the others if that node and the service failed then.
Test(ConfigStore, tells_of_a_change_after_a_majority_has_it)
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

// Guards against an operator who waits for ever when nobody takes a change that was written.
Test(ConfigStore, tells_of_a_written_change_when_no_member_answers)
{
  Cluster c(3);
  c.ApplyFirst();
  c.mNodes[0]->mLink.mBeforeTransact = [&] {
    c.Cut(0, 1);
    c.Cut(0, 2);
  };
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  c.WaitUntilAllHave(2);
}

// Guards against a silent overwrite of another operator's change.
Test(ConfigStore, tells_the_later_operator_who_won)
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

// Guards against a second application of a change that is sent again.
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

// Guards against "unknown" where a read can tell, and against "applied" or "not applied" where it
// can't.
Test(ConfigStore, settles_a_write_whose_answer_is_lost)
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

// Guards against a write, or a step back, that a stale read alone causes.
Test(ConfigStore, does_nothing_after_a_single_stale_read)
{
  Cluster c(2);
  c.ApplyFirst();
  const ConfigHead head = c.mNodes[0]->mConfig.InForce()->mHead;
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  c.WaitUntilAllHave(2);
  auto& node = *c.mNodes[1];
  node.mLink.mStale = kv::Entry{ kHeadKey, DumpJson(WriteHead(head)), 1 };
  c.WaitUntil([&] { return !node.mLink.mStale; });
  const auto reads = node.mLink.mReads[kHeadKey];
  c.WaitUntil([&] { return node.mLink.mReads[kHeadKey] > reads + 5; });
  cr_assert_eq(node.mLink.mWrites, 0);
  cr_assert(node.mConfig.Version() == ConfigVersion(2));
}

// Guards against a restored backup that takes an accepted change back.
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

// Guards against a node that needs the push: here every push is lost.
Test(ConfigStore, reads_the_service_when_no_peer_delivers)
{
  Cluster c(3);
  c.ApplyFirst();
  c.mNodes[0]->mLink.mBeforeTransact = [&] { c.Cut(0, 2), c.Cut(1, 2); };
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  c.WaitUntilAllHave(2);
  cr_assert_geq(c.mNodes[2]->mLink.mReads[kBodyKey], 1);
}

// Guards against new nodes that can't work during an outage, and that work with nothing.
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

// Guards against a cut-off node that serves an outdated configuration.
Test(ConfigStore, an_isolated_node_refuses_work)
{
  Cluster c(3);
  c.ApplyFirst();
  c.WaitUntilState(2, ConfirmationState::Confirmed);
  c.mNodes[2]->mLink.mUp = false;
  c.Cut(0, 2);
  c.Cut(1, 2);
  c.WaitUntilState(2, ConfirmationState::Isolated);
  cr_assert_not(c.mNodes[2]->mConfig.MayAcceptWork());
  cr_assert(c.mNodes[0]->mConfig.MayAcceptWork());
  c.mNetwork.mCut.clear();
  c.WaitUntilState(2, ConfirmationState::Confirmed);
  c.WaitUntil([&] { return c.mNodes[0]->mConfig.Nodes().back().mConfirmed; });
}

// Guards against an outage of the service that stops all nodes, and against a refused change that
// keeps them from going on because the members were not told of its end.
Test(ConfigStore, all_nodes_go_on_when_the_service_is_down_for_all)
{
  Cluster c(3);
  c.ApplyFirst();
  c.WaitUntilConfirmedOnce();
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

// Guards against a majority that takes the service for down while the other side, which has it,
// accepts a change. Only one node of the majority knows of the change.
Test(ConfigStore, a_majority_without_the_service_does_not_miss_a_change)
{
  Cluster c(3);
  c.ApplyFirst();
  c.WaitUntilConfirmedOnce();
  c.Cut(0, 2);
  c.mNodes[1]->mLink.mUp = c.mNodes[2]->mLink.mUp = false;
  c.mNodes[0]->mLink.mBeforeTransact = [&] { c.Cut(0, 1); };
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  for (int i = 1; i < 3; ++i) {
    c.WaitUntilState(i, ConfirmationState::Isolated);
  }
  const auto end = std::chrono::steady_clock::now() + 2 * ShortTimes().mConfirmation.mConfirmedFor;
  c.WaitUntil([&] {
    cr_assert_not(c.mNodes[1]->mConfig.MayAcceptWork());
    cr_assert_not(c.mNodes[2]->mConfig.MayAcceptWork());
    return std::chrono::steady_clock::now() > end;
  });
  c.mNetwork.mCut.clear();
  c.WaitUntilAllHave(2);
  c.WaitUntilState(2, ConfirmationState::Confirmed);
}

// Guards against a change that a minority accepts.
Test(ConfigStore, refuses_a_change_without_a_majority_of_promises)
{
  Cluster c(3);
  c.ApplyFirst();
  c.Cut(0, 1);
  c.Cut(0, 2);
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Unavailable);
  cr_assert(c.mNodes[0]->mConfig.Version() == ConfigVersion(1));
  cr_assert(c.Apply(1, 1, "third", 5).mKind == Kind::Applied);
}

// Guards against a patch that is applied to another base and gives another configuration.
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
  cr_assert(ReadPush(WriteWhole(two), nullptr));
}

// Guards against a peer that stays behind because it can't use the patch.
Test(ConfigPush, falls_back_to_the_whole_body)
{
  Cluster c(2);
  c.ApplyFirst();
  c.WaitUntil([&] { return c.mNodes[0]->mConfig.Nodes().back().mVersion == ConfigVersion(1); });
  const auto& pushes = c.mNodes[0]->mConfig.Pushes();
  const auto whole = pushes.WholeBodies();
  cr_assert(c.Apply(0, 1, "second", 4).mKind == Kind::Applied);
  c.WaitUntilAllHave(2);
  cr_assert_eq(pushes.Patches(), 1);
  cr_assert_eq(pushes.WholeBodies(), whole);
  c.WaitUntil([&] { return c.mNodes[0]->mConfig.Nodes().back().mVersion == ConfigVersion(2); });
  // The peer refuses the patch as after a hash mismatch.
  int refused = 0;
  c.mNodes[1]->mTransport.Handle("config/push",
                                 [&](const Json& aBody, const peer::ReplyFunction& aReply) {
                                   refused += aBody.contains("body") ? 10 : 1;
                                   aReply({ { "version", 2 } });
                                 });
  cr_assert(c.Apply(0, 2, "third", 5).mKind == Kind::Applied);
  c.WaitUntil([&] { return refused == 11; });
}

// Guards against the whole body for each change when changes follow each other faster than
// heartbeats, which made the traffic of a change grow with the size of the configuration.
Test(ConfigPush, sends_patches_between_heartbeats)
{
  Cluster c(2);
  c.ApplyFirst();
  const auto& pushes = c.mNodes[0]->mConfig.Pushes();
  const auto whole = pushes.WholeBodies();
  for (int i = 0; i < 10; ++i) {
    const auto change = "change-" + std::to_string(i);
    cr_assert(c.Apply(0, 1 + i, change, 4 + i).mKind == Kind::Applied);
    c.WaitUntilAllHave(2 + i);
  }
  cr_assert_eq(pushes.Patches(), 10);
  cr_assert_eq(pushes.WholeBodies(), whole);
}
