// Decoding and encoding of the platform's messages.

#include "platform/EngineWire.h"
#include "platform/Names.h"
#include "platform/RequestWire.h"
#include "platform/StoreWire.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr const char *ConfigText = R"({"version":7,"routes":[
 {"name":"r1","host":"h.example","prefix":"/a/","kind":"streaming",
  "timeout_ms":6000,"latency_goal_ms":400,"priority":1,"service":"lm",
  "max_attempts":2,"public":false,"sticky":true,"resumable":true,
  "gap_goal_ms":300},
 {"name":"r2","host":"h.example","prefix":"/b/","kind":"idempotent",
  "timeout_ms":1500.5,"priority":2,"max_attempts":2,"public":true,
  "split":[{"service":"x","weight":90},{"service":"y","weight":10}]},
 {"name":"r3","host":"h.example","prefix":"/c/","kind":"non_idempotent",
  "timeout_ms":1500,"service":"x","max_attempts":1}],
 "services":[
 {"name":"lm","health_path":"/health","max_conns":264,
  "engine":{"slots":16,"read_per_s":30600.0,"step_ms":6.73,"stride":6,
   "models":[{"name":"m1"}],"usual":{"prompt":964,"answer":119},
   "chunks":96,"chunk_bytes":24576}},
 {"name":"w","origin":"172.20.0.3:80","zone":"z1","link_mbps":7.3,
  "max_conns":48},
 {"name":"x","health_path":"/health","max_conns":100}],
 "limits":{"max_header_bytes":1000,"max_body_bytes":2000,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":0},
  {"name":"t2","api_keys":["k3"]}]})";

InboundRequest request(HeaderFields Fields) {
  InboundRequest R;
  R.Method_ = "POST";
  R.Target_ = "/a/b?x=1";
  R.Headers_ = std::move(Fields);
  R.Body_ = "body";
  return R;
}

std::string valueOf(const HeaderFields &Fields, std::string_view Name) {
  const std::string *Found = findField(Fields, Name);
  return Found == nullptr ? "" : *Found;
}
} // namespace

TEST_CASE(
    "platform configuration, decoded, has every field in the project's units",
    "[platform]") {
  auto C = RoutingConfig::build(platform::decodeConfig(ConfigText));
  REQUIRE(C->version() == 7);
  const Route *R1 = C->match("h.example", "/a/1");
  REQUIRE(R1->Repeat_ == Repeat::FromLastEvent);
  REQUIRE(R1->IsStream_);
  REQUIRE(R1->Timeout_ == Seconds(6));
  REQUIRE(R1->FirstByteGoal_ == Milliseconds(400));
  REQUIRE(R1->EventGapGoal_ == Milliseconds(300));
  const Route *R2 = C->match("h.example", "/b/1");
  REQUIRE(R2->Repeat_ == Repeat::Allowed);
  REQUIRE(R2->IsPublic_);
  REQUIRE(R2->Services_ == std::vector<WeightedService>{
                               {ServiceName("x"), 90}, {ServiceName("y"), 10}});
  const Route *R3 = C->match("h.example", "/c/1");
  REQUIRE(R3->Repeat_ == Repeat::Never);
  REQUIRE(R3->MaxAttempts_ == 1);
  const EngineProfile &E = *C->findService(ServiceName("lm"))->Engine_;
  REQUIRE(E.Slots_ == 16);
  REQUIRE(E.PrefillTokensPerMs_ == Approx(30.6));
  REQUIRE(E.Model_ == "m1");
  REQUIRE(E.Pieces_ == 96);
  REQUIRE(C->origin()->OriginAddress_ == "172.20.0.3:80");
  REQUIRE(C->origin()->LinkMbps_ == Approx(7.3));
  REQUIRE(C->customerOf("k2")->Rank_ == 0);
  REQUIRE_FALSE(C->customerOf("k3")->Rank_);
  REQUIRE(C->limits().HeaderBytes_ == 1000);
}

TEST_CASE("platform configuration, when malformed, is an error", "[platform]") {
  for (const char *Text : {"", "[]", "{", "{\"routes\":[]}"})
    REQUIRE_THROWS_AS(platform::decodeConfig(Text), Error);
}

