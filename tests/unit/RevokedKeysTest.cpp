// Keys that a configuration has taken away: which requests run by it.

#include "platform/StoreWire.h"
#include "tests/unit/TrafficFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
// The route and service of the operators' text in all tests. Customers: the
// text's further fields, which begin with a comma.
SharedConfig configWith(std::uint64_t Version, const std::string &Customers) {
  std::string Text =
      R"({"version":)" + std::to_string(Version) +
      R"(,"routes":[{"name":"r","host":"h","prefix":"/safe/",)"
      R"("kind":"idempotent","service":"api","timeout_ms":1500},)"
      R"({"name":"p","host":"h","prefix":"/open/","kind":"idempotent",)"
      R"("service":"api","timeout_ms":1500,"public":true}],)"
      R"("services":[{"name":"api","max_conns":100}])" +
      Customers + "}";
  return RoutingConfig::build(platform::decodeConfig(Text));
}

constexpr auto OneCustomer =
    R"(,"tenants":[{"name":"zet","api_keys":["key"]}])";
constexpr auto EmptyList = R"(,"tenants":[])";
constexpr auto NoList = "";

struct RevokedKeysFixture : CoreFixture {
  void configure(const std::string &Customers) {
    Core_.configure(configWith(++Version_, Customers), Start);
  }
  // Status of the refusal; 0 when the request was passed on.
  unsigned statusOf(const std::string &Target, const std::string &Key,
                    TimePoint Now = Start) {
    std::size_t Before = Port_.Begun_.size();
    CallNumber N = send(Target, Now, Key);
    if (Port_.Begun_.size() == Before)
      return answerOf(N).Status_;
    Core_.callerGone(N, Now);
    return 0;
  }
  std::uint64_t Version_ = 1;
};
} // namespace

// Guards against a list of customers that becomes empty and opens all routes.
TEST_CASE_METHOD(RevokedKeysFixture,
                 "revoked keys, when the last customer is removed, are denied "
                 "like any unknown key",
                 "[keys]") {
  configure(OneCustomer);
  REQUIRE(statusOf("/safe/1", "key") == 0);
  configure(EmptyList);
  CHECK(statusOf("/safe/1", "key") == 401);
  CHECK(statusOf("/safe/1", "other") == 401);
  CHECK(statusOf("/safe/1", "") == 401);
  CHECK(statusOf("/open/1", "") == 0);
  configure(OneCustomer);
  CHECK(statusOf("/safe/1", "key") == 0);
}

// Guards against a rule that rests on what this process has seen before.
TEST_CASE_METHOD(RevokedKeysFixture,
                 "revoked keys, in a process started after the last customer "
                 "was removed, are denied",
                 "[keys]") {
  configure(EmptyList);
  CHECK(statusOf("/safe/1", "key") == 401);
  CHECK(statusOf("/safe/1", "") == 401);
  CHECK(statusOf("/open/1", "key") == 0);
}

// Guards against a denial, or a run, by an empty list that may be outdated.
TEST_CASE_METHOD(RevokedKeysFixture,
                 "an empty list of customers, without proof that it is in "
                 "force, answers 503",
                 "[keys]") {
  configure(EmptyList);
  CHECK(statusOf("/safe/1", "key", Start + Seconds(5)) == 503);
  CHECK(statusOf("/safe/1", "", Start + Seconds(5)) == 503);
}

// Guards against keys that stay valid because the list that held them is left
// out of the text altogether.
TEST_CASE_METHOD(RevokedKeysFixture,
                 "a configuration without a list of customers, given a "
                 "request, serves it without a key and denies any key",
                 "[keys]") {
  bool HadCustomers = GENERATE(false, true);
  if (HadCustomers)
    configure(OneCustomer);
  configure(NoList);
  CHECK(statusOf("/safe/1", "") == 0);
  CHECK(statusOf("/safe/1", "key") == 401);
  CHECK(statusOf("/open/1", "key") == 0);
}

// Guards against a list that cannot be read and counts as none.
TEST_CASE("a list of customers that is no list, decoded, is an error that "
          "names the field",
          "[keys]") {
  for (const char *Text :
       {R"(,"tenants":null)", R"(,"tenants":{})", R"(,"tenants":"zet")"}) {
    CAPTURE(Text);
    REQUIRE_THROWS_WITH(configWith(2, Text), Catch::Contains("tenants"));
  }
}

// Guards against a customer that cannot be read and leaves the list empty.
TEST_CASE_METHOD(RevokedKeysFixture,
                 "a customer that cannot be read, in force, grants nothing",
                 "[keys]") {
  std::string Each =
      GENERATE(R"(,"tenants":[null])", R"(,"tenants":["zet"])",
               R"(,"tenants":[{"name":"zet","api_keys":"key"}])");
  configure(OneCustomer);
  configure(Each);
  CHECK(statusOf("/safe/1", "key") == 401);
  CHECK(statusOf("/safe/1", "") == 401);
}
