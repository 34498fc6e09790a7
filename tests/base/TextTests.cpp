#include "base/Hash.h"
#include "base/Json.h"
#include "base/Random.h"
#include "base/Settings.h"
#include "base/SocketAddress.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace lovagerock;

Test(SocketAddress, rejects_names_and_ports_out_of_range)
{
  cr_assert(SocketAddress::Parse("127.0.0.1:80").has_value());
  cr_assert_not(SocketAddress::Parse("localhost:80").has_value());
  cr_assert_not(SocketAddress::Parse("127.0.0.1:65536").has_value());
  cr_assert_not(SocketAddress::Parse("127.0.0.1:").has_value());
  cr_assert_not(SocketAddress::Parse("127.0.0.1:8x").has_value());
  cr_assert_not(SocketAddress::Parse("127.0.0.1:99999999999").has_value());
  cr_assert_not(SocketAddress::Parse("127.0.0.1:-1").has_value());
  cr_assert_not(SocketAddress::Parse("127.0.0.1").has_value());
}

// Guards against stack exhaustion by hostile nesting.
Test(Json, rejects_malformed_and_deeply_nested_text)
{
  cr_assert(ParseJson(R"({"a":[1]})").has_value());
  cr_assert_not(ParseJson("{").has_value());
  cr_assert_not(ParseJson(std::string(100000, '[')).has_value());
  const auto deep = std::string(100000, '[') + std::string(100000, ']');
  cr_assert_not(ParseJson(deep).has_value());
  cr_assert_not(ParseJson("{\"a\":" + deep + "}").has_value());
}

// Guards against a number that ends the process or is read as infinite.
Test(Json, rejects_numbers_that_no_type_holds)
{
  cr_assert_not(ParseJson("1e999").has_value());
  cr_assert_not(ParseJson("{\"a\":[-1e999]}").has_value());
}

// Guards against a time to read that grows with the square of the number of elements: a list of
// this size then takes many minutes, in which the process answers nobody.
Test(Json, reads_long_lists_of_objects, .timeout = 120)
{
  constexpr int kElements = 1000000;
  std::string text = "[{}";
  for (int i = 1; i < kElements; ++i) {
    text += ",{}";
  }
  cr_assert_eq(ParseJson(text + "]")->size(), kElements);
}

// Guards against a number out of range that is cut to another number, or whose conversion has no
// defined result.
Test(Json, takes_the_default_for_numbers_out_of_range)
{
  const auto numbers = *ParseJson(
    R"({"float":1e300,"negative":-1,"byte":256,"int":4294967297,"large":9223372036854775808,)"
    R"("bool":true,"list":[1,4294967297],"part":7.9,"exact":9007199254740993})");
  cr_assert_eq(JsonValue(numbers, "float", std::int64_t{ 5 }), 5);
  cr_assert_eq(JsonValue(numbers, "float", std::uint64_t{ 5 }), 5);
  cr_assert_eq(JsonValue(numbers, "negative", std::uint64_t{ 5 }), 5);
  cr_assert_eq(JsonValue(numbers, "byte", std::uint8_t{ 5 }), 5);
  cr_assert_eq(JsonValue(numbers, "int", 5), 5);
  cr_assert_eq(JsonValue(numbers, "large", std::int64_t{ 5 }), 5);
  cr_assert_eq(JsonValue(numbers, "large", std::uint64_t{ 5 }), 9223372036854775808U);
  cr_assert_eq(JsonValue(numbers, "bool", 5), 5);
  cr_assert(JsonValue(numbers, "list", std::vector<int>()).empty());
  cr_assert_eq(JsonValue(numbers, "part", 5), 7);
  cr_assert_eq(JsonValue(numbers, "exact", std::int64_t{ 5 }), 9007199254740993);
}

Test(Hash, is_the_same_on_every_node)
{
  cr_assert_eq(HashText(""), 0x2d06800538d394c2ULL);
  cr_assert_eq(Sha256Hex("abc"),
               std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"));
}

Test(Random, repeats_its_numbers_for_a_seed)
{
  Random left(7);
  Random right(7);
  cr_assert_eq(left.Token(), right.Token());
  cr_assert_eq(left.Below(1000), right.Below(1000));
}

// Guards against a misspelled setting that is silently ignored.
Test(Settings, names_the_invalid_flag)
{
  CLI::App app("test");
  SocketAddress address;
  AddSetting(app, "--listen", address, "address");
  const char* arguments[] = { "test", "--listen", "nowhere" };
  int status = 0;
  cr_assert_not(ParseSettings(app, 3, arguments, status));
  cr_assert_eq(status, kExitUsage);
  cr_assert_eq(EnvironmentName("--peer-listen"), std::string("LOVAGEROCK_PEER_LISTEN"));
}
