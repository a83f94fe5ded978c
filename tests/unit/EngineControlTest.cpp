#include "hawthornroad/runtime/EngineControl.h"
#include "hawthornroad/runtime/EngineAnswers.h"

#include <atomic>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <mutex>
#include <thread>

using namespace hawthornroad;

namespace {
constexpr auto WaitTimeout = Seconds(20);
const VersionDigest V1("sha256:one"), V2("sha256:two");

// An engine or a plain service behind a real listener. As an engine it loads a
// version immediately.
class LocalEndpoint {
public:
  explicit LocalEndpoint(IoThread &Io)
      : Server_(Io, {}, [this](HttpRequest R, std::shared_ptr<HttpExchange> X) {
          handle(R, X);
        }) {
    Address_ = "127.0.0.1:" + std::to_string(Server_.listen("127.0.0.1", 0));
  }
  void set(EngineReading R) {
    std::lock_guard Lock(Mutex_);
    Reading_ = std::move(R);
  }
  std::vector<std::string> orders() {
    std::lock_guard Lock(Mutex_);
    return Orders_;
  }

  std::string Address_;
  std::atomic<unsigned> Health_{200};
  std::atomic<bool> Silent_{false};
  std::atomic<std::size_t> Runs_{0};

private:
  void handle(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X) {
    std::lock_guard Lock(Mutex_);
    if (Silent_) {
      Unanswered_.push_back(X);
      return;
    }
    if (R.Target_ == "/healthz")
      return X->respond(jsonResponse(Health_, "{}"));
    if (R.Target_ == "/load")
      return X->respond(jsonResponse(
          200, R"({"capacity":4,"running":1,"waiting":2,"step_ms":1.5})"));
    if (R.Target_ == "/admin/model")
      return X->respond(jsonResponse(200, model()));
    if (R.Target_ != "/admin/load") {
      ++Runs_;
      return X->respond(jsonResponse(200, "{}"));
    }
    Orders_.push_back(R.Body_);
    auto Order = boost::json::parse(R.Body_).as_object();
    Reading_ = {EngineState::Ready,
                VersionDigest(std::string(Order["version"].as_string())),
                FencingNumber(Order["fencing"].to_number<std::uint64_t>()), ""};
    X->respond(jsonResponse(202, "{}"));
  }
  std::string model() const {
    bool Ready = Reading_.State_ == EngineState::Ready;
    return boost::json::serialize(
        boost::json::object{{"version", Reading_.Version_.str()},
                            {"state", Ready ? "ready" : "empty"},
                            {"fencing", Reading_.Fencing_.value()}});
  }

  std::mutex Mutex_;
  EngineReading Reading_;
  std::vector<std::string> Orders_;
  std::vector<std::shared_ptr<HttpExchange>> Unanswered_;
  HttpServer Server_;
};

struct EngineControlFixture {
  ActorSystem System_;
  IoThread Io_{"engine-test", 1024};
  HttpClient Client_{Io_};
  Metrics Metrics_;
  DecisionLoop Loop_{System_, "loop", Milliseconds(10), 1024};
  LocalEndpoint Endpoint_{Io_};
  Service Service_;
  std::atomic<std::size_t> Changes_{0};
  std::unique_ptr<EngineControl> Engine_;

  EngineControlFixture() {
    AgentSettings S;
    S.Vm_ = Vm("lm-1");
    S.Common_.Zone_ = AvailabilityZone("za");
    S.Common_.Charts_ = CHARTS_DIR;
    S.Common_.RandomSeed_ = 5;
    S.Common_.ProbePeriod_ = Milliseconds(10);
    S.ReportPeriod_ = Milliseconds(10);
    S.EndpointAddress_ = Endpoint_.Address_;
    Engine_ = std::make_unique<EngineControl>(
        EngineControl::Setup{S, 1}, Loop_, Client_, Metrics_,
        EngineControl::Callbacks{
            .OnChange_ = [this](TimePoint) { ++Changes_; },
            .RunningAttempts_ = [] { return std::size_t{3}; }});
    Service_.Name_ = ServiceName("lm");
    inLoop([&](TimePoint Now) { Engine_->start(Now); });
  }
  ~EngineControlFixture() {
    inLoop([&](TimePoint) { Engine_.reset(); });
    Io_.stop();
  }
  // Runs Work on the loop's thread and waits for it.
  void inLoop(std::function<void(TimePoint)> Work) {
    std::promise<void> Done;
    REQUIRE(Loop_.post([&](TimePoint Now) {
      Work(Now);
      Done.set_value();
    }));
    Done.get_future().wait();
  }
  bool holds(std::function<bool()> Condition) {
    auto End = std::chrono::steady_clock::now() + WaitTimeout;
    while (std::chrono::steady_clock::now() < End) {
      bool Result = false;
      inLoop([&](TimePoint) { Result = Condition(); });
      if (Result)
        return true;
      std::this_thread::sleep_for(Milliseconds(10));
    }
    return false;
  }
  bool reaches(EndpointPhase P) {
    return holds([&] { return Engine_->phase() == P; });
  }
  void declare(ServiceKind Kind, const VersionDigest &V, Revision R) {
    Service_.Kind_ = Kind;
    if (Kind == ServiceKind::Model)
      Service_.Model_ = ModelDeclaration{"/m.json", V};
    inLoop(
        [&](TimePoint Now) { Engine_->setDesiredService(&Service_, R, Now); });
  }
};
} // namespace

