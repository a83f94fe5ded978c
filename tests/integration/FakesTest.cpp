#include "hawthornroad/base/Hash.h"
#include "tests/integration/Fleet.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
HttpRequest put(const std::string &Target, const std::string &Body,
                HttpHeaders Headers = {}) {
  return {.Method_ = "PUT",
          .Target_ = Target,
          .Headers_ = std::move(Headers),
          .Body_ = Body};
}

std::string etagOf(const HttpResponse &R) {
  return findHeader(R.Headers_, "ETag").value_or("");
}

// An engine that serves version "v1".
struct EngineFixture : FakesFixture {
  Fake &engine(std::vector<std::string> Options = {}) {
    Options.insert(Options.end(), {"--token-ms", "1"});
    Fake &Engine = fake("engine", Options);
    load(Engine, "v1", 1);
    return Engine;
  }

  void load(Fake &Engine, const std::string &Version, std::uint64_t Fencing) {
    std::string File = folder().write(Version + ".bin", "weights");
    postJson(Engine.address(), "/admin/load",
             {{"version", Version}, {"path", File}, {"fencing", Fencing}});
    eventually(
        [&] {
          auto Model = getJson(Engine.address(), "/admin/model");
          return textAt(Model, "state") == "ready";
        },
        "the engine is ready");
  }

  static HttpRequest request(const std::string &Prompt, int Tokens,
                             HttpHeaders Headers = {}) {
    HttpRequest R = completionRequest("/v1/completions", Prompt, Tokens, true);
    R.Headers_.insert(R.Headers_.end(), Headers.begin(), Headers.end());
    return R;
  }
};
} // namespace

TEST_CASE_METHOD(FakesFixture,
                 "table, write with a condition that no longer holds, is "
                 "refused with the current tag",
                 "[fakes]") {
  std::string Table = fake("table").address();
  HttpHeaders CreateOnly = {{"If-None-Match", "*"}};
  HttpResponse First = fetch(Table, put("/table/a/b", "1", CreateOnly));
  REQUIRE(First.Status_ == 200);
  HttpResponse Again = fetch(Table, put("/table/a/b", "2", CreateOnly));
  REQUIRE(Again.Status_ == 412);
  REQUIRE(etagOf(Again) == etagOf(First));

  HttpHeaders IfFirst = {{"If-Match", etagOf(First)}};
  HttpResponse Swapped = fetch(Table, put("/table/a/b", "3", IfFirst));
  REQUIRE(Swapped.Status_ == 200);
  REQUIRE(etagOf(Swapped) != etagOf(First));
  REQUIRE(fetch(Table, put("/table/a/b", "4", IfFirst)).Status_ == 412);
  REQUIRE(get(Table, "/table/a/b").Body_ == "3");

  HttpResponse Absent = fetch(Table, put("/table/none", "5", IfFirst));
  REQUIRE(Absent.Status_ == 412);
  REQUIRE(etagOf(Absent).empty());
  REQUIRE(get(Table, "/table/none").Status_ == 404);
}

TEST_CASE_METHOD(FakesFixture,
                 "table, deleted key written again, gets an unused tag",
                 "[fakes]") {
  std::string Table = fake("table").address();
  HttpResponse First = fetch(Table, put("/table/k", "1"));
  HttpRequest Delete = {.Method_ = "DELETE",
                        .Target_ = "/table/k",
                        .Headers_ = {{"If-Match", etagOf(First)}}};
  REQUIRE(fetch(Table, Delete).Status_ == 200);
  HttpResponse Second = fetch(Table, put("/table/k", "1"));
  REQUIRE(etagOf(Second) != etagOf(First));
  REQUIRE(fetch(Table, Delete).Status_ == 412);
}

TEST_CASE_METHOD(FakesFixture,
                 "table, listed by prefix in pages, gives each key once in "
                 "order",
                 "[fakes]") {
  std::string Table = fake("table").address();
  for (const char *Key : {"c/2", "c/1", "c/3", "d/1", "b/1"})
    fetch(Table, put(std::string("/table/") + Key, Key));
  auto KeysAfter = [&](const std::string &After) {
    std::vector<std::string> Keys;
    auto Page = getJson(Table, "/table?prefix=c%2F&limit=2&after=" + After);
    for (const auto &Item : Page.at("items").as_array())
      Keys.push_back(textAt(Item.as_object(), "key"));
    return Keys;
  };
  REQUIRE(KeysAfter("") == std::vector<std::string>{"c/1", "c/2"});
  REQUIRE(KeysAfter("c/2") == std::vector<std::string>{"c/3"});
  REQUIRE(KeysAfter("c/3").empty());
}

