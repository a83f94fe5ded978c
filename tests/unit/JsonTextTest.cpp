#include "hawthornroad/config/JsonText.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;
using Catch::Matchers::Contains;

namespace {
std::string faultsOf(const std::string &Text) {
  try {
    parseJsonText(Text, "a.jsonc");
  } catch (const TextError &E) {
    return describeFaults("a.jsonc", E.faults());
  }
  return "";
}
} // namespace

TEST_CASE("json text, with comments and a trailing comma, is read with lines",
          "[json]") {
  JsonNode Root = parseJsonText("// head\n{\"a\": 1, /* two\nlines */\n\"b\":"
                                "\n[true, null, 2.5, \"x\"],\n}\n// tail\n",
                                "a.jsonc");
  REQUIRE(Root.Line_ == 2);
  REQUIRE(Root.find("a")->Line_ == 2);
  REQUIRE(Root.find("b")->Line_ == 5);
  REQUIRE(Root.find("c") == nullptr);
  REQUIRE(boost::json::serialize(toJson(Root)) ==
          "{\"a\":1,\"b\":[true,null,2.5E0,\"x\"]}");
}

TEST_CASE("json text, invalid, is rejected with the line", "[json]") {
  struct Case {
    std::string Text_;
    std::string Expected_;
  };
  const std::vector<Case> Cases = {
      {"", "a.jsonc:1: not JSON"},
      {"{\"a\": 1", "a.jsonc:1: not JSON: incomplete"},
      {"{\"a\":\n1\n", "a.jsonc:2: not JSON: incomplete"},
      {"{\n\"a\": 1\n\"b\": 2}", "a.jsonc:3: not JSON"},
      {"{\"a\": }", "a.jsonc:1: not JSON"},
      {"{\"a\": 1}\n{\"b\": 2}", "a.jsonc:2: not JSON"},
      {"{\"a\": 1} x", "a.jsonc:1: not JSON"},
      {"{\"a\": {\"b\": 1,\n\"b\": 2}}", "a.jsonc:2: b: key stands twice"},
      {"{\"a\": \"\xff\"}", "not JSON"},
      {std::string(100, '['), "not JSON"},
      {std::string(MaxJsonText + 1, ' '), "is above the limit of 4194304"},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.Text_.substr(0, 40));
    REQUIRE_THAT(faultsOf(Each.Text_), Contains(Each.Expected_));
  }
}

TEST_CASE("json text, duplicate keys in two places, reports both", "[json]") {
  REQUIRE_THAT(faultsOf("{\"a\": 1,\n\"a\": 2,\n\"b\": 1, \"b\": 1}"),
               Contains(":2: a") && Contains(":3: b"));
}

TEST_CASE("text file, missing, is an error with its name", "[json]") {
  REQUIRE_THROWS_WITH(readTextFile("/nonexistent/a.jsonc", Step::Settings),
                      Contains("/nonexistent/a.jsonc"));
}
