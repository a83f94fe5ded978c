#include "bench/WeightsModel.h"

#include "hawthornroad/base/Hash.h"
#include "hawthornroad/weights/OriginSwarm.h"
#include "hawthornroad/weights/UploadScheduler.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <queue>

namespace hawthornroad {

namespace {
constexpr std::uint64_t ModelChunkSize = 1000;
constexpr Duration TickPeriod = Milliseconds(50);
// A transfer that takes this many windows is aborted as stuck.
constexpr int MaxWindows = 6;
// Bytes of one message without its list of chunks: headers and the version.
constexpr double MessageOverhead = 120;
constexpr double ChunkIndexBytes = 4;

Duration seconds(double S) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(S));
}
double inSeconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

// A manifest of the model's chunks; its digests are not checked.
Manifest modelManifest(ChunkIndex Chunks) {
  std::string Digest = sha256("model");
  std::string Text = R"({"format":1,"model":"model","size":)" +
                     std::to_string(Chunks * ModelChunkSize) +
                     R"(,"chunk_size":)" + std::to_string(ModelChunkSize) +
                     R"(,"digest":")" + Digest + R"(","blob":"/b","chunks":[)";
  for (ChunkIndex I = 0; I < Chunks; ++I)
    Text += (I == 0 ? "\"" : ",\"") + Digest + "\"";
  Text += "]}";
  return Manifest::parse(Text, VersionDigest(sha256(Text)), "model");
}

// One direction of a link; transfers one chunk after another.
struct Link {
  struct Sending {
    Link *To_;
    std::function<void()> Arrived_;
  };
  Duration PerChunk_{};
  // Time at which all chunks that others have begun to send here have arrived.
  TimePoint FreeAt_{};
  // Chunks to send; the first one is being sent.
  std::deque<Sending> Waiting_;
};

struct ModelVm {
  SwarmPeer Name_;
  std::unique_ptr<Swarm> Swarm_;
  UploadScheduler Uploads_{{}, 0};
  Link Up_;
  Link Down_;
  bool IsDead_ = false;
  std::optional<TimePoint> DoneAt_;
  std::size_t Sent_ = 0;
};

struct Event {
  TimePoint At_;
  std::uint64_t Order_;
  std::function<void()> Do_;
  bool operator>(const Event &Other) const {
    return At_ != Other.At_ ? At_ > Other.At_ : Order_ > Other.Order_;
  }
};

class Fleet {
public:
  explicit Fleet(const ModelSetup &S)
      : Setup_(S), Manifest_(modelManifest(S.Chunks_)), Random_(S.Seed_) {
    double PerChunk = inSeconds(S.Window_) / S.Chunks_;
    Origin_.PerChunk_ = seconds(PerChunk / S.OriginCopies_);
    for (std::size_t I = 0; I < S.Vms_; ++I)
      addVm(I, seconds(PerChunk / S.LinkCopies_));
    std::vector<SwarmPeer> All = livePeers();
    for (std::size_t I = 0; I < S.Vms_; ++I) {
      decide(I, [&](Swarm &Each) { Each.setPeers(All, Now_); });
      // VMs hear of a new version within one tick of each other.
      after(seconds(Random_.unit() * inSeconds(TickPeriod)),
            [this, I] { tick(I); });
    }
    planDeaths();
  }

  TransferResult run() {
    TimePoint End = Now_ + Setup_.Window_ * MaxWindows;
    while (!Events_.empty() && Unfinished_ > 0) {
      Event Next = Events_.top();
      if (Next.At_ > End)
        break;
      Events_.pop();
      Now_ = Next.At_;
      Next.Do_();
    }
    return result();
  }

private:
  void addVm(std::size_t I, Duration PerChunk) {
    auto V = std::make_unique<ModelVm>();
    V->Name_ = {Vm("vm-" + std::to_string(I)),
                AvailabilityZone("zone-" + std::to_string(I % Setup_.Zones_))};
    V->Up_.PerChunk_ = V->Down_.PerChunk_ = PerChunk;
    V->Swarm_ = std::make_unique<Swarm>(swarmSetup(V->Name_), Manifest_,
                                        ChunkSet(Setup_.Chunks_), Now_);
    ByName_[V->Name_.Vm_] = I;
    Vms_.push_back(std::move(V));
    ++Unfinished_;
  }

  Swarm::Setup swarmSetup(const SwarmPeer &Self) {
    if (Setup_.HasNarrowOrigin_)
      return originSwarmSetup(Self, AvailabilityZone("zone-0"), Random_.next());
    return {.Self_ = Self,
            .Preference_ = Setup_.Preference_,
            .OriginCopies_ = Setup_.Budget_,
            .Seed_ = Random_.next(),
            .Plan_ = Setup_.Plan_,
            .Exchange_ = Setup_.Exchange_};
  }

  std::vector<SwarmPeer> livePeers() const {
    std::vector<SwarmPeer> Out;
    for (const auto &V : Vms_)
      if (!V->IsDead_)
        Out.push_back(V->Name_);
    return Out;
  }

