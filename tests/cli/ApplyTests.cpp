#include "cli/FakeAdmin.h"

#include <fstream>
#include <iterator>

using namespace lovagerock;
using namespace lovagerock::cli;
using http::Method;

namespace {

const Json kAccepted{ { "version", 8 }, { "change", "c1" }, { "hash", "beef" } };
const Json kNotApplied{ { "error", "not_applied" } };

Json
NodesAt(int aFirst, int aSecond)
{
  return { { "nodes",
             { { { "node", "n1" }, { "state", "live" }, { "version", aFirst } },
               { { "node", "n2" }, { "state", "live" }, { "version", aSecond } },
               { { "node", "n3" }, { "state", "leaving" }, { "version", 1 } } } } };
}

// Drops the connection after the request was read.
void
LoseAnswer(int, const http::Responder& aResponder)
{
  aResponder.Start(200, {});
  aResponder.Abort();
}

void
AcceptsChanges(FakeAdmin& aNode)
{
  aNode.On(Method::Get, "/v1/config", 200, { { "version", 7 } });
  aNode.On(Method::Post, "/v1/config/apply", 200, kAccepted);
  aNode.On(Method::Get, "/v1/nodes", 200, NodesAt(8, 8));
}

} // namespace

Test(Apply, sends_the_file_with_base_change_and_operator)
{
  FakeAdmin node;
  AcceptsChanges(node);
  node.Start();
  const auto result =
    RunCommand({ "--admin", node.Address(), "apply", kExample, "--operator", "a b" });
  ExpectCode(result, 0);
  ExpectHolds(result.mOut, "accepted: version 8");
  ExpectHolds(result.mOut, "in force on all nodes");
  const auto calls = node.Calls("POST /v1/config/apply");
  cr_assert_eq(calls.size(), 1);
  cr_assert_eq(calls[0].QueryParameter("base"), std::string("7"));
  cr_assert_eq(calls[0].QueryParameter("operator"), std::string("a b"));
  cr_assert_eq(calls[0].QueryParameter("change").size(), 34);
  std::ifstream stream(kExample);
  cr_assert_eq(calls[0].mBody, std::string(std::istreambuf_iterator<char>(stream), {}));
}

// Guards against a change reported as in force while a node still works with the old one.
Test(Apply, waits_for_all_nodes_and_names_those_behind)
{
  FakeAdmin node;
  node.On(Method::Post, "/v1/config/apply", 200, kAccepted);
  node.On(Method::Get, "/v1/nodes", [](int aEarlier, const http::Responder& aResponder) {
    aResponder.Send(http::JsonResponse(200, DumpJson(NodesAt(8, aEarlier < 2 ? 7 : 8))));
  });
  node.Start();
  const auto result =
    RunCommand({ "--admin", node.Address(), "apply", kExample, "--base", "7", "--json" });
  ExpectCode(result, 0);
  ExpectHolds(result.mOut, "\"in_force\":true");
  cr_assert_eq(node.Calls("GET /v1/nodes").size(), 3);

  FakeAdmin slow;
  slow.On(Method::Post, "/v1/config/apply", 200, kAccepted);
  slow.On(Method::Get, "/v1/nodes", 200, NodesAt(8, 7));
  slow.Start();
  const auto behind = RunCommand(
    { "--admin", slow.Address(), "--timeout-ms", "1500", "apply", kExample, "--base", "7" });
  ExpectCode(behind, 0);
  ExpectHolds(behind.mOut, "accepted: version 8");
  ExpectHolds(behind.mErr, "node n2 (version 7, state live)");
  cr_expect(behind.mErr.find("n3") == std::string::npos);
}

// Guards against an operator's file overwriting another operator's change unseen.
Test(Apply, prints_who_won_a_conflict)
{
  FakeAdmin node;
  node.On(Method::Post, "/v1/config/apply", 409,
          { { "error", "conflict" },
            { "version", 9 },
            { "change", "other" },
            { "operator", "aigerim" } });
  node.Start();
  const auto result = RunCommand({ "--admin", node.Address(), "apply", kExample, "--base", "7" });
  ExpectCode(result, 1);
  ExpectHolds(result.mErr, "version 9 was applied by aigerim with change other");
}

