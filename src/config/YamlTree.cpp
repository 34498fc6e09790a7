#include "config/YamlTree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <charconv>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace lovagerock::config {

namespace detail {
namespace {

// The deepest valid path, accounts[].guarantees[].zone, has six levels.
constexpr std::size_t kMaxDepth = 16;
// With the depth limit, this bounds the length of a field path.
constexpr std::size_t kMaxFieldName = 128;

// Ends the parse; the problem has been added.
struct Abort
{};

template<typename Number>
std::optional<Number>
ParseNumber(const std::string& aText)
{
  Number value{};
  const auto* last = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), last, value);
  if (result.ec != std::errc() || result.ptr != last) {
    return std::nullopt;
  }
  return value;
}

// Resolves a plain scalar. Hexadecimal and octal forms stay text.
Json
ResolvePlain(const std::string& aText)
{
  if (aText == "true" || aText == "false") {
    return aText == "true";
  }
  // Excludes names that from_chars takes as numbers, such as "inf" and "nan".
  if (aText.find_first_not_of("0123456789+-.eE") != std::string::npos) {
    return aText;
  }
  if (const auto whole = ParseNumber<std::int64_t>(aText)) {
    return *whole;
  }
  if (const auto fraction = ParseNumber<double>(aText)) {
    return *fraction;
  }
  return aText;
}

// A value that is being read.
struct Frame
{
  Json mValue;
  std::string mPath;
  YAML::anchor_t mAnchor = YAML::NullAnchor;
  std::size_t mFirstNode = 0;
  bool mHasKey = false;
  std::string mKey;
};

// A value that an alias can repeat.
struct Anchored
{
  Json mValue;
  std::size_t mNodes = 0;
};

// Builds the tree from the parser's events.
class TreeBuilder : public YAML::EventHandler
{
public:
  explicit TreeBuilder(ProblemList& aProblems)
    : mProblems(aProblems)
  {
  }

  std::size_t Documents() const { return mDocuments; }
  Json TakeRoot() { return std::move(mRoot); }

  void OnDocumentStart(const YAML::Mark& aMark) override
  {
    if (++mDocuments > 1) {
      Fail(aMark, "", "a file holds one document; another one starts here");
    }
  }
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& aMark, YAML::anchor_t aAnchor) override
  {
    Scalar(aMark, aAnchor, nullptr, "");
  }

  void OnScalar(const YAML::Mark& aMark, const std::string& aTag, YAML::anchor_t aAnchor,
                const std::string& aValue) override
  {
    CheckTag(aMark, aTag);
    Scalar(aMark, aAnchor, aTag == "?" ? ResolvePlain(aValue) : Json(aValue), aValue);
  }

  void OnAlias(const YAML::Mark& aMark, YAML::anchor_t aAnchor) override
  {
    const auto path = BeginValue(aMark);
    const auto it = mAnchored.find(aAnchor);
    if (it == mAnchored.end()) {
      Fail(aMark, path, "an alias can't repeat a value that contains it");
    }
    CountNodes(aMark, path, it->second.mNodes);
    EndValue(path, it->second.mValue);
  }

  void OnSequenceStart(const YAML::Mark& aMark, const std::string& aTag, YAML::anchor_t aAnchor,
                       YAML::EmitterStyle::value) override
  {
    Open(aMark, aTag, aAnchor, Json::array());
  }
  void OnMapStart(const YAML::Mark& aMark, const std::string& aTag, YAML::anchor_t aAnchor,
                  YAML::EmitterStyle::value) override
  {
    Open(aMark, aTag, aAnchor, Json::object());
  }
  void OnSequenceEnd() override { Close(); }
  void OnMapEnd() override { Close(); }

