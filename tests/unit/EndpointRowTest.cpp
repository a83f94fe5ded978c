// Rows of the endpoint list that were written by others than endpoints.

#include "hawthornroad/entry/RowFaults.h"
#include "platform/RepeatedKeys.h"
#include "platform/StoreWire.h"
#include "tests/unit/TrafficFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
// A sound row, with one field replaced by Text, or left out when it is empty.
std::string rowWith(const std::string &Field, const std::string &Text) {
  const std::vector<std::pair<std::string, std::string>> Sound = {
      {"service", R"("lm")"},
      {"address", R"("10.0.0.1:80")"},
      {"zone", R"("z")"},
      {"state", R"("ready")"},
      {"slots", "16"},
      {"born", "1700000000123"},
      {"cold_remaining_ms", "1500"},
      {"models", R"([{"name":"m","version":3,"adapters":[]}])"}};
  std::string Out = "{";
  for (const auto &[Name, Value] : Sound) {
    const std::string &Shown = Name == Field ? Text : Value;
    if (!Shown.empty())
      Out += (Out == "{" ? "" : ",") + ("\"" + Name + "\":" + Shown);
  }
  return Out + "}";
}

bool isReadable(const std::string &Row) {
  try {
    platform::decodeEndpoint("i", Row);
    return true;
  } catch (const Error &) {
    return false;
  }
}
} // namespace

TEST_CASE("endpoint row, sound or without its optional fields, names an "
          "endpoint",
          "[platform]") {
  Endpoint E = platform::decodeEndpoint("i", rowWith("", ""));
  REQUIRE(E.Slots_ == 16);
  REQUIRE(E.Born_ == 1700000000123ULL);
  REQUIRE(E.ColdLeft_ == Milliseconds(1500));
  REQUIRE(E.Model_ == "m");
  REQUIRE(E.Version_ == 3);
  for (const char *Optional :
       {"slots", "born", "cold_remaining_ms", "models"}) {
    CAPTURE(Optional);
    REQUIRE(isReadable(rowWith(Optional, "")));
  }
  REQUIRE(isReadable(rowWith("cold_remaining_ms", "12.5")));
  REQUIRE(isReadable(rowWith("models", "[]")));
}