TEST_CASE_METHOD(FakesFixture,
                 "table, told to lose an answer, writes but does not answer",
                 "[fakes]") {
  Fake &Table = fake("table");
  Table.setFaults(R"({"lose_answers":1})");
  HttpHeaders CreateOnly = {{"If-None-Match", "*"}};
  REQUIRE_THROWS_AS(fetch(Table.address(), put("/table/k", "1", CreateOnly)),
                    Error);
  REQUIRE(get(Table.address(), "/table/k").Body_ == "1");
  HttpResponse Again = fetch(Table.address(), put("/table/k", "2", CreateOnly));
  REQUIRE(Again.Status_ == 412);
  REQUIRE(numberAt(Table.counters(), "writes") == 2);
  REQUIRE(numberAt(Table.counters(), "conflicts") == 1);
}

TEST_CASE_METHOD(FakesFixture,
                 "table, with stale reads, answers with the state when they "
                 "were set but writes to the current state",
                 "[fakes]") {
  Fake &Table = fake("table");
  HttpResponse Old = fetch(Table.address(), put("/table/k", "old"));
  Table.setFaults(R"({"stale_reads":true})");
  HttpHeaders IfOld = {{"If-Match", etagOf(Old)}};
  REQUIRE(fetch(Table.address(), put("/table/k", "new", IfOld)).Status_ == 200);
  REQUIRE(get(Table.address(), "/table/k").Body_ == "old");
  REQUIRE(fetch(Table.address(), put("/table/k", "x", IfOld)).Status_ == 412);
  Table.setFaults("{}");
  REQUIRE(get(Table.address(), "/table/k").Body_ == "new");
}

TEST_CASE_METHOD(FakesFixture, "any fake, down or silent, still accepts faults",
                 "[fakes]") {
  Fake &Objects = fake("objects");
  Objects.setFaults(R"({"down":true})");
  REQUIRE(get(Objects.address(), "/objects/k").Status_ == 503);
  Objects.setFaults(R"({"silent":true})");
  REQUIRE_THROWS_AS(
      fetch(Objects.address(), {.Target_ = "/objects/k"}, Milliseconds(200)),
      Error);
  Objects.setFaults("{}");
  REQUIRE(get(Objects.address(), "/objects/k").Status_ == 404);
}