private:
  [[noreturn]] void
  Fail(const YAML::Mark& aMark, const std::string& aPath, const std::string& aMessage)
  {
    mProblems.AddAt(aMark.line + 1, aPath, aMessage);
    throw Abort();
  }

  void CheckTag(const YAML::Mark& aMark, const std::string& aTag)
  {
    if (!aTag.empty() && aTag != "?" && aTag != "!") {
      mProblems.AddAt(aMark.line + 1, "", "tags are not supported: " + Quote(aTag));
    }
  }

  void CountNodes(const YAML::Mark& aMark, const std::string& aPath, std::size_t aNodes)
  {
    mNodes += aNodes;
    if (mNodes > kMaxNodes) {
      Fail(aMark, aPath,
           "the file has more than " + std::to_string(kMaxNodes) + " values, aliases expanded");
    }
  }

  bool ExpectsKey() const
  {
    return !mFrames.empty() && mFrames.back().mValue.is_object() && !mFrames.back().mHasKey;
  }

  // Gives the path of the value that starts here and registers its line.
  std::string BeginValue(const YAML::Mark& aMark)
  {
    if (ExpectsKey()) {
      Fail(aMark, mFrames.back().mPath, "a field name must be a plain word");
    }
    std::string path;
    if (!mFrames.empty()) {
      const auto& frame = mFrames.back();
      path = frame.mValue.is_object()
               ? frame.mPath + (frame.mPath.empty() ? "" : ".") + frame.mKey
               : frame.mPath + "[" + std::to_string(frame.mValue.size()) + "]";
    }
    mProblems.SetLine(path, aMark.line + 1);
    return path;
  }

  void EndValue(const std::string& aPath, Json aValue)
  {
    if (mFrames.empty()) {
      mRoot = std::move(aValue);
      return;
    }
    auto& frame = mFrames.back();
    if (frame.mValue.is_array()) {
      frame.mValue.push_back(std::move(aValue));
      return;
    }
    frame.mHasKey = false;
    if (mDuplicate.erase(aPath) == 0) {
      frame.mValue[frame.mKey] = std::move(aValue);
    }
  }

  void
  Scalar(const YAML::Mark& aMark, YAML::anchor_t aAnchor, Json aValue, const std::string& aText)
  {
    if (ExpectsKey()) {
      Key(aMark, aText);
      return;
    }
    const auto path = BeginValue(aMark);
    CountNodes(aMark, path, 1);
    if (aAnchor != YAML::NullAnchor) {
      mAnchored[aAnchor] = { aValue, 1 };
    }
    EndValue(path, std::move(aValue));
  }

  void Key(const YAML::Mark& aMark, const std::string& aName)
  {
    auto& frame = mFrames.back();
    if (aName.empty() || aName.size() > kMaxFieldName) {
      Fail(aMark, frame.mPath, "a field name has 1 to 128 characters");
    }
    frame.mKey = aName;
    frame.mHasKey = true;
    if (frame.mValue.contains(aName)) {
      const auto path = frame.mPath + (frame.mPath.empty() ? "" : ".") + aName;
      mProblems.AddAt(aMark.line + 1, path, "the field appears twice");
      mDuplicate.insert(path);
    }
  }

  void Open(const YAML::Mark& aMark, const std::string& aTag, YAML::anchor_t aAnchor, Json aEmpty)
  {
    CheckTag(aMark, aTag);
    auto path = BeginValue(aMark);
    CountNodes(aMark, path, 1);
    if (mFrames.size() >= kMaxDepth) {
      Fail(aMark, path, "values are nested too deeply");
    }
    mFrames.push_back({ std::move(aEmpty), std::move(path), aAnchor, mNodes - 1, false, "" });
  }

  void Close()
  {
    auto frame = std::move(mFrames.back());
    mFrames.pop_back();
    if (frame.mAnchor != YAML::NullAnchor) {
      mAnchored[frame.mAnchor] = { frame.mValue, mNodes - frame.mFirstNode };
    }
    EndValue(frame.mPath, std::move(frame.mValue));
  }

  ProblemList& mProblems;
  std::vector<Frame> mFrames;
  std::map<YAML::anchor_t, Anchored> mAnchored;
  // Fields whose second value is read and dropped.
  std::set<std::string> mDuplicate;
  std::size_t mNodes = 0;
  std::size_t mDocuments = 0;
  Json mRoot;
};

} // namespace
} // namespace detail

std::optional<Json>
ReadYamlTree(std::string_view aText, ProblemList& aProblems)
{
  if (aText.size() > kMaxFileBytes) {
    aProblems.AddAt(0, "", "the file is larger than 1 MiB");
    return std::nullopt;
  }
  detail::TreeBuilder builder(aProblems);
  try {
    std::istringstream stream{ std::string(aText) };
    YAML::Parser parser(stream);
    while (parser.HandleNextDocument(builder)) {
    }
  } catch (const detail::Abort&) {
    return std::nullopt;
  } catch (const YAML::Exception& e) {
    aProblems.AddAt(e.mark.is_null() ? 0 : e.mark.line + 1, "", "not valid YAML: " + e.msg);
    return std::nullopt;
  }
  if (builder.Documents() == 0) {
    aProblems.AddAt(1, "", "the file is empty");
    return std::nullopt;
  }
  return builder.TakeRoot();
}

} // namespace lovagerock::config
