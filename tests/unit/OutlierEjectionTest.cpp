#include "hawthornroad/routing/OutlierEjection.h"

#include <catch2/catch.hpp>
#include <string>

using namespace hawthornroad;

namespace {
struct OutlierFixture {
  OutlierEjection Group_;
  OutlierEjection::Record Bad_, Good_;
  TimePoint Now_{Seconds(1000)};
  std::size_t Members_ = 6;

  // Applies results: 'a' answered and 'f' failed for Bad_, 'A' and 'F' for
  // Good_.
  bool play(const std::string &Script) {
    bool Ejected = false;
    for (char C : Script) {
      auto &R = C == 'a' || C == 'f' ? Bad_ : Good_;
      if (C == 'a' || C == 'A')
        Group_.answered(R, Now_);
      else
        Ejected |= Group_.failed(R, Members_, Now_);
    }
    return Ejected;
  }
  // Waits for the end of the ejection and gives the endpoint one attempt.
  void probe(bool IsGood) {
    Now_ = Bad_.Until_;
    REQUIRE(Bad_.mayProbe(Now_));
    Bad_.Probing_ = true;
    REQUIRE_FALSE(Bad_.mayProbe(Now_));
    play(IsGood ? "a" : "f");
  }
};
} // namespace

TEST_CASE("endpoint, compared with its peers, is ejected only as an outlier",
          "[outlier]") {
  struct Row {
    std::string Script_;
    std::size_t Members_;
    bool Ejected_;
  };
  for (const Row &R : {Row{"AAAfff", 6, true}, Row{"AAAff", 6, false},
                       Row{"AAAffaf", 6, false}, Row{"AAAAAAafafaff", 6, true},
                       // All fail alike: a dependency is down.
                       Row{"FFFFFFfff", 6, false}, Row{"AAAfff", 1, false},
                       Row{"AAAfff", 2, true}}) {
    OutlierFixture F;
    F.Members_ = R.Members_;
    CAPTURE(R.Script_);
    REQUIRE(F.play(R.Script_) == R.Ejected_);
    REQUIRE(F.Bad_.Ejected_ == R.Ejected_);
    REQUIRE(F.Group_.ejected() == (R.Ejected_ ? 1 : 0));
  }
}

TEST_CASE_METHOD(OutlierFixture,
                 "ejected endpoint, failing its probes, stays ejected longer",
                 "[outlier]") {
  play("AAAfff");
  Duration Last = Duration::zero();
  for (int I = 0; I < 8; ++I) {
    Duration Length = Bad_.Until_ - Now_;
    REQUIRE(Length >= Last);
    REQUIRE(Length <= OutlierEjection::MaxEjection);
    Last = Length;
    probe(false);
    REQUIRE(Bad_.Ejected_);
  }
  REQUIRE(Last == OutlierEjection::MaxEjection);
  probe(true);
  REQUIRE(Bad_.Ejected_);
  probe(true);
  REQUIRE_FALSE(Bad_.Ejected_);
  REQUIRE(Group_.ejected() == 0);
}

TEST_CASE_METHOD(
    OutlierFixture,
    "late failures, of attempts from before, do not prolong the ejection",
    "[outlier]") {
  play("AAAfff");
  TimePoint Until = Bad_.Until_;
  play("ffff");
  REQUIRE(Bad_.Until_ == Until);
  // Nor do late answers end it.
  play("aaaa");
  REQUIRE(Bad_.Ejected_);
}

TEST_CASE("ejections, however many fail, keep to a share of the members",
          "[outlier]") {
  struct Row {
    std::size_t Members_, Most_;
  };
  for (Row R :
       {Row{0, 0}, Row{1, 0}, Row{2, 1}, Row{3, 1}, Row{9, 3}, Row{100, 33}})
    REQUIRE(OutlierEjection::maxEjected(R.Members_) == R.Most_);
}
