// Many ControlCores in one thread, connected by a deterministic message loop
// with delays, message loss and network partitions, and an in-memory table. For
// unit tests and benchmarks.
//
//   ControlLoop Loop({.Nodes_ = 32, .Zones_ = 4, .Seed_ = 1});
//   Loop.run(Seconds(10));
//   Loop.accept();                        // one more revision
//   Loop.partition({0}, true);            // isolates zone 0
//   Loop.node(3).Up_ = false;

#ifndef HAWTHORNROAD_TESTS_UNIT_CONTROLLOOP_H
#define HAWTHORNROAD_TESTS_UNIT_CONTROLLOOP_H

#include "hawthornroad/config/MergePatch.h"
#include "hawthornroad/membership/ControlCore.h"

#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornroad {

class ControlLoop {
public:
  struct Options {
    std::size_t Nodes_ = 16;
    std::size_t Zones_ = 1;
    // Every nth node of a zone is an entry, the others are agents.
    std::size_t EntryEvery_ = 4;
    std::uint64_t Seed_ = 1;
    Duration Tick_ = Milliseconds(20);
    Duration Delay_ = Milliseconds(1);
    double Loss_ = 0;
    // This share of the messages is delayed by ExtraDelay_ in addition.
    double LateShare_ = 0;
    Duration ExtraDelay_ = Milliseconds(0);
    // Period at which the agents report a changed load (EndpointsReport_).
    Duration LoadPeriod_ = Duration::zero();
  };
  struct Node {
    std::size_t Index_ = 0;
    std::size_t Zone_ = 0;
    ProcessName Name_;
    PeerAddress Address_;
    bool Up_ = true;
    // Frozen: neither ticks nor handles messages; they wait as in socket
    // buffers.
    bool Frozen_ = false;
    std::unique_ptr<ControlCore> Core_;
    std::vector<Revision> InForce_;
    std::vector<std::pair<MemberChange, TimePoint>> Changes_;
    std::vector<std::pair<PeerAddress, ControlMessage>> Pending_;
    std::uint64_t Sequence_ = 0;
    TimePoint NextLoad_{};
  };
  // Called for each message sent, before any loss.
  using Observer = std::function<void(const Node &, const ControlSend &)>;
  // Called with each call into a core, which it has to run.
  using Meter = std::function<void(const std::function<void()> &)>;