// Guards against an endpoint made of defaults: its missing start time, slots or
// cold state would be taken for stated ones.
TEST_CASE("endpoint row, with a field missing, of another type or impossible, "
          "names no endpoint",
          "[platform]") {
  const std::vector<std::string> OtherThanText = {
      "",      "1",  "1.5",   "true",      "null",
      "[]",    "{}", R"("")", R"(["lm"])", R"({"name":"lm"})",
      "-1e300"};
  const std::vector<std::string> OtherThanCount = {R"("16")",
                                                   "null",
                                                   "[]",
                                                   "[16]",
                                                   "{}",
                                                   "true",
                                                   "1.5",
                                                   "1e30",
                                                   "-1",
                                                   "18446744073709551616",
                                                   "18446744073709551615",
                                                   "-9223372036854775808"};
  std::map<std::string, std::vector<std::string>> Rows = {
      {"service", OtherThanText},
      {"address", OtherThanText},
      {"zone", OtherThanText},
      {"state", OtherThanText},
      {"slots", OtherThanCount},
      {"born", OtherThanCount},
      {"cold_remaining_ms",
       {R"("0")", "null", "[]", "{}", "true", R"([1])", R"("x")"}},
      {"models",
       {"null", "1", R"("m")", "{}", "[1]", "[null]", R"(["m"])",
        R"([{"name":1}])", R"([{"name":"m","version":"3"}])",
        R"([{"name":"m","version":-3}])", R"([{"name":"m","version":1e30}])",
        R"([{"name":"m","version":null}])"}}};
  for (const char *Address :
       {R"("10.0.0.1")", R"("10.0.0.1:")", R"("10.0.0.1:0")",
        R"("10.0.0.1:65536")", R"("10.0.0.1:80x")", R"("10.0.0.1:-80")",
        R"("host:80")", R"(":80")", R"("10.0.0:80")", R"("80")",
        R"("http://10.0.0.1:80")", R"(" 10.0.0.1:80")"})
    Rows["address"].push_back(Address);
  for (const char *State : {R"("asleep")", R"("READY")", R"("ready ")"})
    Rows["state"].push_back(State);
  Rows["slots"].push_back("4294967297");
  for (const auto &[Field, Values] : Rows)
    for (const std::string &Value : Values) {
      CAPTURE(Field, Value);
      CHECK_FALSE(isReadable(rowWith(Field, Value)));
    }
}

TEST_CASE("endpoint row, that is no object with each key once, names no "
          "endpoint",
          "[platform]") {
  const std::string Sound = rowWith("", "");
  std::string Inner = Sound.substr(0, Sound.size() - 1);
  std::string Deep =
      Inner + ",\"x\":" + std::string(100, '[') + std::string(100, ']') + "}";
  std::string VeryDeep = Inner + ",\"x\":" + std::string(30'000, '[');
  std::string Huge = Inner + ",\"x\":\"" + std::string(1 << 20, 'x') + "\"}";
  std::string BadUtf8 = Inner + ",\"x\":\"\xc3\x28\"}";
  std::string BadName = rowWith("service", "\"l\xff\"");
  for (const std::string &Row : std::vector<std::string>{
           "",
           " ",
           "{",
           "[]",
           "null",
           "7",
           "\"text\"",
           "\xff\xfe",
           std::string("\0\0", 2),
           Sound + Sound,
           Sound + "x",
           Inner,
           Deep,
           VeryDeep,
           Huge,
           BadUtf8,
           BadName,
           Inner + R"(,"service":"other"})",
           Inner + R"(,"address":"10.0.0.2:80"})",
           Inner + R"(,"\u0062orn":1})",
           Inner + R"(,"models":[{"name":"m"}],"models":[]})",
           Inner + R"(,"models":[{"name":"m","name":"n"}]})",
           "[" + Sound + "]",
           "{\"row\":" + Sound + "}"}) {
    CAPTURE(Row.substr(0, 300));
    CHECK_FALSE(isReadable(Row));
  }
  REQUIRE(isReadable(Inner + R"(,"x":[{"y":1},{"y":2}],"z":{"service":1}})"));
  // Objects that are not read may hold anything.
  REQUIRE(isReadable(Inner + R"(,"x":{"y":1,"y":2}})"));
  // A cold time out of range is not another type: the nearest one is taken.
  for (const auto &[Text, Left] : std::vector<std::pair<std::string, Duration>>{
           {"-0.3", Duration::zero()},
           {"1500", Milliseconds(1500)},
           {"1e30", Seconds(3600)}}) {
    CAPTURE(Text);
    Endpoint E =
        platform::decodeEndpoint("i", rowWith("cold_remaining_ms", Text));
    CHECK(E.ColdLeft_ == Left);
  }
  REQUIRE_THROWS_AS(platform::decodeEndpoint("", Sound), Error);
}

// Guards against a start time in the far future, behind which all later rows of
// the endpoint would be ignored.
TEST_CASE("endpoint row, with its start time only in a nested object, does not "
          "state one",
          "[platform]") {
  std::string Row = rowWith("born", "");
  Row = Row.substr(0, Row.size() - 1) + R"(,"x":{"born":1800000000000}})";
  REQUIRE(platform::decodeEndpoint("i", Row).Born_ == 0);
  REQUIRE_FALSE(isReadable(rowWith("born", "4102444800001")));
}

TEST_CASE("row faults, with the same row listed again, are logged once and "
          "held within a bound",
          "[platform]") {
  RowFaults F;
  REQUIRE(F.note("k", "no zone"));
  REQUIRE_FALSE(F.note("k", "no zone"));
  REQUIRE(F.note("k", "no service"));
  REQUIRE(F.note("l", "no zone"));
  for (std::size_t I = 0; I < 2 * RowFaults::MaxRows; ++I)
    F.note(std::to_string(I), std::string(100'000, 'x'));
  REQUIRE(F.size() == RowFaults::MaxRows);
  REQUIRE_FALSE(F.note("new", "no zone"));
  REQUIRE(RowFaults::shortened(std::string(1000, 'x')).size() ==
          RowFaults::MaxText);
}

// Guards against requests to an endpoint whose service nobody declared, and
// against losing it when the configuration comes after its row.
TEST_CASE("traffic core, given an endpoint of a service that is not "
          "configured, uses it once the configuration names the service",
          "[traffic]") {
  CoreFixture F;
  Endpoint E;
  E.Id_ = EndpointId("n0");
  E.Service_ = ServiceName("new");
  E.Address_ = "10.0.2.0:80";
  E.Zone_ = AvailabilityZone("z");
  E.Slots_ = 2;
  F.Core_.endpoints().changed(E, Start);
  F.Core_.endpointsChanged(Start);
  for (int I = 0; I < 10; ++I)
    F.send("/once/1");
  for (const FakePort::Begun &Each : F.Port_.Begun_)
    REQUIRE(Each.Params_.Endpoint_ != E.Id_);
  REQUIRE(F.answerOf(F.send("/new/1")).Status_ == 404);
  RoutingConfig::Parts P = parts(2);
  P.Services_.push_back({.Name_ = E.Service_, .MaxConnections_ = 10});
  P.Routes_.push_back(route("/new/", E.Service_, Repeat::Never, false));
  F.Core_.configure(RoutingConfig::build(P), Start);
  F.send("/new/1");
  REQUIRE(F.Port_.last().Params_.Endpoint_ == E.Id_);
}
