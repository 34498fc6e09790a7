#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lovagerock {

// A text identifier whose type is distinct for each Tag, so that ids of different kinds can't be
// mixed up. An empty id means "none".
template<typename Tag>
class StrongId
{
public:
  StrongId() = default;
  explicit StrongId(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  const std::string& Value() const { return mValue; }
  bool IsEmpty() const { return mValue.empty(); }

  // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
  auto operator<=>(const StrongId&) const = default; // NOLINT(modernize-use-nullptr)

private:
  std::string mValue;
};

template<typename Tag>
std::ostream&
operator<<(std::ostream& aStream, const StrongId<Tag>& aId)
{
  return aStream << aId.Value();
}

} // namespace lovagerock

template<typename Tag>
struct std::hash<lovagerock::StrongId<Tag>>
{
  std::size_t operator()(const lovagerock::StrongId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.Value());
  }
};
