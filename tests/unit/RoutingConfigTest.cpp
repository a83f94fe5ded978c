#include "hawthornroad/config/RoutingConfig.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
Route route(const std::string &Name, const std::string &Host,
            const std::string &Prefix) {
  Route R;
  R.Name_ = Name;
  R.Host_ = Host;
  R.Prefix_ = Prefix;
  return R;
}

SharedConfig config() {
  RoutingConfig::Parts P;
  P.Version_ = 7;
  P.Routes_ = {route("short", "a.example", "/x/"),
               route("long", "a.example", "/x/y/"),
               route("other", "b.example", "/x/")};
  P.Services_.push_back({.Name_ = ServiceName("api")});
  P.Services_.push_back(
      {.Name_ = ServiceName("weights"), .OriginAddress_ = "10.0.0.1:80"});
  P.Customers_.push_back({Customer("zet"), {"k1", "k2"}, 0});
  P.Customers_.push_back({Customer("hz"), {"k3"}, std::nullopt});
  return RoutingConfig::build(std::move(P));
}
} // namespace

TEST_CASE("routing configuration, asked for a route, gives the longest prefix "
          "of the host",
          "[config]") {
  struct Case {
    std::string Host_, Path_, Expected_;
  };
  auto C = config();
  for (const Case &R :
       {Case{"a.example", "/x/1", "short"}, Case{"a.example", "/x/y/1", "long"},
        Case{"A.Example:8080", "/x/y/", "long"},
        Case{"b.example", "/x/y/1", "other"}, Case{"a.example", "/x", ""},
        Case{"a.example", "/", ""}, Case{"c.example", "/x/1", ""}}) {
    CAPTURE(R.Host_, R.Path_);
    const Route *Found = C->match(R.Host_, R.Path_);
    REQUIRE((Found == nullptr ? "" : Found->Name_) == R.Expected_);
  }
}

TEST_CASE("routing configuration, asked for a key, gives its customer only",
          "[config]") {
  auto C = config();
  REQUIRE(C->customerOf("k2")->Name_ == Customer("zet"));
  REQUIRE(C->customerOf("k3")->Name_ == Customer("hz"));
  REQUIRE(C->customerOf("") == nullptr);
  REQUIRE(C->customerOf("k4") == nullptr);
  REQUIRE(C->origin()->Name_ == ServiceName("weights"));
  REQUIRE(C->findService(ServiceName("none")) == nullptr);
}
