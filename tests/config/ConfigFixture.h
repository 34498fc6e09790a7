#pragma once

#include "config/DocumentReader.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>

namespace lovagerock::config {

inline const std::string kHashA(64, 'a');
inline const std::string kHashB(64, 'b');

// A valid file with two accounts and one service.
inline std::string
ValidFile()
{
  return "format: 1\n"
         "deployment: test\n"
         "weights: {completion_time: 0.4, fragmentation: 0.6}\n"
         "accounts:\n"
         "  - name: intake\n"
         "    token_sha256: \"" +
         kHashA +
         "\"\n"
         "    weight: 2\n"
         "    quota: {accelerators: 200, slots: 200}\n"
         "    guarantees:\n"
         "      - {name: overnight, count: 2, workers: 8, accelerators_per_worker: 8,"
         " adjacency: rack, zone: karaganda}\n"
         "  - name: archive\n"
         "    token_sha256: \"" +
         kHashB +
         "\"\n"
         "    weight: 1\n"
         "    quota: {accelerators: 8, slots: 8}\n"
         "services:\n"
         "  - {name: condition, account: intake, callers: [intake, archive], slots: 40,\n"
         "     accelerators_per_slot: 1, idempotent: true, timeout_ms: 30000, queue_limit: 1000}\n";
}

// The valid file with one part replaced, which must be there.
inline std::string
Replaced(const std::string& aFrom, const std::string& aTo)
{
  auto text = ValidFile();
  const auto at = text.find(aFrom);
  cr_assert(at != std::string::npos, "'%s' is not in the valid file", aFrom.c_str());
  return text.replace(at, aFrom.size(), aTo);
}

// The document of a text that must be valid.
inline Document
ReadValid(const std::string& aText)
{
  const auto result = ReadYaml(aText, "test.yaml");
  cr_assert(result.mDocument, "%s",
            result.mProblems.empty() ? "" : result.mProblems.front().ToString().c_str());
  return *result.mDocument;
}

// Fails unless the text gives no document and a problem with this line, field and part of message.
inline void
ExpectProblem(const std::string& aText, int aLine, const std::string& aField,
              const std::string& aMessage)
{
  const auto result = ReadYaml(aText, "test.yaml");
  cr_expect_not(result.mDocument, "a file with a problem at %s was accepted", aField.c_str());
  std::string all;
  for (const auto& it : result.mProblems) {
    all += it.ToString() + "\n";
  }
  const bool found =
    std::any_of(result.mProblems.begin(), result.mProblems.end(), [&](const Problem& aProblem) {
      return aProblem.mFile == "test.yaml" && aProblem.mLine == aLine &&
             aProblem.mField == aField && aProblem.mMessage.find(aMessage) != std::string::npos;
    });
  cr_expect(found, "no problem %d: %s: %s in:\n%s", aLine, aField.c_str(), aMessage.c_str(),
            all.c_str());
}

// The bytes of a file that must exist.
inline std::string
ReadWhole(const std::string& aPath)
{
  std::ifstream stream(aPath);
  cr_assert(stream.is_open(), "%s", aPath.c_str());
  return { std::istreambuf_iterator<char>(stream), {} };
}

} // namespace lovagerock::config