TEST_CASE("platform endpoint row, decoded, tells software and weights apart",
          "[platform]") {
  Endpoint E = platform::decodeEndpoint(
      "i-1", R"({"service":"lm","address":"10.0.0.1:80","zone":"z",
      "version":"v9","slots":16,"state":"draining","stage":"both",
      "models":[{"name":"m","version":3,"adapters":[]}],"seq":4})");
  REQUIRE(E.Version_ == 3);
  REQUIRE(E.HasModel_);
  REQUIRE(E.IsDraining_);
  Endpoint Plain = platform::decodeEndpoint(
      "i-2", R"({"service":"x","address":"10.0.0.2:80","zone":"z",
      "version":"v1","slots":6,"state":"ready","seq":1})");
  REQUIRE_FALSE(Plain.HasModel_);
  REQUIRE(Plain.Version_ == 0);
  Endpoint Empty = platform::decodeEndpoint(
      "i-3", R"({"service":"lm","address":"10.0.0.3:80","zone":"z",
      "state":"ready","stage":"both","models":[],"born":1700000000123})");
  REQUIRE(Empty.Born_ == 1700000000123ULL);
  REQUIRE(Empty.HasModel_);
  REQUIRE(Empty.Version_ == 0);
}

TEST_CASE("platform endpoint row, written by another, names no endpoint",
          "[platform]") {
  const std::string Service = R"("service":"lm",)";
  const std::string Address = R"("address":"10.0.0.1:80",)";
  const std::string Zone = R"("zone":"z",)";
  const std::string State = R"("state":"ready")";
  REQUIRE_NOTHROW(platform::decodeEndpoint("i", "{" + Service + Address + Zone +
                                                    State + "}"));
  for (const std::string &Row : std::vector<std::string>{
           "", "\xff\x00\x01", "null", "[]", "7", "{",
           "{" + Address + Zone + State + "}",
           "{" + Service + Zone + State + "}",
           "{" + Service + Address + State + "}",
           "{" + Service + Address + Zone + R"("slots":3})",
           "{" + Service + Address + Zone + R"("state":"asleep"})",
           "{" + Service + Address + Zone + R"("state":1})",
           "{" + Service + R"("address":"10.0.0.1",)" + Zone + State + "}",
           "{" + Service + R"("address":["10.0.0.1:80"],)" + Zone + State + "}",
           "{" + Service + Address + Zone + State + R"(,"born":"1"})",
           "{" + Service + Address + Zone + State + R"(,"born":1.5})",
           "{" + Service + Address + Zone + State + R"(,"slots":-1})"}) {
    CAPTURE(Row);
    REQUIRE_THROWS_AS(platform::decodeEndpoint("i", Row), Error);
  }
}

TEST_CASE(
    "platform report, with fields of another type, throws nothing but the "
    "project's error",
    "[platform]") {
  for (const std::string &Body : std::vector<std::string>{
           "", "[]", R"({"models":[{"name":7}]})", R"({"models":[7]})",
           R"({"models":{},"born":"x","seq":"y","busy":1})"}) {
    CAPTURE(Body);
    try {
      platform::decodeReport(Body);
    } catch (const Error &E) {
      SUCCEED(E.what());
    }
  }
}

TEST_CASE("platform version row, decoded, names model and version",
          "[platform]") {
  auto V =
      platform::decodeVersionRow("version/m1", R"({"model":"m1","version":4})");
  REQUIRE(V->Model_ == "m1");
  REQUIRE(V->Version_ == 4);
  REQUIRE_FALSE(platform::decodeVersionRow("config", "{}"));
}

