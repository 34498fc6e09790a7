#include "peer/Cbor.h"

namespace lovagerock::peer {

namespace detail {
namespace {

// The parser is recursive, and a hostile body could exhaust the stack.
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
} // namespace detail

std::string
EncodeCbor(const Json& aValue)
{
  std::string bytes;
  Json::to_cbor(aValue, bytes);
  return bytes;
}

std::optional<Json>
DecodeCbor(std::string_view aBytes)
{
  detail::DepthCheck check;
  if (!Json::sax_parse(aBytes.begin(), aBytes.end(), &check, Json::input_format_t::cbor)) {
    return std::nullopt;
  }
  auto value = Json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  return value.is_discarded() ? std::nullopt : std::optional(std::move(value));
}

} // namespace lovagerock::peer
