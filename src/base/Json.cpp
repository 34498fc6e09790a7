#include "base/Json.h"

namespace lovagerock {

namespace detail {
namespace {

// Deeper nesting than any valid message has would only serve to exhaust the stack.
constexpr int kMaxDepth = 64;

// Accepts values up to the permitted depth without building them.
class DepthCheck : public nlohmann::json_sax<Json>
{
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++mDepth <= kMaxDepth; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return --mDepth >= 0; }
  bool start_array(std::size_t) override { return ++mDepth <= kMaxDepth; }
  bool end_array() override { return --mDepth >= 0; }
  bool parse_error(std::size_t, const std::string&, const Json::exception&) override
  {
    return false;
  }

private:
  int mDepth = 0;
};

} // namespace

void
ThrowNotANumber(const Json& aValue)
{
  throw Json::type_error::create(302, "not a number", &aValue);
}

void
ThrowOutOfRange(const Json& aValue)
{
  throw Json::out_of_range::create(406, "number out of range", &aValue);
}

} // namespace detail

bool
IsWellFormedJson(std::string_view aText, Json::input_format_t aFormat)
{
  detail::DepthCheck check;
  return Json::sax_parse(aText.begin(), aText.end(), &check, aFormat);
}

std::optional<Json>
ParseJson(std::string_view aText)
{
  // The depth is checked in a pass of its own, because Json::parse() with a callback takes a time
  // that grows with the square of the number of elements.
  if (!IsWellFormedJson(aText)) {
    return std::nullopt;
  }
  return Json::parse(aText, nullptr, false);
}

std::string
DumpJson(const Json& aValue)
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace lovagerock
