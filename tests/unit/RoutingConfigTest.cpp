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

// Guards against priorities of routes that have no effect because all customers
// state one, and against services whose routes have one priority being treated
// as competing.
TEST_CASE("routing config, with priorities of routes and customers, orders by "
          "the customer's first and by the route's among equal ones",
          "[config][priority]") {
  auto ConfigOf = [](std::vector<int> Routes,
                     std::vector<std::optional<int>> Customers) {
    RoutingConfig::Parts P;
    P.Version_ = 1;
    for (int Rank : Routes) {
      Route R;
      R.Prefix_ = "/" + std::to_string(P.Routes_.size()) + "/";
      R.Rank_ = Rank;
      R.Services_ = {{ServiceName("s"), 1}};
      P.Routes_.push_back(R);
    }
    for (std::optional<int> Rank : Customers) {
      CustomerConfig C;
      C.Name_ = Customer("c" + std::to_string(P.Customers_.size()));
      C.Rank_ = Rank;
      P.Customers_.push_back(C);
    }
    return RoutingConfig::build(std::move(P));
  };
  const ServiceName S("s");
  auto Level = [&](const auto &C, int Rank, int RouteRank) {
    return C->priorityLevel(S, Rank, RouteRank).Level_;
  };
  // One priority for all routes: as the customer states it.
  auto Equal = ConfigOf({1, 1}, {0, 1});
  CHECK_FALSE(Equal->prioritiesDiffer(S));
  CHECK(Level(Equal, 0, 1) == 0);
  // All customers alike: as the routes state it.
  auto Alike = ConfigOf({0, 1, 2}, {1, 1});
  CHECK(Alike->prioritiesDiffer(S));
  CHECK(Level(Alike, 1, 0) == 0);
  CHECK(Level(Alike, 1, 2) == 2);
  // One customer before the others: first by customer, then by route.
  auto Both = ConfigOf({0, 1, 2}, {0, 1, 1});
  int Previous = -1;
  for (int Rank : {0, 1})
    for (int RouteRank : {0, 1, 2}) {
      CHECK(Level(Both, Rank, RouteRank) > Previous);
      Previous = Level(Both, Rank, RouteRank);
    }
  CHECK(Both->priorityLevel(S, 0, 0).QueueRank_ == 0);
  CHECK(Both->priorityLevel(S, 1, 0).QueueRank_ <
        Both->priorityLevel(S, 1, 2).QueueRank_);
  // A customer without a priority has the route's.
  auto Unstated = ConfigOf({0, 2}, {std::nullopt, 1});
  CHECK(Level(Unstated, 0, 0) < Level(Unstated, 1, 0));
  CHECK(Level(Unstated, 1, 2) < Level(Unstated, 2, 2));
}
