#include "config/DocumentReader.h"

#include "config/CanonicalJson.h"
#include "config/DocumentChecks.h"
#include "config/DocumentFindings.h"
#include "config/FieldReader.h"
#include "config/YamlTree.h"

#include <utility>

namespace lovagerock::config {

namespace detail {
namespace {

// The only format version so far.
constexpr std::int64_t kFormat = 1;
// The upper limits are far above the design size. They keep every sum of products within 64 bits.
constexpr std::int64_t kMaxWeight = 1000;
constexpr std::int64_t kMaxTotal = 1'000'000;
constexpr std::int64_t kMaxWorkers = 10'000;
constexpr std::int64_t kMaxPerWorker = 1'000;
constexpr std::int64_t kMaxTimeoutMs = 24 * 3600 * 1000;

Weights
ReadWeights(const Json& aValue, const std::string& aPath, ProblemList& aProblems)
{
  FieldReader fields(aValue, aPath, aProblems);
  Weights weights;
  weights.mCompletionTime = fields.Fraction("completion_time");
  weights.mFragmentation = fields.Fraction("fragmentation");
  fields.ReportUnknown();
  return weights;
}

Quota
ReadQuota(const Json& aValue, const std::string& aPath, ProblemList& aProblems)
{
  FieldReader fields(aValue, aPath, aProblems);
  Quota quota;
  quota.mAccelerators = Accelerators(fields.Whole("accelerators", 0, kMaxTotal));
  quota.mSlots = Slots(fields.Whole("slots", 0, kMaxTotal));
  fields.ReportUnknown();
  return quota;
}

Adjacency
ReadAdjacency(FieldReader& aFields, ProblemList& aProblems)
{
  const auto text = aFields.Text("adjacency");
  const auto adjacency = ParseAdjacency(text);
  if (!adjacency && !text.empty()) {
    aProblems.Add(aFields.PathOf("adjacency"),
                  "must be worker, rack, zone or region, not " + Quote(text));
  }
  return adjacency.value_or(Adjacency::Region);
}

Guarantee
ReadGuarantee(const Json& aValue, const std::string& aPath, ProblemList& aProblems)
{
  FieldReader fields(aValue, aPath, aProblems);
  Guarantee guarantee;
  guarantee.mName = GuaranteeId(fields.Name("name"));
  guarantee.mCount = Copies(fields.Whole("count", 1, kMaxWorkers));
  guarantee.mWorkers = WorkerCount(fields.Whole("workers", 1, kMaxWorkers));
  guarantee.mAcceleratorsPerWorker =
    Accelerators(fields.Whole("accelerators_per_worker", 1, kMaxPerWorker));
  guarantee.mAdjacency = ReadAdjacency(fields, aProblems);
  const auto zone = fields.Name("zone", Presence::Optional);
  if (!zone.empty()) {
    guarantee.mZone = ZoneId(zone);
  }
  fields.ReportUnknown();
  return guarantee;
}

TokenHash
ReadTokenHash(FieldReader& aFields, ProblemList& aProblems)
{
  const auto text = aFields.Text("token_sha256");
  const bool valid =
    text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!valid && !text.empty()) {
    aProblems.Add(
      aFields.PathOf("token_sha256"),
      "must be 64 lower-case hexadecimal digits, as printed by 'lovagerock hash-token'");
  }
  return TokenHash(valid ? text : "");
}

Account
ReadAccount(const Json& aValue, const std::string& aPath, ProblemList& aProblems)
{
  FieldReader fields(aValue, aPath, aProblems);
  Account account;
  account.mName = AccountId(fields.Name("name"));
  account.mTokenHash = ReadTokenHash(fields, aProblems);
  account.mWeight = ShareWeight(fields.Whole("weight", 1, kMaxWeight));
  if (const auto* quota = fields.Object("quota")) {
    account.mQuota = ReadQuota(*quota, fields.PathOf("quota"), aProblems);
  }
  fields.List("guarantees", Presence::Optional,
              [&](const Json& aItem, const std::string& aItemPath) {
                account.mGuarantees.push_back(ReadGuarantee(aItem, aItemPath, aProblems));
              });
  fields.ReportUnknown();
  return account;
}

AccountId
ReadCaller(const Json& aValue, const std::string& aPath, ProblemList& aProblems)
{
  if (!aValue.is_string() || !IsName(aValue.get_ref<const std::string&>())) {
    aProblems.Add(aPath, "must be the name of an account, not " + Describe(aValue));
    return {};
  }
  return AccountId(aValue.get<std::string>());
}

Service
ReadService(const Json& aValue, const std::string& aPath, ProblemList& aProblems)
{
  FieldReader fields(aValue, aPath, aProblems);
  Service service;
  service.mName = ServiceId(fields.Name("name"));
  service.mAccount = AccountId(fields.Name("account"));
  fields.List("callers", Presence::Required, [&](const Json& aItem, const std::string& aItemPath) {
    service.mCallers.push_back(ReadCaller(aItem, aItemPath, aProblems));
  });
  service.mSlots = Slots(fields.Whole("slots", 1, kMaxTotal));
  service.mAcceleratorsPerSlot =
    Accelerators(fields.Whole("accelerators_per_slot", 0, kMaxPerWorker));
  service.mIdempotent = fields.Boolean("idempotent");
  service.mTimeout = Duration(fields.Whole("timeout_ms", 1, kMaxTimeoutMs));
  service.mQueueLimit = QueueLimit(fields.Whole("queue_limit", 0, kMaxTotal));
  fields.ReportUnknown();
  return service;
}

Document
ReadDocument(const Json& aValue, ProblemList& aProblems)
{
  FieldReader fields(aValue, "", aProblems);
  Document document;
  fields.Whole("format", kFormat, kFormat);
  document.mDeployment = DeploymentId(fields.Name("deployment"));
  if (const auto* weights = fields.Object("weights")) {
    document.mWeights = ReadWeights(*weights, "weights", aProblems);
  }
  fields.List("accounts", Presence::Required, [&](const Json& aItem, const std::string& aPath) {
    document.mAccounts.push_back(ReadAccount(aItem, aPath, aProblems));
  });
  fields.List("services", Presence::Optional, [&](const Json& aItem, const std::string& aPath) {
    document.mServices.push_back(ReadService(aItem, aPath, aProblems));
  });
  fields.ReportUnknown();
  return document;
}

ReadResult
Read(const Json& aValue, ProblemList& aProblems)
{
  auto document = ReadDocument(aValue, aProblems);
  CheckDocument(document, aProblems);
  if (!aProblems.IsEmpty()) {
    return { std::nullopt, aProblems.Take(), {} };
  }
  FindIneffective(document, aProblems);
  auto findings = aProblems.Take();
  SortDocument(document);
  return { std::move(document), {}, std::move(findings) };
}

} // namespace
} // namespace detail

ReadResult
ReadYaml(std::string_view aText, const std::string& aFile)
{
  ProblemList problems(aFile);
  const auto tree = ReadYamlTree(aText, problems);
  if (!tree) {
    return { std::nullopt, problems.Take(), {} };
  }
  return detail::Read(*tree, problems);
}

ReadResult
ReadJson(const Json& aValue, const std::string& aFile)
{
  ProblemList problems(aFile);
  return detail::Read(aValue, problems);
}

} // namespace lovagerock::config