  ControlLoop(Options O, const Chart &C)
      : Options_(O), Chart_(C), Rng_(O.Seed_),
        Now_(TimePoint{} + std::chrono::hours(1)) {
    for (std::size_t I = 0; I < O.Nodes_; ++I) {
      Nodes_.push_back(std::make_unique<Node>());
      Node &N = *Nodes_.back();
      N.Index_ = I;
      N.Zone_ = I % O.Zones_;
      N.Name_ = ProcessName("process-" + std::to_string(10000 + I));
      N.Address_ = PeerAddress("10.0." + std::to_string(I / 250) + "." +
                               std::to_string(I % 250) + ":7000");
      ByAddress_[N.Address_] = I;
      boot(N, 1'000'000'000);
    }
  }

  // Replaces the process of N by a new one that knows only the seeds.
  void boot(Node &N, Incarnation I) {
    ControlCore::Setup S = Setup_;
    S.Self_.Process_ = N.Name_;
    S.Self_.Incarnation_ = I;
    S.Self_.Role_ = isEntry(N) ? "entry" : "agent";
    S.Self_.Zone_ = AvailabilityZone("zone-" + std::to_string(N.Zone_));
    S.Self_.Address_ = N.Address_;
    S.Seeds_ = {Nodes_.front()->Address_};
    if (Nodes_.size() > 1)
      S.Seeds_.push_back(Nodes_[1]->Address_);
    N.Core_ = std::make_unique<ControlCore>(Chart_, S, Random(Rng_.next()));
    N.Up_ = true;
    N.Pending_.clear();
    N.Core_->start(Now_);
    Duration First = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Options_.Tick_) * Rng_.unit());
    push(Now_ + First, [this, &N, Core = N.Core_.get()] { tick(N, Core); });
  }

  void run(Duration For) {
    TimePoint Until = Now_ + For;
    while (!Events_.empty() && Events_.top()->At_ <= Until) {
      std::shared_ptr<Event> Next = Events_.top();
      Events_.pop();
      Now_ = Next->At_;
      Next->Run_();
    }
    Now_ = Until;
  }

  // Runs until Holds returns true or Limit has passed; returns whether it held.
  bool runUntil(const std::function<bool()> &Holds, Duration Limit) {
    for (TimePoint Until = Now_ + Limit; Now_ < Until; run(Milliseconds(20)))
      if (Holds())
        return true;
    return Holds();
  }

  // Appends one more accepted change to the table.
  Revision accept() {
    Revision Next = Records_.size() + 1;
    boost::json::value Text = Text_;
    Text.as_object()["n"] = Next;
    RevisionRecord R;
    R.Revision_ = Next;
    R.Change_ = "change-" + std::to_string(Next);
    R.Author_ = "operator";
    R.Patch_ = makeMergePatch(Text_, Text);
    R.Digest_ = textDigest(Text);
    Records_.push_back(toText(R));
    Text_ = std::move(Text);
    return Next;
  }

  // Isolates Zones from all others (and from the table if WithTable).
  void partition(std::set<std::size_t> Zones, bool WithTable) {
    IsolatedZones_ = std::move(Zones);
    IsolatedFromTable_ = WithTable;
  }

  void thaw(Node &N) {
    N.Frozen_ = false;
    auto Pending = std::move(N.Pending_);
    N.Pending_.clear();
    for (auto &[From, Message] : Pending)
      deliver(N, From, Message);
  }

  void send(Node &From, const ControlSend &Send) {
    if (Observer_)
      Observer_(From, Send);
    auto Found = ByAddress_.find(Send.To_);
    if (Found == ByAddress_.end() || Rng_.unit() < Options_.Loss_)
      return;
    Node &To = *Nodes_[Found->second];
    if (IsolatedZones_.count(From.Zone_) != IsolatedZones_.count(To.Zone_))
      return;
    Duration Delay = Rng_.jitter(Options_.Delay_, 0.5);
    if (Options_.LateShare_ > 0 && Rng_.unit() < Options_.LateShare_)
      Delay += Options_.ExtraDelay_;
    push(Now_ + Delay,
         [this, &To, Address = From.Address_, Message = Send.Message_] {
           deliver(To, Address, Message);
         });
  }

  Node &node(std::size_t I) { return *Nodes_[I]; }
  std::size_t size() const { return Nodes_.size(); }
  TimePoint now() const { return Now_; }
  bool isEntry(const Node &N) const {
    return (N.Index_ / Options_.Zones_) % Options_.EntryEvery_ == 0;
  }
  Options &options() { return Options_; }

  // Settings of cores booted from now on; after a change, boot all nodes again.
  ControlCore::Setup Setup_;
  Observer Observer_;
  Meter Meter_;
  // The table: whether it answers, and how many of its records it returns.
  bool TableUp_ = true;
  std::size_t VisibleRecords_ = SIZE_MAX;
  std::uint64_t TableReads_ = 0;
  bool EndpointsReport_ = false;