TEST_CASE("platform request, passed on, hides the key and sets what the system "
          "sets",
          "[platform]") {
  Call C = platform::decodeCall(
      request({{"Host", "h.example"},
               {"X-Hawthornroad-Request-Id", "r1"},
               {"X-Hawthornroad-Deadline-Ms", "6000"},
               {"X-Hawthornroad-Token-Usage", "1460,80"},
               {"X-Hawthornroad-Tenant", "forged"},
               {"X-Hawthornroad-Expect-Instance", "forged"},
               {"Authorization", "Token secret"},
               {"Last-Event-Id", "12"},
               {"Connection", "keep-alive, X-Hop"},
               {"X-Hop", "1"},
               {"Content-Length", "4"},
               {"X-Other", "kept"}}));
  REQUIRE(C.Key_ == "secret");
  REQUIRE(C.TimeLeft_ == Milliseconds(6000));
  REQUIRE(C.Tokens_ == TokenCount{1460, 80});
  REQUIRE(C.LastEvent_ == "12");
  REQUIRE(C.path() == "/a/b");
  AttemptParams O;
  O.Endpoint_ = EndpointId("i-1");
  O.Customer_ = Customer("t1");
  O.TimeLeft_ = Milliseconds(5500);
  O.LastEvent_ = "14";
  O.Urgency_ = 1;
  HttpMessage M = platform::encodeAttempt(C, O);
  REQUIRE(M.Target_ == "/a/b?x=1");
  REQUIRE(M.Body_ == "body");
  REQUIRE(valueOf(M.Headers_, "Authorization").empty());
  REQUIRE(valueOf(M.Headers_, "X-Hop").empty());
  REQUIRE(valueOf(M.Headers_, "X-Other") == "kept");
  REQUIRE(valueOf(M.Headers_, "X-Hawthornroad-Request-Id") == "r1");
  REQUIRE(valueOf(M.Headers_, "X-Hawthornroad-Tenant") == "t1");
  REQUIRE(valueOf(M.Headers_, "X-Hawthornroad-Expect-Instance") == "i-1");
  REQUIRE(valueOf(M.Headers_, "X-Hawthornroad-Deadline-Ms") == "5500");
  REQUIRE(valueOf(M.Headers_, "Last-Event-Id") == "14");
  REQUIRE(valueOf(M.Headers_, "X-Hawthornroad-Request-Priority") == "1");
  std::string Text = requestText(M, "10.0.0.1:80");
  REQUIRE(Text.find("secret") == std::string::npos);
  REQUIRE(Text.find("forged") == std::string::npos);
  REQUIRE(Text.find("Host: h.example\r\n") != std::string::npos);
}

TEST_CASE(
    "platform answer, decoded, counts as not run only if the endpoint says so",
    "[platform]") {
  struct Row {
    std::string Name_;
    unsigned Status_;
    HeaderFields Fields_;
    bool NotRun_, Signed_, Other_;
  };
  for (const Row &R :
       std::vector<Row>{{"good",
                         200,
                         {{"X-Hawthornroad-Server-Stamp", "s"}},
                         false,
                         true,
                         false},
                        {"full",
                         503,
                         {{"X-Hawthornroad-Not-Executed", "1"}},
                         true,
                         false,
                         false},
                        {"bare 503", 503, {}, false, false, false},
                        {"other endpoint",
                         421,
                         {{"X-Hawthornroad-Instance-Id", "i-2"}},
                         true,
                         false,
                         true}}) {
    CAPTURE(R.Name_);
    EndpointHead H = platform::decodeAnswer(R.Status_, R.Fields_);
    REQUIRE(H.NotRun_ == R.NotRun_);
    REQUIRE(H.IsSigned_ == R.Signed_);
    REQUIRE(H.IsOtherEndpoint_ == R.Other_);
  }
  EndpointHead H =
      platform::decodeAnswer(200, {{"X-Hawthornroad-Server-Load", "3,1,16"},
                                   {"X-Hawthornroad-Weight-Versions", "2"},
                                   {"Keep-Alive", "timeout=5"}});
  REQUIRE(H.HasLoad_);
  REQUIRE(H.Running_ == 3);
  REQUIRE(H.Waiting_ == 1);
  REQUIRE(H.Version_ == 2);
  REQUIRE(findField(H.Headers_, "Keep-Alive") == nullptr);
}

// Guards against a figure that keeps an endpoint out, or that costs its load
// report, because it makes no sense.
TEST_CASE("platform load header, with a fourth number, tells the slowdown",
          "[platform][speed]") {
  struct Row {
    std::string Text_;
    std::optional<double> Slowdown_;
    bool IsUnreadable_ = false;
    bool HasLoad_ = true;
  };
  for (const Row &R :
       std::vector<Row>{{"3,1,16", {}},
                        {"3,1,16,", {}},
                        {"3,1,16 , ", {}},
                        {"3,1,16,100", 1.0},
                        {"3, 1, 16, 250", 2.5},
                        {"3,1,16,250,7", 2.5},
                        {"3,1,16,97.5", 0.975},
                        {"3,1,16,10000", 100.0},
                        {"3,1,16,10001", {}, true},
                        {"3,1,16,0", {}, true},
                        {"3,1,16,-250", {}, true},
                        {"3,1,16,250x", {}, true},
                        {"3,1,16,2e2", {}, true},
                        {"3,1,16,nan", {}, true},
                        {"3,1,16,inf", {}, true},
                        {"3,1,16,99999999999999999999999", {}, true},
                        {"3,1", {}, false, false},
                        {"250", {}, false, false},
                        {"", {}, false, false}}) {
    CAPTURE(R.Text_);
    EndpointHead H =
        platform::decodeAnswer(200, {{"X-Hawthornroad-Server-Load", R.Text_}});
    REQUIRE(H.HasLoad_ == R.HasLoad_);
    REQUIRE(H.Running_ == (R.HasLoad_ ? 3 : 0));
    REQUIRE(H.Slowdown_.has_value() == R.Slowdown_.has_value());
    if (R.Slowdown_)
      REQUIRE(*H.Slowdown_ == Approx(*R.Slowdown_));
    REQUIRE(H.IsSlowdownUnreadable_ == R.IsUnreadable_);
    // Such a figure does not prolong a rate limit.
    REQUIRE(H.Unreadable_.empty());
  }
}

