#include "hawthornroad/routing/CallerAnswer.h"
#include "hawthornroad/base/Random.h"
#include "hawthornroad/routing/AttemptStream.h"
#include "hawthornroad/routing/Dependencies.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

TEST_CASE("event splitter, fed byte by byte, gives whole events for each kind "
          "of line end") {
  struct Row {
    std::string Text_;
    std::uint64_t Events_;
    std::string Rest_;
  };
  const std::vector<Row> Rows = {
      {"data: a\n\ndata: b\n\n", 2, ""},
      {"data: a\r\n\r\ndata: b\r\n\r\n", 2, ""},
      {"data: a\r\rdata: b\r\r", 2, ""},
      {"data: a\r\ndata: b\r\n\r\n", 1, ""},
      {"event: x\ndata: a\ndata: b\n\nda", 1, "da"},
      {": keep-alive\n\ndata: a\n\n", 1, ""},
      {"\n\n\ndata: a\n\n", 1, ""},
  };
  for (const Row &Each : Rows) {
    INFO(Each.Text_);
    EventSplitter Whole;
    std::string Once = Whole.feed(Each.Text_);
    EventSplitter Pieces;
    std::string Joined;
    for (char C : Each.Text_)
      Joined += Pieces.feed(std::string(1, C));
    REQUIRE(Once == Joined);
    REQUIRE(Whole.events() == Each.Events_);
    REQUIRE(Pieces.events() == Each.Events_);
    REQUIRE(Whole.rest() == Each.Rest_);
    REQUIRE(Once + Whole.rest() == Each.Text_);
  }
}

TEST_CASE("event splitter, fed in pieces cut anywhere, gives the same as byte "
          "by byte") {
  // A read can end anywhere: within "data", between CR and LF, after the first
  // of two line ends. After a resume at a wrong event count the caller gets a
  // token twice or not at all.
  const std::vector<std::string> Parts = {"\r", "\n",   "\r\n", "da",
                                          "ta", "data", ": x",  ":"};
  Random R(7);
  for (int Trial = 0; Trial < 5000; ++Trial) {
    EventSplitter Pieces;
    EventSplitter Bytes;
    for (int Piece = 0; Piece < 4; ++Piece) {
      std::string Text;
      for (std::uint64_t Left = R.below(8); Left > 0; --Left)
        Text += Parts[R.below(Parts.size())];
      std::string Joined;
      for (char C : Text)
        Joined += Bytes.feed(std::string(1, C));
      REQUIRE(Pieces.feed(Text) == Joined);
      REQUIRE(Pieces.events() == Bytes.events());
      REQUIRE(Pieces.rest() == Bytes.rest());
    }
  }
}

TEST_CASE(
    "event splitter, on an event beyond its bound, passes it in pieces and "
    "can no longer resume") {
  EventSplitter S;
  std::string Long(EventSplitter::MaxEvent + 1, 'x');
  REQUIRE(S.feed(Long) == Long);
  REQUIRE_FALSE(S.isResumable());
}

TEST_CASE(
    "attempt stream, given any order and doubles, returns the bytes once") {
  const std::string Body = "abcdefghij";
  Fnv1a Hash;
  Hash.update(Body);
  AttemptStream S;
  std::string Out;
  S.end(Body.size(), Hash.value());
  REQUIRE(S.hasGap());
  for (std::size_t Offset : {7u, 3u, 3u, 8u, 0u, 1u, 2u})
    Out += S.data(Offset, std::string_view(Body).substr(Offset, 3));
  REQUIRE(Out == "abcdef");
  REQUIRE_FALSE(S.isWhole());
  Out += S.data(5, std::string_view(Body).substr(5, 3));
  REQUIRE(Out == Body);
  REQUIRE(S.isWhole());
  REQUIRE_FALSE(S.isCorrupt());
}

TEST_CASE("attempt stream, beyond its announced length, is corrupt") {
  AttemptStream S;
  S.data(0, "abc");
  S.end(2, 0);
  REQUIRE(S.isCorrupt());
  REQUIRE_FALSE(S.isWhole());
}

TEST_CASE("caller answer, other than an event stream, is held until whole or "
          "too large") {
  CallerAnswer A;
  A.head({200, {{"content-type", "application/json"}}, {}});
  REQUIRE_FALSE(A.data("{").Begins_);
  REQUIRE_FALSE(A.hasBegun());
  A.restart();
  A.head({200, {}, {}});
  A.data("{}");
  CallerAnswer::Out O = A.end();
  REQUIRE(O.Begins_);
  REQUIRE(O.Bytes_ == "{}");
  CallerAnswer Large;
  Large.head({200, {}, {}});
  std::string Much(CallerAnswer::MaxHeld + 1, 'x');
  REQUIRE(Large.data(Much).Bytes_ == Much);
  REQUIRE_FALSE(Large.canResume());
}

TEST_CASE("caller answer, kept for a claim, has its body or says it has not") {
  CallerAnswer A;
  A.remember();
  A.head({200, {}, {}});
  A.data("0123456789");
  REQUIRE(A.kept(10).Body_ == "0123456789");
  REQUIRE_FALSE(A.kept(9).HasBody_);
}

TEST_CASE(
    "dependency closure names a service without a ready endpoint, however "
    "far") {
  auto Named = [](const char *Name, std::vector<ServiceName> On) {
    Service S;
    S.Name_ = ServiceName(Name);
    S.Vms_ = {std::string(Name) + "-*"};
    S.DependsOn_ = std::move(On);
    return S;
  };
  auto D = DeclarationBuilder()
               .add(Named("a", {ServiceName("b")}))
               .add(Named("b", {ServiceName("c")}))
               .add(Named("c", {}))
               .build();
  const Service &A = *D->findService(ServiceName("a"));
  auto Down = [](const char *Name) {
    return [Name](const ServiceName &S) -> std::size_t {
      return S.str() == Name ? 0 : 1;
    };
  };
  REQUIRE(firstDownDependency(*D, A, Down("c")) == ServiceName("c"));
  REQUIRE(firstDownDependency(*D, A, Down("a")).empty());
}