TEST_CASE_METHOD(EngineControlFixture,
                 "plain service is ready while its health check answers 200, "
                 "and is called for nothing else",
                 "[enginecontrol]") {
  declare(ServiceKind::Plain, {}, 1);
  REQUIRE(reaches(EndpointPhase::Ready));
  REQUIRE(Changes_ > 0);
  inLoop([&](TimePoint) {
    REQUIRE(Engine_->version().empty());
    REQUIRE(Engine_->load().Running_ == 3);
    REQUIRE(Engine_->load().Capacity_ == AgentSettings().Capacity_);
  });
  Endpoint_.Health_ = 503;
  REQUIRE(reaches(EndpointPhase::Starting));
  Endpoint_.Health_ = 200;
  REQUIRE(reaches(EndpointPhase::Ready));
  Endpoint_.Silent_ = true;
  REQUIRE(reaches(EndpointPhase::Starting));
  REQUIRE(Endpoint_.Runs_ == 0);
}

TEST_CASE_METHOD(EngineControlFixture,
                 "engine is loaded when empty, and again when it was restarted",
                 "[enginecontrol]") {
  declare(ServiceKind::Model, V1, 1);
  inLoop([&](TimePoint Now) { Engine_->setStagedPath(V1, "/w/one", Now); });
  REQUIRE(reaches(EndpointPhase::Ready));
  inLoop([&](TimePoint) {
    REQUIRE(Engine_->version() == V1);
    REQUIRE(Engine_->rollout() == "serving");
  });
  REQUIRE(holds([&] { return Engine_->load().Capacity_ == 4; }));
  REQUIRE(Endpoint_.orders().size() == 1);
  Endpoint_.set({});
  REQUIRE(holds([&] { return Endpoint_.orders().size() == 2; }));
  REQUIRE(reaches(EndpointPhase::Ready));
}

TEST_CASE_METHOD(EngineControlFixture,
                 "engine that serves an older version is moved by a turn",
                 "[enginecontrol]") {
  Endpoint_.set({EngineState::Ready, V1, FencingNumber(9), ""});
  declare(ServiceKind::Model, V2, 1);
  REQUIRE(reaches(EndpointPhase::Ready));
  inLoop([&](TimePoint Now) {
    REQUIRE(Engine_->version() == V1);
    Engine_->setStagedPath(V2, "/w/two", Now);
  });
  REQUIRE(holds([&] { return Engine_->rollout() == "draining"; }));
}

TEST_CASE("engine answers, good and bad, are parsed or refused",
          "[enginecontrol]") {
  auto Good = parseEngineReading(
      R"({"version":"sha256:one","fencing":18,"state":"failed","error":"x"})");
  REQUIRE(Good ==
          EngineReading{EngineState::Failed, V1, FencingNumber(18), "x"});
  for (const char *Bad :
       {"", "[]", "{}", R"({"state":"warm"})", R"({"state":1})", "{\"state\":"})
    REQUIRE_FALSE(parseEngineReading(Bad));
  auto Null = parseEngineReading(
      R"({"version":null,"fencing":-1,"state":"ready","error":null})");
  REQUIRE(Null);
  REQUIRE_FALSE(Null->serves());
  REQUIRE(Null->Fencing_ == FencingNumber());
  REQUIRE(parseEngineLoad(R"({"capacity":2,"step_ms":3})")->Capacity_ == 2);
  REQUIRE_FALSE(parseEngineLoad("none"));
}