// Guards against a change sent twice, or reported as failed, when its answer is lost.
Test(Apply, asks_another_node_when_the_answer_is_lost)
{
  FakeAdmin first;
  first.On(Method::Post, "/v1/config/apply", LoseAnswer);
  first.On(Method::Get, "/v1/changes/{id}", LoseAnswer);
  first.On(Method::Get, "/v1/nodes", LoseAnswer);
  first.Start();
  FakeAdmin second;
  AcceptsChanges(second);
  second.On(Method::Get, "/v1/changes/{id}", [](int aEarlier, const http::Responder& aResponder) {
    aResponder.Send(aEarlier < 2 ? http::JsonResponse(404, DumpJson(kNotApplied))
                                 : http::JsonResponse(200, R"({"change":"c1","version":8})"));
  });
  second.Start();
  const auto result = RunCommand(
    { "--admin", first.Address(), "--admin", second.Address(), "apply", kExample, "--base", "7" });
  ExpectCode(result, 0);
  ExpectHolds(result.mOut, "accepted: version 8");
  cr_assert_eq(first.Calls("POST /v1/config/apply").size(), 1);
  cr_assert(second.Calls("POST /v1/config/apply").empty());
  const auto asked = second.Calls("GET /v1/changes/{id}");
  cr_assert_eq(asked.size(), 3);
  cr_assert_eq(asked[0].PathParameter("id"),
               first.Calls("POST /v1/config/apply")[0].QueryParameter("change"));
}

// Guards against "not applied yet" being taken for a final outcome.
Test(Apply, answers_4_with_the_change_id_when_the_outcome_stays_unknown)
{
  for (const int status : { 504, 500, 503 }) {
    FakeAdmin node;
    node.On(Method::Post, "/v1/config/apply", status, { { "error", "outcome_unknown" } });
    node.On(Method::Get, "/v1/changes/{id}", 404, kNotApplied);
    node.Start();
    const auto result = RunCommand(
      { "--admin", node.Address(), "--timeout-ms", "700", "apply", kExample, "--base", "7" });
    ExpectCode(result, 4);
    cr_assert_eq(node.Calls("POST /v1/config/apply").size(), 1);
    const auto change = node.Calls("POST /v1/config/apply")[0].QueryParameter("change");
    ExpectHolds(result.mErr, "lovagerock --admin " + node.Address() + " change " + change);
  }
}

// Guards against a silent node holding up the answer for ever.
Test(Apply, answers_4_when_the_node_goes_silent)
{
  FakeAdmin node;
  node.Hold(Method::Post, "/v1/config/apply");
  node.Hold(Method::Get, "/v1/changes/{id}");
  node.Start();
  ExpectCode(RunCommand({ "--admin", node.Address(), "--timeout-ms", "500", "apply", kExample,
                          "--base", "7" }),
             4);
}

// Guards against giving up while another node can apply, and against a second id for one change.
Test(Apply, goes_on_to_the_next_node_when_not_applied)
{
  FakeAdmin first;
  first.On(Method::Post, "/v1/config/apply", 503,
           { { "error", "unavailable" }, { "applied", "no" }, { "message", "isolated" } });
  first.On(Method::Get, "/v1/nodes", 503, kNotApplied);
  first.Start();
  FakeAdmin second;
  AcceptsChanges(second);
  second.Start();
  const auto closed = ClosedAddress();
  ExpectCode(RunCommand({ "--admin", closed + "," + first.Address() + "," + second.Address(),
                          "apply", kExample, "--base", "7" }),
             0);
  cr_assert_eq(first.Calls("POST /v1/config/apply")[0].QueryParameter("change"),
               second.Calls("POST /v1/config/apply")[0].QueryParameter("change"));
  const auto refused =
    RunCommand({ "--admin", first.Address(), "--admin", closed, "apply", kExample, "--base", "7" });
  ExpectCode(refused, 3);
  ExpectHolds(refused.mErr, "isolated");
  ExpectHolds(refused.mErr, "the change was not applied");
}

// Guards against a repeated change being applied again over later ones.
Test(Apply, does_not_send_a_change_that_is_already_applied)
{
  FakeAdmin node;
  AcceptsChanges(node);
  node.On(Method::Get, "/v1/changes/{id}", 200, { { "change", "c1" }, { "version", 6 } });
  node.Start();
  const auto result =
    RunCommand({ "--admin", node.Address(), "apply", kExample, "--change", "c1", "--json" });
  ExpectCode(result, 0);
  ExpectHolds(result.mOut, "\"version\":6");
  cr_assert(node.Calls("POST /v1/config/apply").empty());
}

// Guards against an invalid file reaching a node, or its refusal being taken for a lost answer.
Test(Apply, refuses_an_invalid_file)
{
  FakeAdmin node;
  node.On(Method::Post, "/v1/config/apply", 422,
          { { "error", "invalid" },
            { "problems",
              { { { "file", "" },
                  { "line", 12 },
                  { "field", "accounts[0].guarantees[0]" },
                  { "message", "does not fit on the workers" } } } } });
  node.Start();
  const auto unpacked = RunCommand({ "--admin", node.Address(), "apply", kExample, "--base", "7" });
  ExpectCode(unpacked, 1);
  ExpectHolds(unpacked.mErr, kExample + ":12: accounts[0].guarantees[0]: does not fit");
  const auto invalid =
    RunCommand({ "--admin", node.Address(), "apply", LOVAGEROCK_EXAMPLES "/../CMakeLists.txt" });
  ExpectCode(invalid, 1);
  cr_assert_eq(node.Calls("POST /v1/config/apply").size(), 1);
}
