#include "hawthornroad/config/MergePatch.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;
namespace json = boost::json;

namespace {
struct PatchCase {
  const char *Target_;
  const char *Patch_;
  const char *Result_;
};
} // namespace

TEST_CASE("merge patch, on the cases of RFC 7386, gives its results",
          "[mergepatch]") {
  auto Each = GENERATE(values<PatchCase>({
      {R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
      {R"({"a":"b"})", R"({"b":"c"})", R"({"a":"b","b":"c"})"},
      {R"({"a":"b"})", R"({"a":null})", R"({})"},
      {R"({"a":"b","b":"c"})", R"({"a":null})", R"({"b":"c"})"},
      {R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})"},
      {R"({"a":"c"})", R"({"a":["b"]})", R"({"a":["b"]})"},
      {R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})",
       R"({"a":{"b":"d"}})"},
      {R"({"a":[{"b":"c"}]})", R"({"a":[1]})", R"({"a":[1]})"},
      {R"(["a","b"])", R"(["c","d"])", R"(["c","d"])"},
      {R"({"a":"b"})", R"(["c"])", R"(["c"])"},
      {R"({"a":"foo"})", R"("bar")", R"("bar")"},
      {R"({"e":null})", R"({"a":1})", R"({"e":null,"a":1})"},
      {R"([1,2])", R"({"a":"b","c":null})", R"({"a":"b"})"},
      {R"({})", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})"},
  }));
  CHECK(canonicalText(applyMergePatch(json::parse(Each.Target_),
                                      json::parse(Each.Patch_))) ==
        canonicalText(json::parse(Each.Result_)));
}

TEST_CASE("merge patch made of two texts turns the one into the other",
          "[mergepatch]") {
  auto Pair = GENERATE(values<std::pair<const char *, const char *>>({
      {R"({})", R"({"a":{"b":1}})"},
      {R"({"a":{"b":1,"c":[1,2]}})", R"({"a":{"c":[2]}})"},
      {R"({"a":{"b":1}})", R"({"a":7})"},
      {R"({"a":7})", R"({"a":{}})"},
      {R"({"a":{"b":{}}})", R"({"a":{"b":{}}})"},
      {R"(null)", R"({"a":2.5})"},
  }));
  json::value From = json::parse(Pair.first);
  json::value To = json::parse(Pair.second);
  json::value Patch = makeMergePatch(From, To);
  CHECK(canonicalText(applyMergePatch(From, Patch)) == canonicalText(To));
  if (From == To)
    CHECK(canonicalText(Patch) == "{}");
}

TEST_CASE("canonical text, read back and written again, stays as it is",
          "[mergepatch]") {
  auto Text = GENERATE(
      as<std::string>(), R"({"b":1,"a":{"d":[],"c":"\u0001\"x"}})",
      R"([3.3,0.1,1e20,-0.0,1.0,123456.789,2.2250738585072014e-300,-4])",
      R"([9223372036854775807,-9223372036854775808,18446744073709551615])");
  std::string Once = canonicalText(json::parse(Text));
  CHECK(canonicalText(json::parse(Once)) == Once);
  CHECK(textDigest(json::parse(Once)) == textDigest(json::parse(Text)));
}

TEST_CASE("canonical text, of doubles a unit in the last place apart, is equal",
          "[mergepatch]") {
  double Value = 3.3;
  double Next = std::nextafter(Value, 4.0);
  REQUIRE(Value != Next);
  CHECK(textDigest(json::value(Value)) == textDigest(json::value(Next)));
  CHECK(canonicalText(json::parse(R"({"b":[1, 2.50],"a":true})")) ==
        R"({"a":true,"b":[1,2.5]})");
}