TEST_CASE("platform store, its answers read, tells failures apart",
          "[platform]") {
  platform::StoreWire W;
  REQUIRE(std::get<StoreFailure>(W.read(410, "{}")) ==
          StoreFailure::HistoryGone);
  REQUIRE(std::get<StoreFailure>(W.read(412, "{}")) == StoreFailure::Conflict);
  REQUIRE(std::get<StoreFailure>(W.read(503, "")) == StoreFailure::Refused);
  REQUIRE(std::get<StoreFailure>(W.read(429, "")) == StoreFailure::Refused);
  REQUIRE(std::get<StoreFailure>(W.read(200, "{")) == StoreFailure::Malformed);
  REQUIRE(std::get<StoreFailure>(W.read(
              200, R"({"rows":[{"key":"k","value":"a*b="}],"ver":1})")) ==
          StoreFailure::Malformed);
  auto Rows = std::get<StoreRows>(W.read(
      200, R"({"rows":[{"table":"t","part":"","key":"k","value":"aGkAIQ==",
      "ver":5},{"table":"t","key":"g","ver":6,"removed":true}],
      "has_more":true,"ver":9})"));
  REQUIRE(Rows.Version_ == 9);
  REQUIRE(Rows.HasMore_);
  REQUIRE(Rows.Rows_[0].Value_ == std::string("hi\0!", 4));
  REQUIRE(Rows.Rows_[1].IsRemoved_);
}

TEST_CASE("platform store, its calls written, escape names and encode values",
          "[platform]") {
  platform::StoreWire W;
  REQUIRE(W.list("a/b c", "k&1", "").Target_ ==
          "/-/rows-get?table=a%2Fb%20c&part=&from=k%261");
  platform::KeyRange Versions = platform::versionKeyRange();
  REQUIRE(W.list("op", Versions.From_, Versions.To_).Target_ ==
          "/-/rows-get?table=op&part=&from=version%2F&to=version0");
  REQUIRE(W.feed("op", 12, Milliseconds(2500)).Target_ ==
          "/-/rows-feed?table=op&after=12&wait_ms=2500");
  StoreTransaction T;
  T.Conditions_ = {{"t", "k", 3}};
  T.Puts_ = {{"t", "k", "hi", 0, false}, {"t", "old", "", 0, true}};
  auto Body = boost::json::parse(W.write(T).Body_).as_object();
  REQUIRE(Body["expected"].as_array()[0].as_object()["ver"].to_number<int>() ==
          3);
  REQUIRE(Body["puts"].as_array()[0].as_object()["value"].as_string() ==
          "aGk=");
  REQUIRE(Body["remove"].as_array().size() == 1);
}

TEST_CASE("platform manifest, when detectably corrupt, is rejected",
          "[platform]") {
  std::string Digest(64, 'a');
  std::string Good = R"({"model":"m","version":2,"chunk_bytes":10,"layers":1,
    "digests":[")" + Digest +
                     "\"]}";
  ModelVersion V{"m", 2};
  REQUIRE(platform::decodeManifest(Good, V)->Digests_.size() == 1);
  for (const std::string &Bad :
       {Good.substr(0, Good.size() - 3), std::string("{}"),
        std::string(R"({"version":2,"chunk_bytes":10,"digests":["zz"]})"),
        std::string(R"({"version":2,"chunk_bytes":10,"digests":[]})")}) {
    CAPTURE(Bad);
    REQUIRE_FALSE(platform::decodeManifest(Bad, V));
  }
  REQUIRE_FALSE(platform::decodeManifest(Good, {"m", 3}));
}

TEST_CASE("platform engine report, decoded, tells what is loaded",
          "[platform]") {
  EngineReport S = platform::decodeReport(
      R"({"stage":"both","models":[{"name":"m","version":2}],"busy":true,
      "seq":3,"queued":1,"running":12})");
  REQUIRE(S.Loaded_ == ModelVersion{"m", 2});
  REQUIRE(S.IsBusy_);
  REQUIRE(S.Orders_ == 3);
  REQUIRE(S.Running_ == 12);
  REQUIRE(S.Waiting_ == 1);
  REQUIRE(platform::decodeReport("{\"models\":[]}").Loaded_.Version_ == 0);
  REQUIRE_THROWS_AS(platform::decodeReport("nothing"), Error);
}

