#include "config/CanonicalJson.h"
#include "config/ConfigFixture.h"
#include "config/Diff.h"

using namespace lovagerock;
using namespace lovagerock::config;

// Guards against nodes that store different bytes, and so different hashes, for one configuration.
Test(CanonicalJson, is_the_same_for_any_order)
{
  const auto text = ValidFile();
  const auto first = text.find("  - name: intake");
  const auto second = text.find("  - name: archive");
  const auto services = text.find("services:");
  auto swapped = text.substr(0, first) + text.substr(second, services - second) +
                 text.substr(first, second - first) + text.substr(services);
  swapped.replace(swapped.find("[intake, archive]"), 17, "[archive, intake]");
  cr_assert_neq(swapped, text);
  cr_assert_eq(ReadValid(swapped), ReadValid(text));
  cr_assert_eq(CanonicalText(ReadValid(swapped)), CanonicalText(ReadValid(text)));
  cr_assert_eq(ContentHash(ReadValid(swapped)), ContentHash(ReadValid(text)));
  cr_assert_neq(ContentHash(ReadValid(Replaced("slots: 40", "slots: 41"))),
                ContentHash(ReadValid(text)));
}

// Guards against a stored configuration that a node can't read back unchanged.
Test(CanonicalJson, reads_back_what_it_wrote)
{
  const auto document = ReadValid(ReadWhole(LOVAGEROCK_EXAMPLES "/saryarka.yaml"));
  const auto text = CanonicalText(document);
  const auto json = ParseJson(text);
  cr_assert(json);
  const auto result = ReadJson(*json);
  cr_assert(result.mDocument);
  cr_assert_eq(*result.mDocument, document);
  cr_assert_eq(CanonicalText(*result.mDocument), text);
}

// Guards against JSON from the key-value service being trusted without the checks of a file.
Test(CanonicalJson, is_checked_like_a_file)
{
  auto json = ToJson(ReadValid(ValidFile()));
  json["services"][0]["callers"].push_back("nobody");
  json["accounts"][0]["quota"]["slots"] = std::uint64_t(1) << 63U;
  const auto result = ReadJson(json);
  cr_assert_not(result.mDocument);
  cr_assert_eq(result.mProblems.size(), 2);
  cr_assert_not(ReadJson(Json(nullptr)).mDocument);
}

Test(Diff, is_empty_for_equal_documents)
{
  cr_assert(Diff(ReadValid(ValidFile()), ReadValid(ValidFile())).empty());
}

// Guards against an entry's change being shown as a change of another one that moved.
Test(Diff, names_entries_and_shows_both_values)
{
  const auto older = ReadValid(ValidFile());
  auto text = Replaced("name: archive", "name: annex");
  text.replace(text.find("archive]"), 8, "annex]");
  text.replace(text.find("slots: 200"), 10, "slots: 150");
  text.replace(text.find(", zone: karaganda"), 17, "");
  const auto changes = Diff(older, ReadValid(text));
  std::vector<std::string> lines;
  lines.reserve(changes.size());
  for (const auto& it : changes) {
    lines.push_back(it.ToString().substr(0, 60));
  }
  cr_assert_eq(changes.size(), 5);
  cr_assert_eq(changes[0].mKind, ChangeKind::Added);
  cr_assert_eq(changes[0].mPath, std::string("accounts[annex]"));
  cr_assert_eq(changes[1].mPath, std::string("accounts[archive]"));
  cr_assert(changes[1].mNew.is_null());
  cr_assert_eq(lines[2],
               std::string("- accounts[intake].guarantees[overnight].zone: \"karaganda\""));
  cr_assert_eq(lines[3], std::string("~ accounts[intake].quota.slots: 200 -> 150"));
  cr_assert_eq(changes[4].mPath, std::string("services[condition].callers"));
  const Json json = changes[3];
  cr_assert_eq(json, (Json{ { "path", changes[3].mPath }, { "old", 200 }, { "new", 150 } }));
  cr_assert_eq(json.get<Change>().ToString(), changes[3].ToString());
}
