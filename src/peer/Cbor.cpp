#include "peer/Cbor.h"

namespace lovagerock::peer {

namespace {

// Counts values and keys without building them, and stops at too many.
class ValueCounter : public nlohmann::json_sax<Json>
{
public:
  explicit ValueCounter(std::size_t aMaxValues)
    : mMaxValues(aMaxValues)
  {
  }

  bool null() override { return Count(); }
  bool boolean(bool) override { return Count(); }
  bool number_integer(number_integer_t) override { return Count(); }
  bool number_unsigned(number_unsigned_t) override { return Count(); }
  bool number_float(number_float_t, const string_t&) override { return Count(); }
  bool string(string_t&) override { return Count(); }
  bool binary(binary_t&) override { return Count(); }
  bool start_object(std::size_t) override { return Count(); }
  bool key(string_t&) override { return Count(); }
  bool end_object() override { return true; }
  bool start_array(std::size_t) override { return Count(); }
  bool end_array() override { return true; }
  bool parse_error(std::size_t, const std::string&, const Json::exception&) override
  {
    return false;
  }

private:
  bool Count() { return ++mValues <= mMaxValues; }

  std::size_t mMaxValues;
  std::size_t mValues = 0;
};

bool
HasTooManyValues(std::string_view aBytes, std::size_t aMaxValues)
{
  ValueCounter counter(aMaxValues);
  return aMaxValues > 0 &&
         !Json::sax_parse(aBytes.begin(), aBytes.end(), &counter, Json::input_format_t::cbor);
}

} // namespace

std::string
EncodeCbor(const Json& aValue)
{
  std::string bytes;
  Json::to_cbor(aValue, bytes);
  return bytes;
}

std::optional<Json>
DecodeCbor(std::string_view aBytes, std::size_t aMaxValues)
{
  // The parser is recursive, and a hostile body could exhaust the stack. A value takes many times
  // the memory of its byte on the wire.
  if (!IsWellFormedJson(aBytes, Json::input_format_t::cbor) ||
      HasTooManyValues(aBytes, aMaxValues)) {
    return std::nullopt;
  }
  auto value = Json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  return value.is_discarded() ? std::nullopt : std::optional(std::move(value));
}

} // namespace lovagerock::peer
