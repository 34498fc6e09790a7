#include "config/FieldReader.h"

#include <algorithm>
#include <utility>

namespace lovagerock::config {

namespace detail {
namespace {

constexpr std::size_t kMaxText = 256;
constexpr std::size_t kMaxName = 64;

} // namespace
} // namespace detail

FieldReader::FieldReader(const Json& aValue, std::string aPath, ProblemList& aProblems)
  : mValue(aValue)
  , mIsObject(aValue.is_object())
  , mPath(std::move(aPath))
  , mProblems(aProblems)
{
  if (!mIsObject) {
    mProblems.Add(mPath, "must be a map of fields, not " + Describe(aValue));
  }
}

std::string
FieldReader::PathOf(std::string_view aField) const
{
  return mPath + (mPath.empty() ? "" : ".") + std::string(aField);
}

const Json*
FieldReader::Take(const std::string& aField, Presence aPresence)
{
  mKnown.push_back(aField);
  if (!mIsObject) {
    return nullptr;
  }
  const auto it = mValue.find(aField);
  if (it != mValue.end()) {
    return &*it;
  }
  if (aPresence == Presence::Required) {
    mProblems.Add(PathOf(aField), "the field is missing");
  }
  return nullptr;
}

void
FieldReader::WrongType(const std::string& aField, std::string_view aExpected, const Json& aValue)
{
  mProblems.Add(PathOf(aField), "must be " + std::string(aExpected) + ", not " + Describe(aValue));
}

std::string
FieldReader::Text(const std::string& aField, Presence aPresence)
{
  const auto* value = Take(aField, aPresence);
  if (!value) {
    return {};
  }
  if (!value->is_string()) {
    WrongType(aField, "text (quote a text that looks like a number)", *value);
    return {};
  }
  auto text = value->get<std::string>();
  if (text.size() > detail::kMaxText) {
    mProblems.Add(PathOf(aField), "must have at most 256 characters");
    return {};
  }
  return text;
}

std::string
FieldReader::Name(const std::string& aField, Presence aPresence)
{
  const auto* value = Take(aField, aPresence);
  if (!value) {
    return {};
  }
  if (!value->is_string()) {
    WrongType(aField, "a name (quote a name that looks like a number)", *value);
    return {};
  }
  auto name = value->get<std::string>();
  if (!IsName(name)) {
    mProblems.Add(PathOf(aField), Quote(name) + " is not a name of 1 to 64 letters, digits, '.', "
                                                "'_' and '-' that starts with a letter or digit");
    return {};
  }
  return name;
}

std::int64_t
FieldReader::Whole(const std::string& aField, std::int64_t aLowest, std::int64_t aHighest)
{
  const auto* value = Take(aField, Presence::Required);
  if (!value) {
    return aLowest;
  }
  if (!value->is_number_integer()) {
    WrongType(aField, "a whole number", *value);
    return aLowest;
  }
  const bool tooLarge = value->is_number_unsigned() &&
                        value->get<std::uint64_t>() > static_cast<std::uint64_t>(aHighest);
  const auto number = tooLarge ? aHighest : value->get<std::int64_t>();
  if (tooLarge || number < aLowest || number > aHighest) {
    mProblems.Add(PathOf(aField), "must be from " + std::to_string(aLowest) + " to " +
                                    std::to_string(aHighest) + ", not " + value->dump());
    return aLowest;
  }
  return number;
}

double
FieldReader::Fraction(const std::string& aField)
{
  const auto* value = Take(aField, Presence::Required);
  if (!value) {
    return 0;
  }
  if (!value->is_number()) {
    WrongType(aField, "a number", *value);
    return 0;
  }
  const auto number = value->get<double>();
  if (!(number >= 0 && number <= 1)) {
    mProblems.Add(PathOf(aField), "must be from 0 to 1, not " + value->dump());
    return 0;
  }
  // Turns a negative zero into 0, because the two differ in canonical text.
  return number + 0.0;
}

bool
FieldReader::Boolean(const std::string& aField)
{
  const auto* value = Take(aField, Presence::Required);
  if (value && !value->is_boolean()) {
    WrongType(aField, "true or false", *value);
  }
  return value && value->is_boolean() && value->get<bool>();
}

const Json*
FieldReader::Object(const std::string& aField)
{
  return Take(aField, Presence::Required);
}

void
FieldReader::List(const std::string& aField, Presence aPresence, const ItemReader& aReadItem)
{
  const auto* value = Take(aField, aPresence);
  if (!value) {
    return;
  }
  if (!value->is_array()) {
    WrongType(aField, "a list", *value);
    return;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    aReadItem((*value)[i], PathOf(aField) + "[" + std::to_string(i) + "]");
  }
}

void
FieldReader::ReportUnknown()
{
  if (!mIsObject) {
    return;
  }
  for (const auto& it : mValue.items()) {
    if (std::find(mKnown.begin(), mKnown.end(), it.key()) == mKnown.end()) {
      mProblems.Add(PathOf(it.key()), "unknown field");
    }
  }
}

bool
IsName(std::string_view aText)
{
  constexpr std::string_view kLettersAndDigits =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
  if (aText.empty() || aText.size() > detail::kMaxName) {
    return false;
  }
  const auto valid = [kLettersAndDigits](char aByte) {
    return kLettersAndDigits.find(aByte) != std::string_view::npos || aByte == '.' ||
           aByte == '_' || aByte == '-';
  };
  return kLettersAndDigits.find(aText.front()) != std::string_view::npos &&
         std::all_of(aText.begin(), aText.end(), valid);
}

std::string
Describe(const Json& aValue)
{
  switch (aValue.type()) {
    case Json::value_t::null:
      return "empty";
    case Json::value_t::object:
      return "a map of fields";
    case Json::value_t::array:
      return "a list";
    case Json::value_t::string:
      return "the text " + Quote(aValue.get_ref<const std::string&>());
    default:
      return aValue.dump();
  }
}

} // namespace lovagerock::config
