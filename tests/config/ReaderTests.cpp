#include "config/ConfigFixture.h"

using namespace lovagerock;
using namespace lovagerock::config;

Test(DocumentReader, reads_every_field)
{
  const auto document = ReadValid(ValidFile());
  cr_assert_eq(document.mDeployment, DeploymentId("test"));
  cr_assert_eq(document.mWeights.mFragmentation, 0.6);
  const auto* account = document.FindAccount(AccountId("intake"));
  cr_assert(account);
  cr_assert_eq(account->mTokenHash, TokenHash(kHashA));
  cr_assert_eq(account->mWeight, ShareWeight(2));
  cr_assert_eq(account->mQuota, (Quota{ Accelerators(200), Slots(200) }));
  const auto& guarantee = account->mGuarantees.at(0);
  cr_assert_eq(guarantee.mAdjacency, Adjacency::Rack);
  cr_assert_eq(guarantee.mZone, ZoneId("karaganda"));
  cr_assert_eq(guarantee.Total(), Accelerators(128));
  const auto* service = document.FindService(ServiceId("condition"));
  cr_assert(service);
  cr_assert_eq(service->mCallers.size(), 2);
  cr_assert_eq(service->mTimeout, Duration(30000));
  cr_assert(service->mIdempotent);
}

// Guards against operators who fix one mistake per try during the peak.
Test(DocumentReader, reports_all_problems_in_one_pass)
{
  auto text = Replaced("weight: 2", "weight: -2");
  text.replace(text.find("account: intake"), 15, "account: nobody");
  text += "color: blue\n";
  ExpectProblem(text, 7, "accounts[0].weight", "from 1 to 1000, not -2");
  ExpectProblem(text, 16, "services[0].account", "no account 'nobody'");
  ExpectProblem(text, 18, "color", "unknown field");
  cr_assert_eq(ReadYaml(text, "").mProblems.size(), 3);
}

// Guards against a typing error that silently leaves a default in force.
Test(DocumentReader, refuses_unknown_missing_and_repeated_fields)
{
  ExpectProblem(Replaced("zone: karaganda", "zones: karaganda"), 10,
                "accounts[0].guarantees[0].zones", "unknown field");
  ExpectProblem(Replaced("    weight: 1\n", ""), 11, "accounts[1].weight", "missing");
  ExpectProblem(Replaced("idempotent: true, ", ""), 16, "services[0].idempotent", "missing");
  ExpectProblem(Replaced("weight: 1\n", "weight: 1\n    weight: 5\n"), 14, "accounts[1].weight",
                "appears twice");
  ExpectProblem(Replaced("format: 1", "format: 2"), 1, "format", "from 1 to 1");
}

// Guards against values of another type that a lenient reader would convert.
Test(DocumentReader, refuses_wrong_types_and_ranges)
{
  ExpectProblem(Replaced("slots: 40", "slots: many"), 16, "services[0].slots", "the text 'many'");
  ExpectProblem(Replaced("slots: 40", "slots: 1.5"), 16, "services[0].slots", "whole number");
  ExpectProblem(Replaced("slots: 40", "slots: 99999999999999999999"), 16, "services[0].slots",
                "whole number");
  ExpectProblem(Replaced("count: 2", "count: 0"), 10, "accounts[0].guarantees[0].count", "from 1");
  ExpectProblem(Replaced("idempotent: true", "idempotent: yes"), 17, "services[0].idempotent",
                "true or false");
  ExpectProblem(Replaced("name: intake", "name: 7"), 5, "accounts[0].name", "quote");
  ExpectProblem(Replaced("name: archive", "name: a b"), 11, "accounts[1].name", "not a name");
  ExpectProblem(Replaced("adjacency: rack", "adjacency: room"), 10,
                "accounts[0].guarantees[0].adjacency", "worker, rack, zone or region");
  ExpectProblem(Replaced("{accelerators: 8, slots: 8}", "8"), 14, "accounts[1].quota", "a map");
  ExpectProblem(Replaced("fragmentation: 0.6", "fragmentation: -0.6"), 3, "weights.fragmentation",
                "from 0 to 1");
  ExpectProblem(Replaced("0.4, fragmentation: 0.6", "0, fragmentation: 0"), 3, "weights",
                "at least one");
  ExpectProblem("- a\n", 1, "", "must be a map of fields");
}