  void planDeaths() {
    auto Count = static_cast<std::size_t>(
        Setup_.DeadShare_ * static_cast<double>(Setup_.Vms_) + 0.5);
    std::set<std::size_t> Chosen;
    while (Chosen.size() < Count)
      Chosen.insert(Random_.below(Setup_.Vms_));
    for (std::size_t I : Chosen)
      after(seconds(Random_.unit() * lowerBoundSeconds(Setup_)),
            [this, I] { die(I); });
  }

  void die(std::size_t I) {
    if (!Vms_[I]->DoneAt_)
      --Unfinished_;
    Vms_[I]->IsDead_ = true;
    after(Setup_.DetectAfter_, [this] {
      std::vector<SwarmPeer> Live = livePeers();
      for (std::size_t J = 0; J < Vms_.size(); ++J)
        if (!Vms_[J]->IsDead_)
          decide(J, [&](Swarm &S) { S.setPeers(Live, Now_); });
    });
  }

  void after(Duration Delay, std::function<void()> Do) {
    at(Now_ + Delay, std::move(Do));
  }
  void at(TimePoint When, std::function<void()> Do) {
    Events_.push({When, ++Order_, std::move(Do)});
  }

  // Calls VM I's decision modules and adds up the processor time.
  template <class Fn> void decide(std::size_t I, Fn Do) {
    auto Start = std::chrono::steady_clock::now();
    Do(*Vms_[I]->Swarm_);
    Cpu_ += std::chrono::steady_clock::now() - Start;
  }

  // Delivers a message to VM I; it is lost if the VM has died in the meantime.
  void message(std::size_t I, double Bytes, std::function<void()> Do) {
    ++Messages_;
    Bytes_ += MessageOverhead + Bytes;
    after(Setup_.Latency_, [this, I, Do = std::move(Do)] {
      if (!Vms_[I]->IsDead_)
        Do();
    });
  }

  void tick(std::size_t I) {
    if (Vms_[I]->IsDead_)
      return;
    std::vector<SwarmAction> Actions;
    decide(I, [&](Swarm &S) { Actions = S.tick(Now_); });
    act(I, Actions);
    after(TickPeriod, [this, I] { tick(I); });
  }

  void pump(std::size_t I) {
    std::vector<SwarmAction> Actions;
    decide(I, [&](Swarm &S) { Actions = S.pump(Now_); });
    act(I, Actions);
  }

  void act(std::size_t I, const std::vector<SwarmAction> &Actions) {
    for (const SwarmAction &A : Actions)
      std::visit([&](const auto &Each) { act(I, Each); }, A);
  }

  void act(std::size_t I, const RequestChunk &A) {
    std::size_t To = ByName_.at(A.Fetch_.From_);
    message(To, 0, [this, I, To, C = A.Fetch_.Chunk_] {
      Upload U{Vms_[I]->Name_.Vm_, Manifest_.version(), C};
      if (!Vms_[To]->Swarm_->held().has(C))
        return refuse(I, To, C, FetchResult::Missing);
      if (!Vms_[To]->Uploads_.request(U))
        return refuse(I, To, C, FetchResult::Busy);
      startUploads(To);
    });
  }

  void refuse(std::size_t I, std::size_t From, ChunkIndex C, FetchResult End) {
    message(I, 0, [this, I, From, C, End] {
      decide(I, [&](Swarm &S) {
        S.onRefused(C, Vms_[From]->Name_.Vm_, End, Now_);
      });
      pump(I);
    });
  }

  void startUploads(std::size_t From) {
    ModelVm &V = *Vms_[From];
    while (auto U = V.Uploads_.next(ModelChunkSize, Now_)) {
      std::size_t To = ByName_.at(U->Peer_);
      send(V.Up_, Vms_[To]->Down_,
           [this, From, To, U = *U] { arrive(From, To, U); });
    }
  }

  // Queues a chunk on the sender's link. The receiver's link is occupied only
  // once sending begins: a chunk that still waits at the sender must not delay
  // chunks from other senders.
  void send(Link &Sender, Link &Receiver, std::function<void()> Arrived) {
    Sender.Waiting_.push_back({&Receiver, std::move(Arrived)});
    if (Sender.Waiting_.size() == 1)
      beginSending(Sender);
  }

  void beginSending(Link &Sender) {
    Link &Receiver = *Sender.Waiting_.front().To_;
    TimePoint Sent = Now_ + Sender.PerChunk_;
    TimePoint Begin = std::max(Now_, Receiver.FreeAt_);
    Receiver.FreeAt_ = std::max(Sent, Begin + Receiver.PerChunk_);
    at(Receiver.FreeAt_ + Setup_.Latency_,
       std::move(Sender.Waiting_.front().Arrived_));
    at(Sent, [this, &Sender] {
      Sender.Waiting_.pop_front();
      if (!Sender.Waiting_.empty())
        beginSending(Sender);
    });
  }

  void arrive(std::size_t From, std::size_t To, const Upload &U) {
    if (Vms_[From]->IsDead_)
      return;
    ++Vms_[From]->Sent_;
    if (!Vms_[To]->IsDead_) {
      decide(To, [&](Swarm &S) {
        S.onChunk(U.Chunk_, Vms_[From]->Name_.Vm_, Now_);
      });
      noteDone(To);
      pump(To);
    }
    // The acknowledgement.
    message(From, 0, [this, From, U] {
      Vms_[From]->Uploads_.finish(U);
      startUploads(From);
    });
  }