TEST_CASE_METHOD(FakesFixture,
                 "origin, ranges read at a rate, come whole and are counted",
                 "[fakes]") {
  std::string Bytes = seededBytes(300'000, 1);
  folder().write("origin/m/w.bin", Bytes);
  Fake &Origin = fake(
      "origin", {"--root", folder().path() / "origin", "--rate", "3000000"});
  std::string Joined;
  for (const char *Range : {"bytes=0-99999", "bytes=100000-"}) {
    HttpRequest R = {.Target_ = "/m/w.bin", .Headers_ = {{"Range", Range}}};
    HttpResponse Part = fetch(Origin.address(), R);
    REQUIRE(Part.Status_ == 206);
    Joined += Part.Body_;
  }
  REQUIRE(sha256(Joined) == sha256(Bytes));
  auto Counters = Origin.counters();
  REQUIRE(numberAt(Counters, "bytes") == 300'000);
  REQUIRE(numberAt(Counters, "requests") == 2);
  REQUIRE(numberAt(Counters.at("bytes_by_path").as_object(), "/m/w.bin") ==
          300'000);
  REQUIRE(get(Origin.address(), "/../settings.json").Status_ == 404);
}

TEST_CASE_METHOD(FakesFixture,
                 "origin, rate shared by two readers, gives both alike and no "
                 "more than the rate in all",
                 "[fakes]") {
  folder().write("w.bin", seededBytes(8'000'000, 1));
  Fake &Origin =
      fake("origin", {"--root", folder().path(), "--rate", "1000000"});
  auto Begin = std::chrono::steady_clock::now();
  StreamCall One(Origin.address(), {.Target_ = "/w.bin"});
  StreamCall Two(Origin.address(), {.Target_ = "/w.bin"});
  auto Got = [](const StreamCall &Call) {
    return Call.resultSoFar().Body_.size();
  };
  eventually([&] { return Got(One) + Got(Two) > 400'000; },
             "both readers receive bytes");
  REQUIRE(Got(One) > 100'000);
  REQUIRE(Got(Two) > 100'000);
  auto Sent = static_cast<double>(numberAt(Origin.counters(), "bytes"));
  std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - Begin;
  // Checks only an upper bound, which a busy machine cannot break. The burst is
  // 20 ms of the rate.
  REQUIRE(Sent <= 1'000'000 * (Elapsed.count() + 0.02));
}

TEST_CASE_METHOD(FakesFixture,
                 "origin, told to corrupt or truncate, does so to each Nth "
                 "answer",
                 "[fakes]") {
  std::string Bytes = seededBytes(100'000, 1);
  folder().write("w.bin", Bytes);
  Fake &Origin = fake("origin", {"--root", folder().path()});
  Origin.setFaults(R"({"corrupt_every":2})");
  REQUIRE(get(Origin.address(), "/w.bin").Body_ == Bytes);
  std::string Bad = get(Origin.address(), "/w.bin").Body_;
  REQUIRE(Bad.size() == Bytes.size());
  std::size_t Differing = 0;
  for (std::size_t I = 0; I < Bytes.size(); ++I)
    Differing += Bad[I] != Bytes[I] ? 1 : 0;
  REQUIRE(Differing == 1);
  Origin.setFaults(R"({"truncate_every":1})");
  REQUIRE_THROWS_AS(get(Origin.address(), "/w.bin"), Error);
}

TEST_CASE_METHOD(FakesFixture,
                 "members, with a lag, first return the previous list",
                 "[fakes]") {
  Fake &Members = fake("members", {"--lag-ms", "300"});
  putJson(Members.address(), "/members",
          {{"vms", boost::json::parse(R"([{"vm":"a"}])")}});
  REQUIRE(get(Members.address(), "/members").Body_ == R"({"vms":[]})");
  eventually(
      [&] {
        return get(Members.address(), "/members").Body_ ==
               R"({"vms":[{"vm":"a"}]})";
      },
      "the new list is returned");
}

TEST_CASE_METHOD(EngineFixture,
                 "engine, stream cut and resumed at another engine, goes on "
                 "exactly",
                 "[fakes]") {
  Fake &First = engine();
  Fake &Second = engine();
  StreamResult Whole = fetchStream(First.address(), request("hello", 12));
  REQUIRE(Whole.Whole_);
  REQUIRE(Whole.Events_.size() == 13);
  REQUIRE(Whole.Events_.back() == "[DONE]");

  First.setFaults(R"({"die_after_tokens":5})");
  StreamResult Cut = fetchStream(First.address(), request("hello", 12));
  REQUIRE_FALSE(Cut.Whole_);
  REQUIRE(Cut.Events_.size() == 5);
  StreamResult Rest = fetchStream(
      Second.address(), request("hello", 12, {{"Engine-Resume-Events", "5"}}));
  REQUIRE(Rest.Whole_);
  REQUIRE(Cut.Body_ + Rest.Body_ == Whole.Body_);
  REQUIRE(numberAt(Second.counters(), "resumed") == 1);
}

TEST_CASE_METHOD(EngineFixture,
                 "engine, other version or prompt, gives other tokens",
                 "[fakes]") {
  Fake &Engine = engine();
  StreamResult One = fetchStream(Engine.address(), request("a", 4));
  REQUIRE(findHeader(One.Headers_, "Engine-Version") == "v1");
  REQUIRE(fetchStream(Engine.address(), request("b", 4)).Body_ != One.Body_);
  load(Engine, "v2", 2);
  StreamResult Two = fetchStream(Engine.address(), request("a", 4));
  REQUIRE(findHeader(Two.Headers_, "Engine-Version") == "v2");
  REQUIRE(Two.Body_ != One.Body_);
}

TEST_CASE_METHOD(EngineFixture,
                 "engine, full, runs the waiting request of higher priority "
                 "first",
                 "[fakes]") {
  Fake &Engine = engine({"--capacity", "1"});
  auto Waiting = [&](int Count) {
    eventually(
        [&] {
          return numberAt(getJson(Engine.address(), "/load"), "waiting") ==
                 Count;
        },
        "the requests are waiting");
  };
  StreamCall Running(Engine.address(),
                     request("long", 100'000, {{"Engine-Request", "r"}}));
  eventually([&] { return !Running.resultSoFar().Events_.empty(); },
             "the request runs");
  StreamCall Batch(
      Engine.address(),
      request("x", 2, {{"Engine-Request", "b"}, {"Engine-Priority", "2"}}));
  Waiting(1);
  StreamCall Interactive(
      Engine.address(),
      request("x", 2, {{"Engine-Request", "i"}, {"Engine-Priority", "0"}}));
  Waiting(2);
  postJson(Engine.address(), "/admin/cancel", {{"request", "r"}});
  REQUIRE_FALSE(Running.wait().Whole_);
  REQUIRE(Interactive.wait().Whole_);
  REQUIRE(Batch.wait().Whole_);
  auto Record = getJson(Engine.address(), "/admin/record");
  const auto &Answers = Record.at("answers").as_array();
  REQUIRE(textAt(Answers.at(1).as_object(), "request") == "i");
  REQUIRE(textAt(Answers.at(2).as_object(), "request") == "b");
  REQUIRE(numberAt(Engine.counters(), "cancelled") == 1);
}

TEST_CASE_METHOD(EngineFixture,
                 "engine, old fencing number, refuses only when it checks",
                 "[fakes]") {
  for (bool Checks : {true, false}) {
    Fake &Engine = Checks ? engine({"--checks-fencing"}) : engine();
    load(Engine, "v5", 5);
    HttpResponse Old =
        fetch(Engine.address(),
              {.Method_ = "POST",
               .Target_ = "/admin/load",
               .Body_ = R"({"version":"v4","path":"/dev/null","fencing":4})"});
    REQUIRE(Old.Status_ == (Checks ? 409u : 202u));
  }
}

TEST_CASE_METHOD(EngineFixture,
                 "engine, prompts that share their leading block, hit the "
                 "prefix cache",
                 "[fakes]") {
  Fake &Engine = engine({"--prefix-cache", "1"});
  std::string Shared(64, 's');
  for (const std::string &Prompt :
       {Shared + "1", Shared + "2", std::string("other"), Shared + "3"})
    fetchStream(Engine.address(), request(Prompt, 1));
  REQUIRE(numberAt(Engine.counters(), "prefix_hits") == 1);
  REQUIRE(numberAt(Engine.counters(), "prefix_misses") == 3);
}

TEST_CASE_METHOD(FakesFixture,
                 "service, dying during a call, has counted the run",
                 "[fakes]") {
  Fake &Service = fake("service", {"--name", "desk"});
  HttpRequest Call = {.Method_ = "POST",
                      .Target_ = "/invoices",
                      .Headers_ = {{"Idempotency-Key", "k"}},
                      .Body_ = "b"};
  Service.setFaults(R"({"fail_requests":true})");
  REQUIRE(fetch(Service.address(), Call).Status_ == 500);
  Service.setFaults(R"({"die_during":true})");
  REQUIRE_THROWS_AS(fetch(Service.address(), Call), Error);
  Service.setFaults("{}");
  auto Answer =
      boost::json::parse(fetch(Service.address(), Call).Body_).as_object();
  REQUIRE(numberAt(Answer, "run") == 2);
  REQUIRE(textAt(Answer, "echo") == "b");
  REQUIRE(numberAt(Service.counters(), "total") == 2);
}

TEST_CASE_METHOD(FakesFixture,
                 "service, in need, states its limit, that it leaves, and how "
                 "long it wants no call",
                 "[fakes]") {
  Fake &Service = fake("service", {"--name", "desk"});
  HttpRequest Call = {.Method_ = "POST", .Target_ = "/invoices"};
  Service.setFaults(R"({"rate_limit":1.5,"leaving":true})");
  HttpResponse Served = fetch(Service.address(), Call);
  REQUIRE(Served.Status_ == 200);
  REQUIRE(findHeader(Served.Headers_, "Server-Limit") == "1.500000");
  REQUIRE(findHeader(Served.Headers_, "Server-Leaving") == "1");
  Service.setFaults(R"({"retry_after":3})");
  HttpResponse Refused = fetch(Service.address(), Call);
  REQUIRE(Refused.Status_ == 503);
  REQUIRE(findHeader(Refused.Headers_, "Retry-After") == "3.000000");
  REQUIRE(numberAt(Service.counters(), "total") == 1);
}