// Guards against two accounts that one token selects, and against references to nothing.
Test(DocumentReader, refuses_duplicates_and_unknown_references)
{
  ExpectProblem(Replaced("name: archive", "name: intake"), 11, "accounts[1].name",
                "has this name at accounts[0].name");
  ExpectProblem(Replaced(kHashB, kHashA), 12, "accounts[1].token_sha256", "same token");
  ExpectProblem(Replaced(kHashB, std::string(64, 'B')), 12, "accounts[1].token_sha256",
                "64 lower-case");
  ExpectProblem(Replaced("[intake, archive]", "[intake, shop]"), 16, "services[0].callers[1]",
                "no account 'shop'");
  ExpectProblem(Replaced("[intake, archive]", "[intake, intake]"), 16, "services[0].callers[1]",
                "listed at services[0].callers[0]");
}

// Guards against a guarantee that the quota makes impossible to use.
Test(DocumentReader, refuses_guarantees_above_the_quota)
{
  ExpectProblem(Replaced("accelerators: 200", "accelerators: 127"), 10, "accounts[0].guarantees",
                "need 128 accelerators, above the account's quota of 127");
  ReadValid(Replaced("accelerators: 200", "accelerators: 128"));
  ExpectProblem(Replaced("adjacency: rack", "adjacency: worker"), 10,
                "accounts[0].guarantees[0].workers", "must be 1");
}

// Guards against memory and time that a small file takes by aliases, nesting or sheer size.
Test(DocumentReader, bounds_the_size_of_a_file)
{
  std::string aliases = "a: &a0 [1, 1, 1, 1, 1, 1, 1, 1, 1, 1]\n";
  for (int i = 1; i < 10; ++i) {
    aliases += "b" + std::to_string(i) + ": &a" + std::to_string(i) + " [";
    for (int k = 0; k < 10; ++k) {
      aliases += (k ? ", *a" : "*a") + std::to_string(i - 1);
    }
    aliases += "]\n";
  }
  ExpectProblem(aliases, 4, "b3[7]", "more than 10000 values");
  ExpectProblem("a: &a [*a]\n", 1, "a[0]", "contains it");
  ExpectProblem("a: " + std::string(20, '[') + std::string(20, ']') + "\n", 1,
                "a[0][0][0][0][0][0][0][0][0][0][0][0][0][0][0]", "nested too deeply");
  cr_expect_not(ReadYaml(std::string(100000, '['), "").mDocument);
  ExpectProblem(ValidFile() + "#" + std::string(1024 * 1024, ' '), 0, "", "larger than 1 MiB");
}

// Guards against the second document of a file being ignored.
Test(DocumentReader, refuses_several_documents_and_malformed_text)
{
  ExpectProblem(ValidFile() + "---\nformat: 1\n", 18, "", "one document");
  ExpectProblem("", 1, "", "empty");
  ExpectProblem("format: [1\n", 2, "", "not valid YAML");
  ExpectProblem("format: *none\n", 1, "", "not valid YAML");
  ExpectProblem("? [a]\n: 1\n", 1, "", "plain word");
  ExpectProblem(Replaced("deployment: test", "deployment: !secret test"), 2, "", "tags");
}

Test(DocumentReader, accepts_small_aliases)
{
  const auto text = Replaced("{accelerators: 200, slots: 200}", "&q {accelerators: 200, slots: 9}");
  const auto from = text.find("{accelerators: 8, slots: 8}");
  const auto document = ReadValid(std::string(text).replace(from, 27, "*q"));
  cr_assert_eq(document.FindAccount(AccountId("archive"))->mQuota.mAccelerators, Accelerators(200));
}

// Guards against examples that no longer match the format.
Test(DocumentReader, accepts_the_examples)
{
  for (const std::string name : { "saryarka", "zarqa" }) {
    const auto document = ReadValid(ReadWhole(LOVAGEROCK_EXAMPLES "/" + name + ".yaml"));
    cr_assert_eq(document.mDeployment, DeploymentId(name));
    cr_assert_eq(document.mAccounts.size(), 4);
    Accelerators total;
    for (const auto& account : document.mAccounts) {
      for (const auto& guarantee : account.mGuarantees) {
        total += guarantee.Total();
      }
    }
    // 50 workers with 8 accelerators each.
    cr_assert_leq(total.Value(), 400);
  }
}