private:
  struct Event {
    TimePoint At_;
    std::uint64_t Order_;
    std::function<void()> Run_;
  };
  struct Later {
    bool operator()(const std::shared_ptr<Event> &A,
                    const std::shared_ptr<Event> &B) const {
      return std::tie(A->At_, A->Order_) > std::tie(B->At_, B->Order_);
    }
  };

  void push(TimePoint At, std::function<void()> Run) {
    Events_.push(std::make_shared<Event>(Event{At, Order_++, std::move(Run)}));
  }

  void metered(const std::function<void()> &Call) {
    if (Meter_)
      Meter_(Call);
    else
      Call();
  }

  void tick(Node &N, ControlCore *Core) {
    // A replaced process stops ticking.
    if (N.Core_.get() != Core || !N.Up_)
      return;
    push(Now_ + Options_.Tick_, [this, &N, Core] { tick(N, Core); });
    if (N.Frozen_)
      return;
    ControlCore::Output Out;
    metered([&] { N.Core_->tick(Now_, Out); });
    finish(N, Out);
    if (EndpointsReport_ && !isEntry(N) && Now_ >= N.NextLoad_)
      report(N);
  }

  void report(Node &N) {
    N.NextLoad_ = Now_ + Rng_.jitter(Options_.LoadPeriod_, 0.1);
    EndpointStatus S;
    S.Vm_ = Vm(N.Name_.str());
    S.Process_ = N.Name_;
    S.Incarnation_ = N.Core_->table().self().Incarnation_;
    S.Sequence_ = ++N.Sequence_;
    S.Address_ = S.WeightsAddress_ = N.Address_;
    S.Zone_ = N.Core_->table().self().Zone_;
    S.Service_ = ServiceName("copywriter-lm");
    S.Phase_ = EndpointPhase::Ready;
    S.Version_ = VersionDigest("sha256:" + std::string(64, 'a'));
    S.Staged_ = {S.Version_};
    S.Running_ = static_cast<std::uint32_t>(N.Sequence_ % 16);
    ControlCore::Output Out;
    metered([&] { N.Core_->publish(S, Now_, Out); });
    finish(N, Out);
  }

  void deliver(Node &N, const PeerAddress &From, const ControlMessage &M) {
    if (!N.Up_)
      return;
    if (N.Frozen_) {
      N.Pending_.emplace_back(From, M);
      return;
    }
    ControlCore::Output Out;
    metered([&] { N.Core_->handle(From, M, Now_, Out); });
    finish(N, Out);
  }

  void finish(Node &N, ControlCore::Output &Out) {
    for (MemberChange &Each : Out.Changes_)
      if (Each.Kind_ != MemberChange::Kind::Reported)
        N.Changes_.emplace_back(std::move(Each), Now_);
    if (Out.Read_)
      answer(N, *Out.Read_);
    if (Out.Advanced_) {
      Revision R = N.Core_->config().log().revision();
      N.Core_->setInForce(R);
      N.InForce_.push_back(R);
    }
    for (const ControlSend &Each : Out.Sends_)
      send(N, Each);
  }

  void answer(Node &N, const ConfigRead &Read) {
    ++TableReads_;
    ConfigAnswer A;
    A.Id_ = Read.Id_;
    A.Answered_ =
        TableUp_ && !(IsolatedFromTable_ && IsolatedZones_.count(N.Zone_) != 0);
    std::size_t Shown = std::min(Records_.size(), VisibleRecords_);
    for (std::size_t I = 0; A.Answered_ && I < Shown; ++I) {
      std::string Key = revisionKey(I + 1);
      bool Wanted = Read.Kind_ == ConfigRead::Kind::Next ? Key == Read.Key_
                                                         : Key > Read.Key_;
      if (Read.Kind_ != ConfigRead::Kind::Snapshot && Wanted &&
          (Read.Kind_ == ConfigRead::Kind::Next ||
           A.Values_.size() < Read.Limit_))
        A.Values_.push_back(Records_[I]);
    }
    push(Now_ + Milliseconds(2), [this, &N, A] {
      if (!N.Up_ || N.Frozen_)
        return;
      ControlCore::Output Out;
      metered([&] { N.Core_->tableAnswered(A, Now_, Out); });
      finish(N, Out);
    });
  }

  Options Options_;
  Chart Chart_;
  Random Rng_;
  TimePoint Now_;
  std::vector<std::unique_ptr<Node>> Nodes_;
  std::unordered_map<PeerAddress, std::size_t> ByAddress_;
  std::priority_queue<std::shared_ptr<Event>,
                      std::vector<std::shared_ptr<Event>>, Later>
      Events_;
  std::uint64_t Order_ = 0;
  std::set<std::size_t> IsolatedZones_;
  bool IsolatedFromTable_ = false;
  std::vector<std::string> Records_;
  boost::json::value Text_ = boost::json::object();
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_UNIT_CONTROLLOOP_H