TEST_CASE("platform engine report, with a slowdown in its header or its body, "
          "tells it",
          "[platform][speed]") {
  struct Row {
    std::string Body_;
    std::string Load_;
    std::optional<double> Slowdown_;
    bool IsUnreadable_ = false;
  };
  for (const Row &R :
       std::vector<Row>{{R"({"running":3})", "", {}},
                        {R"({"running":3})", "3,0,16,250", 2.5},
                        {R"({"running":3,"pace":1.5})", "", 1.5},
                        {R"({"running":3,"pace":2})", "3,0,16", 2.0},
                        {R"({"running":3,"pace":1.5})", "3,0,16,250", 2.5},
                        {R"({"running":3,"pace":1.5})", "3,0,16,x", 1.5, true},
                        {R"({"running":3,"pace":null})", "", {}},
                        {R"({"running":3,"pace":"2"})", "", {}, true},
                        {R"({"running":3,"pace":0})", "", {}, true},
                        {R"({"running":3,"pace":-2})", "", {}, true},
                        {R"({"running":3,"pace":101})", "", {}, true},
                        {R"({"running":3,"pace":1e308})", "", {}, true},
                        {R"({"running":3,"pace":[2]})", "", {}, true}}) {
    CAPTURE(R.Body_, R.Load_);
    HeaderFields Fields;
    if (!R.Load_.empty())
      Fields.push_back({"X-Hawthornroad-Server-Load", R.Load_});
    EngineReport S = platform::decodeReport(R.Body_, Fields);
    REQUIRE(S.Running_ == 3);
    REQUIRE(S.Slowdown_ == R.Slowdown_);
    REQUIRE(S.IsSlowdownUnreadable_ == R.IsUnreadable_);
  }
}

// Guards against a header of prompt parts that makes a request fail, or whose
// last part, the request's own, is taken for one that others share.
TEST_CASE("call decoding, given a header of prompt parts, keeps the shared "
          "parts and passes the header on unchanged",
          "[wire]") {
  struct Row {
    std::string Text_;
    std::vector<PromptPart> Parts_;
    bool IsUnreadable_ = false;
  };
  std::string TooMany = "1:1";
  for (std::size_t I = 0; I <= platform::MaxPromptParts; ++I)
    TooMany += ",1:1";
  for (const Row &R : std::vector<Row>{
           {"5c1e07a2:800,91bd3f06:410,e4402b7d:250", {0x5c1e07a2, 0x91bd3f06}},
           {"5c1e07a2:800, 91bd3f06:410 ,e4402b7d:250",
            {0x5c1e07a2, 0x91bd3f06}},
           {"e4402b7d:250", {}},
           {"FFFFFFFFFFFFFFFF:1,1:1", {0xffffffffffffffff}},
           {"1ffffffffffffffff:1,1:1", {}, true},
           {"xyz:1,1:1", {}, true},
           {"1,2:1", {}, true},
           {"1:1,,2:1", {}, true},
           {",", {}, true},
           {TooMany, {}, true}}) {
    CAPTURE(R.Text_);
    InboundRequest In;
    In.Headers_ = {{"X-Hawthornroad-Prompt-Prefix", R.Text_}};
    Call C = platform::decodeCall(In);
    CHECK(C.Parts_ == R.Parts_);
    CHECK(C.HasUnreadableParts_ == R.IsUnreadable_);
    HttpMessage Attempt = platform::encodeAttempt(C, {});
    const std::string *Sent =
        findField(Attempt.Headers_, "X-Hawthornroad-Prompt-Prefix");
    REQUIRE(Sent != nullptr);
    CHECK(*Sent == R.Text_);
  }
}
