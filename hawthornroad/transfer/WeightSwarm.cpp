#include "hawthornroad/transfer/WeightSwarm.h"

#include "hawthornroad/runtime/Log.h"

#include <sstream>

namespace hawthornroad {

namespace {
constexpr const char *ReplyBusy = "busy";
constexpr std::size_t DigestPrefixLength = 7; // "sha256:"

ChunkSet toSet(const std::vector<bool> &Held) {
  ChunkSet Out(Held.size());
  for (ChunkIndex I = 0; I < Held.size(); ++I)
    if (Held[I])
      Out.add(I);
  return Out;
}
} // namespace

WeightSwarm::Note WeightSwarm::Note::parse(const std::string &Text) {
  std::size_t End = Text.find('\n');
  if (End == std::string::npos)
    return {};
  return {Text.substr(0, End), Text.substr(End + 1)};
}

WeightSwarm::WeightSwarm(WeightWork Work, OriginClient &Origin, Setup S,
                         const Manifest &M, const std::vector<bool> &Held,
                         Note N, TimePoint Now)
    : Work_(std::move(Work)), Origin_(Origin), Setup_(std::move(S)),
      Manifest_(M), Swarm_(Setup_.Swarm_, M, toSet(Held), Now),
      Download_(Setup_.DownloadRate_), Token_(N.Token_) {
  Swarm_.budget().restore(N.Charges_);
  // The token distinguishes this agent's claims from those of a predecessor on
  // this VM whose note is lost and whose charges are therefore unknown.
  if (Token_.empty()) {
    Random R(Setup_.Swarm_.Seed_);
    Token_ = Setup_.Swarm_.Self_.Vm_.str() + " " + std::to_string(R.next()) +
             " " + std::to_string(R.next());
  }
}

WeightSwarm::Note WeightSwarm::note() {
  return {Token_, Swarm_.budget().note()};
}

void WeightSwarm::setPeers(const std::vector<WeightPeer> &Peers,
                           TimePoint Now) {
  std::vector<SwarmPeer> Live;
  Addresses_.clear();
  for (const WeightPeer &P : Peers) {
    Live.push_back({P.Vm_, P.Zone_});
    Addresses_[P.Vm_] = P.WeightsAddress_;
  }
  Swarm_.setPeers(std::move(Live), Now);
}

void WeightSwarm::setRollout(const RolloutDeclaration &R) {
  Swarm_.setRollout(R.Preference_, R.OriginCopies_);
}

void WeightSwarm::tick(TimePoint Now) { run(Swarm_.tick(Now), Now); }

void WeightSwarm::pump(TimePoint Now) {
  if (Download_.isOpen(Now))
    run(Swarm_.pump(Now), Now);
}

void WeightSwarm::run(const std::vector<SwarmAction> &Actions, TimePoint Now) {
  for (const SwarmAction &A : Actions)
    std::visit([&](const auto &Each) { run(Each, Now); }, A);
}

bool WeightSwarm::sendTo(const Vm &To, FrameBuffer Frame) {
  auto Found = Addresses_.find(To);
  return Found != Addresses_.end() &&
         Work_.Net_.send(Found->second, Lane::Weights, std::move(Frame));
}

void WeightSwarm::run(const RequestChunk &A, TimePoint Now) {
  Download_.take(Manifest_.chunkSpan(A.Fetch_.Chunk_).Length_, Now);
  wire::ChunkRequestT Request;
  Request.manifest = version().str();
  Request.index = A.Fetch_.Chunk_;
  Request.vm = Setup_.Swarm_.Self_.Vm_.str();
  if (!sendTo(A.Fetch_.From_, makeFrame(std::move(Request))))
    Swarm_.onRefused(A.Fetch_.Chunk_, A.Fetch_.From_, FetchResult::Lost, Now);
}

void WeightSwarm::run(const ReadOrigin &A, TimePoint Now) {
  Download_.take(Manifest_.chunkSpan(A.Chunk_).Length_, Now);
  bool Queued = runOnFileThread<bool>(
      Work_, weak_from_this(),
      [Version = version(), Text = note().str()](ChunkStore &Store) {
        Store.writeNote(Version, Text);
        return true;
      },
      [this, Index = A.Chunk_](FileOutcome<bool> Out, TimePoint Later) {
        if (Out.Result_)
          return readRecorded(Index);
        Failure_ = Out.Reason_;
        Swarm_.onOrigin(Index, OriginReadResult::Nothing, Later);
      });
  if (!Queued)
    Swarm_.onOrigin(A.Chunk_, OriginReadResult::Nothing, Now);
}

void WeightSwarm::readRecorded(ChunkIndex Index) {
  Origin_.readChunk(Manifest_.blob(), Manifest_.chunkSpan(Index),
                    weak_from_this(),
                    [this, Index](OriginAnswer A, TimePoint Now) {
                      onOriginBytes(Index, std::move(A), Now);
                    });
}

void WeightSwarm::onOriginBytes(ChunkIndex Index, OriginAnswer A,
                                TimePoint Now) {
  if (A.End_ != OriginReadResult::Good) {
    Failure_ = A.Reason_;
    Swarm_.onOrigin(Index, A.End_, Now);
    return;
  }
  OriginBytes_ += A.Bytes_.size();
  Work_.Metrics_.count("hawthornroad_weights_origin_bytes_total", {},
                       static_cast<double>(A.Bytes_.size()));
  verifyAndStore(Index, std::move(A.Bytes_), Origin_.origin(),
                 [this, Index](const std::string &Reason, TimePoint Later) {
                   Swarm_.onOrigin(Index,
                                   Reason.empty() ? OriginReadResult::Good
                                                  : OriginReadResult::Wasted,
                                   Later);
                   pump(Later);
                 });
}

void WeightSwarm::verifyAndStore(
    ChunkIndex Index, std::string Bytes, const std::string &Sender,
    std::function<void(std::string, TimePoint)> OnDone) {
  runOnFileThread<bool>(
      Work_, weak_from_this(),
      [Version = version(), Index, Bytes = std::move(Bytes),
       Sender](ChunkStore &Store) {
        Store.write(Version, Index, Bytes, Sender);
        return true;
      },
      [this, OnDone = std::move(OnDone)](const FileOutcome<bool> &Out,
                                         TimePoint Now) {
        Failure_ = Out.Reason_;
        if (!Out.Result_) {
          Work_.Metrics_.count("hawthornroad_weights_chunks_refused_total");
          log(LogLevel::Warning, Step::Verify, "chunk rejected",
              {{"version", version().str()}, {"detail", Out.Reason_}});
        }
        OnDone(Out.Reason_, Now);
      });
}

void WeightSwarm::run(const ClaimGrant &A, TimePoint Now) {
  if (!Origin_.hasLedger()) {
    bool Own = Swarm_.holdsByView(A.Grant_);
    Swarm_.onClaim(A.Grant_, Own ? ClaimResult::Won : ClaimResult::Lost, Now);
    return;
  }
  std::string Key = "weights/origin/" + Setup_.Service_.str() + "/" +
                    version().str().substr(DigestPrefixLength) + "/" +
                    A.Grant_.str();
  Origin_.claim(Key, Token_, weak_from_this(),
                [this, G = A.Grant_](ClaimResult Result, TimePoint Later) {
                  Swarm_.onClaim(G, Result, Later);
                  pump(Later);
                });
}

void WeightSwarm::run(const CheckOrigin &, TimePoint) {
  Origin_.readChunk(Manifest_.blob(), {0, 1}, weak_from_this(),
                    [this](const OriginAnswer &A, TimePoint Now) {
                      Swarm_.onOriginChecked(A.End_ == OriginReadResult::Good,
                                             Now);
                      pump(Now);
                    });
}

void WeightSwarm::run(const AskHave &A, TimePoint) {
  wire::ChunkAskT Ask;
  Ask.manifest = version().str();
  Ask.vm = Setup_.Swarm_.Self_.Vm_.str();
  sendTo(A.To_, makeFrame(std::move(Ask)));
}

void WeightSwarm::run(const TellHave &A, TimePoint) {
  wire::ChunkHaveT Have;
  Have.manifest = version().str();
  Have.vm = Setup_.Swarm_.Self_.Vm_.str();
  Have.uploads = static_cast<std::uint32_t>(Setup_.Load_());
  if (A.Update_.IsFullBitmap_)
    Have.bitmap = held().bytes();
  else
    Have.added = A.Update_.Added_;
  sendTo(A.Update_.To_, makeFrame(std::move(Have)));
}

void WeightSwarm::onAsk(const Vm &From, TimePoint Now) {
  Swarm_.onAsk(From, Now);
}

void WeightSwarm::onHave(const wire::ChunkHaveT &Have, TimePoint Now) {
  Vm From(Have.vm);
  if (Have.bitmap.empty())
    Swarm_.onAdded(From, Have.added, Have.uploads, Now);
  else
    Swarm_.onHave(From, ChunkSet::fromBytes(Have.bitmap, held().size()),
                  Have.uploads, Now);
  pump(Now);
}

void WeightSwarm::onReply(const Vm &From, wire::ChunkReplyT &Reply,
                          TimePoint Now) {
  ChunkIndex Index = Reply.index;
  if (Index >= held().size() || held().has(Index))
    return Swarm_.onRefused(Index, From, FetchResult::Missing, Now);
  if (!Reply.error.empty()) {
    FetchResult End =
        Reply.error == ReplyBusy ? FetchResult::Busy : FetchResult::Missing;
    Swarm_.onRefused(Index, From, End, Now);
    return pump(Now);
  }
  verifyAndStore(
      Index, std::string(Reply.bytes.begin(), Reply.bytes.end()), From.str(),
      [this, Index, From](const std::string &Reason, TimePoint Later) {
        if (Reason.empty())
          Swarm_.onChunk(Index, From, Later);
        else
          Swarm_.onRefused(Index, From, FetchResult::Bad, Later);
        pump(Later);
      });
}

void WeightSwarm::onLost(const PeerAddress &Address, TimePoint Now) {
  for (const auto &[Peer, Its] : Addresses_)
    if (Its == Address)
      Swarm_.onLost(Peer, Now);
}

std::string WeightSwarm::failure(TimePoint Now) const {
  std::string StallReason = Swarm_.stallReason(Now);
  return StallReason.empty() ? Failure_ : StallReason;
}

} // namespace hawthornroad
