#include "hawthornroad/entry/EngineNews.h"

#include "hawthornroad/runtime/BootClock.h"

namespace hawthornroad {

namespace {
// An agent restarts within a second or so.
constexpr Duration AskAgain = Milliseconds(1000);

PeerNet::Limits limits() {
  PeerNet::Limits L;
  L.PingAfter_ = PeerPing;
  L.DeadAfter_ = PeerDead;
  return L;
}
} // namespace

EngineNews::EngineNews(IoThread &Io, PeerNet::Self Self, std::string AgentPort,
                       Handler H)
    : Port_(std::move(AgentPort)), Handler_(std::move(H)) {
  PeerNet::Callbacks C;
  C.OnFrame_ = [this](const PeerContext &, const wire::Frame &Frame) {
    const auto *Notice = Frame.body_as_EngineNotice();
    if (Notice == nullptr)
      return;
    EngineTold T;
    T.Address_ = Notice->address()->str();
    T.Phase_ = static_cast<EnginePhase>(Notice->phase());
    T.Version_ = Notice->version();
    Handler_(T);
  };
  C.OnLost_ = [this](const PeerContext &From, const Error &) {
    auto Found = Agents_.find(From.Address_.str());
    if (Found != Agents_.end())
      Found->second = bootNow() + AskAgain;
  };
  Net_ = std::make_unique<PeerNet>(Io, std::move(Self), limits(), std::move(C));
}

void EngineNews::follow(const std::set<std::string> &Engines, TimePoint Now) {
  std::set<std::string> Wanted;
  for (const std::string &Engine : Engines)
    Wanted.insert(Engine.substr(0, Engine.rfind(':')) + ":" + Port_);
  std::erase_if(Agents_, [&](const auto &Each) {
    return !Wanted.contains(Each.first);
  });
  for (const std::string &Agent : Wanted)
    if (!Agents_.contains(Agent))
      ask(Agent, Now);
}

void EngineNews::tick(TimePoint Now) {
  for (auto &[Agent, At] : Agents_)
    if (At && Now >= *At)
      ask(Agent, Now);
}

void EngineNews::ask(const std::string &Agent, TimePoint Now) {
  Agents_[Agent].reset();
  Net_->send(PeerAddress(Agent), Lane::Requests,
             makeFrame(wire::EngineWatchT{}));
}

} // namespace hawthornroad