  void noteDone(std::size_t I) {
    ModelVm &V = *Vms_[I];
    if (V.DoneAt_ || !V.Swarm_->isDone())
      return;
    V.DoneAt_ = Now_;
    --Unfinished_;
  }

  void act(std::size_t I, const ReadOrigin &A) {
    ++OriginReads_;
    send(Origin_, Vms_[I]->Down_, [this, I, C = A.Chunk_] {
      if (Vms_[I]->IsDead_)
        return;
      decide(I, [&](Swarm &S) { S.onOrigin(C, OriginReadResult::Good, Now_); });
      noteDone(I);
      pump(I);
    });
  }

  void act(std::size_t I, const ClaimGrant &A) {
    bool Won = Ledger_.insert(A.Grant_).second || Setup_.HasNarrowOrigin_;
    ++Messages_;
    after(Setup_.Latency_ * 2, [this, I, G = A.Grant_, Won] {
      if (Vms_[I]->IsDead_)
        return;
      decide(I, [&](Swarm &S) {
        S.onClaim(G, Won ? ClaimResult::Won : ClaimResult::Lost, Now_);
      });
      pump(I);
    });
  }

  void act(std::size_t I, const CheckOrigin &) {
    ++Messages_;
    after(Setup_.Latency_ * 2, [this, I] {
      if (!Vms_[I]->IsDead_)
        decide(I, [&](Swarm &S) { S.onOriginChecked(true, Now_); });
    });
  }

  void act(std::size_t I, const AskHave &A) {
    std::size_t To = ByName_.at(A.To_);
    message(To, 0, [this, I, To] {
      decide(To, [&](Swarm &S) { S.onAsk(Vms_[I]->Name_.Vm_, Now_); });
    });
  }

  void act(std::size_t I, const TellHave &A) {
    std::size_t To = ByName_.at(A.Update_.To_);
    std::size_t Load = Vms_[I]->Uploads_.load();
    if (A.Update_.IsFullBitmap_) {
      message(To, Setup_.Chunks_ / 8.0,
              [this, I, To, Load, Have = Vms_[I]->Swarm_->held()] {
                decide(To, [&](Swarm &S) {
                  S.onHave(Vms_[I]->Name_.Vm_, Have, Load, Now_);
                });
                pump(To);
              });
      return;
    }
    message(To, ChunkIndexBytes * static_cast<double>(A.Update_.Added_.size()),
            [this, I, To, Load, Added = A.Update_.Added_] {
              decide(To, [&](Swarm &S) {
                S.onAdded(Vms_[I]->Name_.Vm_, Added, Load, Now_);
              });
              pump(To);
            });
  }

  TransferResult result() const {
    TransferResult R;
    std::vector<double> Done;
    std::size_t Most = 0;
    std::size_t Sum = 0;
    for (const auto &V : Vms_) {
      if (V->IsDead_)
        continue;
      ++R.Survivors_;
      Most = std::max(Most, V->Sent_);
      Sum += V->Sent_;
      if (V->DoneAt_)
        Done.push_back(inSeconds(*V->DoneAt_ - TimePoint{}));
    }
    std::sort(Done.begin(), Done.end());
    R.Staged_ = Done.size();
    auto Nth = [&](std::size_t N) {
      return N >= 1 && N <= Done.size() ? Done[N - 1] : -1;
    };
    R.HalfSeconds_ = Nth(R.Survivors_ / 2);
    R.AllButOneSeconds_ = Nth(R.Survivors_ - 1);
    R.AllSeconds_ = Nth(R.Survivors_);
    R.BoundSeconds_ = lowerBoundSeconds(Setup_);
    auto Vms = static_cast<double>(Vms_.size());
    R.OriginCopies_ =
        static_cast<double>(OriginReads_) / static_cast<double>(Setup_.Chunks_);
    double Mean = static_cast<double>(Sum) / static_cast<double>(R.Survivors_);
    R.UploadMaxOverMean_ = static_cast<double>(Most) / std::max(1.0, Mean);
    R.Messages_ = static_cast<double>(Messages_) / Vms;
    R.MessageBytes_ = Bytes_ / Vms;
    R.CpuMilliseconds_ = inSeconds(Cpu_) * 1000 / Vms;
    return R;
  }

  ModelSetup Setup_;
  Manifest Manifest_;
  Random Random_;
  TimePoint Now_{};
  std::uint64_t Order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
  std::vector<std::unique_ptr<ModelVm>> Vms_;
  std::map<Vm, std::size_t> ByName_;
  std::set<Grant> Ledger_;
  Link Origin_;
  std::size_t Unfinished_ = 0;
  std::size_t OriginReads_ = 0;
  std::size_t Messages_ = 0;
  double Bytes_ = 0;
  Duration Cpu_{};
};
} // namespace

TransferResult runSwarm(const ModelSetup &S) { return Fleet(S).run(); }

} // namespace hawthornroad
