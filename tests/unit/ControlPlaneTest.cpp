#include "hawthornroad/runtime/ControlPlane.h"

#include "hawthornroad/config/MergePatch.h"
#include "hawthornroad/config/RevisionRecord.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <map>
#include <mutex>
#include <thread>

using namespace hawthornroad;
namespace json = boost::json;

namespace {

constexpr auto Patience = Seconds(20);

template <class Condition> bool eventually(Condition Holds) {
  auto Until = std::chrono::steady_clock::now() + Patience;
  while (std::chrono::steady_clock::now() < Until) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(Milliseconds(10));
  }
  return false;
}

// Answers reads of the platform's table from a map.
class FakeTable {
public:
  explicit FakeTable(IoThread &Io)
      : Server_(Io, {}, [this](HttpRequest R, std::shared_ptr<HttpExchange> X) {
          X->respond(answer(R.Target_));
        }) {
    Address_ = "127.0.0.1:" + std::to_string(Server_.listen("127.0.0.1", 0));
  }

  void accept(const json::value &Text) {
    std::lock_guard Guard(Lock_);
    RevisionRecord Record;
    Record.Revision_ = ++Revision_;
    Record.Patch_ = makeMergePatch(Text_, Text);
    Record.Digest_ = textDigest(Text);
    Text_ = Text;
    Values_[revisionKey(Revision_)] = toText(Record);
  }

  std::string Address_;

private:
  HttpResponse answer(const std::string &Target) {
    std::lock_guard Guard(Lock_);
    if (Target.rfind("/table?", 0) == 0)
      return page(Target);
    auto Found = Values_.find(Target.substr(std::string("/table/").size()));
    if (Found == Values_.end())
      return {.Status_ = 404};
    return {.Status_ = 200, .Body_ = Found->second};
  }

  HttpResponse page(const std::string &Target) const {
    std::size_t At = Target.find("after=") + 6;
    std::string After = Target.substr(At, Target.find('&', At) - At);
    json::array Items;
    for (auto It = Values_.upper_bound(After); It != Values_.end(); ++It)
      Items.push_back({{"key", It->first}, {"value", It->second}});
    return jsonResponse(200, json::serialize(json::object{{"items", Items}}));
  }

  std::mutex Lock_;
  Revision Revision_ = 0;
  json::value Text_ = json::object();
  std::map<std::string, std::string> Values_;
  HttpServer Server_;
};

// The control plane of one process with its own threads and sockets.
class Process {
public:
  Process(const std::string &Name, const std::string &Role,
          const std::string &Table, std::vector<PeerAddress> Seeds)
      : Io_(Name, 4096), Client_(Io_),
        Loop_(System_, Name, Milliseconds(10), 4096),
        Net_(Io_, {ProcessName(Name), 1, AvailabilityZone("z"), Role}, {},
             {.OnFrame_ = [this](const PeerContext &From,
                                 const wire::Frame &Frame) {
               std::shared_ptr<wire::FrameT> Copy(Frame.UnPack());
               Loop_.post([this, From, Copy](TimePoint Now) {
                 Plane_->onFrame(From, *Copy, Now);
               });
             }}) {
    Address_ =
        PeerAddress("127.0.0.1:" + std::to_string(Net_.listen("127.0.0.1", 0)));
    ControlPlane::Setup Setup;
    Setup.Settings_.Process_ = ProcessName(Name);
    Setup.Settings_.Zone_ = AvailabilityZone("z");
    Setup.Settings_.Seeds_ = std::move(Seeds);
    Setup.Settings_.Platform_.Table_ = Table;
    Setup.Settings_.Charts_ = CHARTS_DIR;
    Setup.Settings_.RandomSeed_ = 7;
    Setup.Incarnation_ = 1;
    Setup.Role_ = Role;
    Setup.Address_ = Address_;
    ControlPlane::Callbacks Callbacks;
    Callbacks.OnDeclaration_ = [this](auto, Revision R) {
      Applied_.push_back(R);
    };
    Callbacks.OnEndpoint_ = [this](const EndpointStatus &S, TimePoint) {
      Endpoints_[S.Vm_] = S;
    };
    Callbacks.OnEndpointGone_ = [this](const Vm &V, Incarnation, TimePoint) {
      Endpoints_.erase(V);
    };
    Plane_ = std::make_unique<ControlPlane>(Setup, Loop_, Net_, Client_,
                                            Metrics_, Callbacks);
    Loop_.post([this](TimePoint Now) { Plane_->start(Now); });
  }

