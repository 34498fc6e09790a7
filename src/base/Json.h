#pragma once

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace lovagerock {

using Json = nlohmann::json;

namespace detail {

template<typename T>
concept JsonInteger = std::integral<T> && !std::same_as<T, bool>;

template<typename T>
inline constexpr bool kIsVector = false;
template<typename T>
inline constexpr bool kIsVector<std::vector<T>> = true;

// Throws a Json::exception.
[[noreturn]] void
ThrowNotANumber(const Json& aValue);
[[noreturn]] void
ThrowOutOfRange(const Json& aValue);

// 2 to the power of aExponent; exact.
constexpr double
PowerOfTwo(int aExponent)
{
  double power = 1;
  for (int i = 0; i < aExponent; ++i) {
    power *= 2;
  }
  return power;
}

template<JsonInteger T>
T
ConvertInteger(const Json& aValue)
{
  if (!aValue.is_number()) {
    ThrowNotANumber(aValue);
  }
  if (aValue.is_number_float()) {
    constexpr double kLimit = PowerOfTwo(std::numeric_limits<T>::digits);
    constexpr double kLowest = std::is_signed_v<T> ? -kLimit : 0;
    const auto number = aValue.get<double>();
    if (!(number >= kLowest && number < kLimit)) {
      ThrowOutOfRange(aValue);
    }
    return static_cast<T>(number);
  }
  const bool isInRange = aValue.is_number_unsigned() ? std::in_range<T>(aValue.get<std::uint64_t>())
                                                     : std::in_range<T>(aValue.get<std::int64_t>());
  if (!isInRange) {
    ThrowOutOfRange(aValue);
  }
  return aValue.get<T>();
}

} // namespace detail

// Reads JSON text; nothing if it is malformed or nested too deeply.
std::optional<Json>
ParseJson(std::string_view aText);

// Whether the text, JSON or CBOR, is well-formed and not nested too deeply to be handled by
// recursive functions.
bool
IsWellFormedJson(std::string_view aText, Json::input_format_t aFormat = Json::input_format_t::json);

// Writes JSON text; bytes that aren't UTF-8 are replaced.
std::string
DumpJson(const Json& aValue);

// Converts a value to T; throws a Json::exception if it has another type. Unlike Json::get(), also
// throws if T is an integer type that doesn't hold the number. Drops the fraction of a number if T
// is an integer type.
template<typename T>
T
ConvertJson(const Json& aValue)
{
  if constexpr (detail::JsonInteger<T>) {
    return detail::ConvertInteger<T>(aValue);
  } else if constexpr (detail::kIsVector<T>) {
    T values;
    for (const auto& it : aValue.get_ref<const Json::array_t&>()) {
      values.push_back(ConvertJson<typename T::value_type>(it));
    }
    return values;
  } else {
    return aValue.get<T>();
  }
}

// The member of an object, converted as by ConvertJson(). Throws a Json::exception if it is absent.
template<typename T>
T
JsonAt(const Json& aObject, const char* aKey)
{
  return ConvertJson<T>(aObject.at(aKey));
}

// A number; throws a Json::exception if it isn't from aLowest to aHighest.
template<typename T>
T
JsonInRange(const Json& aValue, T aLowest, T aHighest)
{
  const auto number = ConvertJson<T>(aValue);
  if (!(number >= aLowest && number <= aHighest)) {
    detail::ThrowOutOfRange(aValue);
  }
  return number;
}

// The member of an object if it is present and ConvertJson() converts it to T, else the default.
template<typename T>
T
JsonValue(const Json& aObject, std::string_view aKey, T aDefault)
{
  if (!aObject.is_object()) {
    return aDefault;
  }
  const auto it = aObject.find(aKey);
  if (it == aObject.end()) {
    return aDefault;
  }
  try {
    return ConvertJson<T>(*it);
  } catch (const Json::exception&) {
    return aDefault;
  }
}

} // namespace lovagerock