  ~Process() { Io_.stop(); }

  // Runs Question on the process's DecisionLoop thread.
  template <class T> T ask(std::function<T()> Question) {
    std::promise<T> Promise;
    auto Future = Promise.get_future();
    Loop_.post([&](TimePoint) { Promise.set_value(Question()); });
    return Future.get();
  }
  Revision revision() {
    return ask<Revision>([this] { return Plane_->revision(); });
  }
  bool ready() {
    return ask<bool>([this] { return Plane_->ready(); });
  }
  bool knows(const std::string &V) {
    return ask<bool>([this, V] { return Endpoints_.count(Vm(V)) != 0; });
  }
  std::size_t behind() {
    return ask<std::size_t>([this] {
      return Plane_->status(std::chrono::steady_clock::now())
          .at("behind")
          .as_array()
          .size();
    });
  }
  std::vector<Revision> applied() {
    return ask<std::vector<Revision>>([this] { return Applied_; });
  }
  void publish(const std::string &V) {
    EndpointStatus S;
    S.Vm_ = Vm(V);
    S.Process_ = ProcessName("agent");
    S.Incarnation_ = 1;
    S.Sequence_ = 1;
    S.Zone_ = AvailabilityZone("z");
    S.Address_ = Address_;
    S.Phase_ = EndpointPhase::Ready;
    Loop_.post([this, S](TimePoint Now) { Plane_->publish(S, Now); });
  }
  void leave() {
    Loop_.post([this](TimePoint Now) { Plane_->leave(Now); });
  }

  PeerAddress Address_;

private:
  ActorSystem System_;
  IoThread Io_;
  HttpClient Client_;
  Metrics Metrics_;
  std::unique_ptr<ControlPlane> Plane_;
  std::vector<Revision> Applied_;
  std::map<Vm, EndpointStatus> Endpoints_;
  DecisionLoop Loop_;
  PeerNet Net_;
};

json::value textWith(const std::string &Region) {
  return json::parse(R"({"format":1,"zones":{"z":{"region":")" + Region +
                     R"("}},"services":{},"customers":{}})");
}

} // namespace

TEST_CASE("control planes, joined through one seed, share members, the "
          "revision and endpoints",
          "[controlplane]") {
  IoThread Io("table", 1024);
  FakeTable Table(Io);
  Table.accept(textWith("one"));
  Process Entry("entry", "entry", Table.Address_, {});
  Process Other("other", "entry", "", {Entry.Address_});
  Process Agent("agent", "agent", "", {Entry.Address_});
  for (Process *Each : {&Entry, &Other, &Agent})
    REQUIRE(eventually([&] { return Each->ready(); }));
  for (Process *Each : {&Entry, &Other, &Agent})
    REQUIRE(Each->revision() == 1);

  Table.accept(textWith("two"));
  for (Process *Each : {&Entry, &Other, &Agent})
    REQUIRE(eventually([&] { return Each->revision() == 2; }));
  REQUIRE(eventually([&] { return Entry.behind() == 0; }));
  REQUIRE(Agent.applied() == std::vector<Revision>{1, 2});

  Agent.publish("vm-1");
  REQUIRE(eventually([&] { return Entry.knows("vm-1"); }));
  REQUIRE(eventually([&] { return Other.knows("vm-1"); }));
  Agent.leave();
  REQUIRE(eventually([&] { return !Entry.knows("vm-1"); }));
  REQUIRE(eventually([&] { return !Other.knows("vm-1"); }));
}
