#include "hawthornroad/transfer/WeightTransfer.h"

#include "hawthornroad/base/Hash.h"
#include "hawthornroad/base/Random.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace hawthornroad;

namespace {
constexpr auto Patience = Seconds(20);
constexpr std::size_t ChunkSize = 1000;
const std::string ManifestPath = "/m/manifest.json";
const std::string BlobPath = "/m/weights.bin";

std::string randomBytes(std::size_t Size, std::uint64_t Seed) {
  Random R(Seed);
  std::string Out(Size, '\0');
  for (char &C : Out)
    C = static_cast<char>(R.below(256));
  return Out;
}

struct Weights {
  explicit Weights(std::string Blob) : Blob_(std::move(Blob)) {
    std::string Chunks;
    for (std::size_t At = 0; At < Blob_.size(); At += ChunkSize)
      Chunks +=
          (At == 0 ? "\"" : ",\"") + sha256(Blob_.substr(At, ChunkSize)) + "\"";
    Manifest_ = R"({"format":1,"model":"m","size":)" +
                std::to_string(Blob_.size()) + R"(,"chunk_size":)" +
                std::to_string(ChunkSize) + R"(,"digest":")" + sha256(Blob_) +
                R"(","chunks":[)" + Chunks + R"(],"blob":")" + BlobPath +
                R"("})";
  }
  VersionDigest version() const { return VersionDigest(sha256(Manifest_)); }

  std::string Blob_;
  std::string Manifest_;
};

// An origin in this process, whose answers a test can spoil.
struct Origin {
  using Spoil = std::function<void(HttpResponse &)>;

  explicit Origin(IoThread &Io)
      : Server_(Io, {}, [this](HttpRequest R, std::shared_ptr<HttpExchange> X) {
          X->respond(answer(R));
        }) {
    Address_ = "127.0.0.1:" + std::to_string(Server_.listen("127.0.0.1", 0));
  }

  HttpResponse answer(const HttpRequest &R) {
    std::lock_guard Lock(Mutex_);
    if (Down_)
      return {.Status_ = 503};
    if (R.Target_ == ManifestPath)
      return {.Status_ = 200, .Body_ = Weights_.Manifest_};
    std::string Range = findHeader(R.Headers_, "Range").value();
    std::size_t From = std::stoul(Range.substr(6));
    std::size_t To = std::stoul(Range.substr(Range.find('-') + 1));
    HttpResponse Out{.Status_ = 206,
                     .Body_ = Weights_.Blob_.substr(From, To - From + 1)};
    if (Spoil_)
      Spoil_(Out);
    BlobBytes_ += Out.Body_.size();
    return Out;
  }
  void set(Weights W) {
    std::lock_guard Lock(Mutex_);
    Weights_ = std::move(W);
  }

  std::mutex Mutex_;
  Weights Weights_{""};
  Spoil Spoil_;
  std::atomic<bool> Down_{false};
  std::atomic<std::uint64_t> BlobBytes_{0};
  HttpServer Server_;
  std::string Address_;
};

// The platform's table, as far as the ledger of origin reads needs it.
struct Ledger {
  explicit Ledger(IoThread &Io)
      : Server_(Io, {}, [this](HttpRequest R, std::shared_ptr<HttpExchange> X) {
          X->respond(answer(R));
        }) {
    Address_ = "127.0.0.1:" + std::to_string(Server_.listen("127.0.0.1", 0));
  }
  HttpResponse answer(const HttpRequest &R) {
    std::lock_guard Lock(Mutex_);
    if (Down_)
      return {.Status_ = 503};
    if (R.Method_ == "GET")
      return {.Status_ = 200, .Body_ = Values_[R.Target_]};
    if (!Values_.try_emplace(R.Target_, R.Body_).second)
      return {.Status_ = 412};
    // The write took effect, its answer is lost.
    if (LoseAnswers_-- > 0)
      return {.Status_ = 503};
    return {.Status_ = 200};
  }

  std::mutex Mutex_;
  std::map<std::string, std::string> Values_;
  std::atomic<bool> Down_{false};
  int LoseAnswers_ = 0;
  HttpServer Server_;
  std::string Address_;
};

struct TransferFixture {
  TransferFixture() {
    Folder_ = "/tmp/hr-weights/unit-" + std::to_string(::getpid());
    std::filesystem::remove_all(Folder_);
    Origin_.set(V1_);
  }
  ~TransferFixture() { std::filesystem::remove_all(Folder_); }

  IoThread Io_{"weights-test", 4096};
  IoThread Files_{"files-test", 4096};
  HttpClient Client_{Io_};
  Weights V1_{randomBytes(20500, 1)};
  Weights V2_{randomBytes(20500, 2)};
  Origin Origin_{Io_};
  Ledger Ledger_{Io_};
  std::string Folder_;
};

// One agent's weight path: its loop, peer listener and folder.
class Agent {
public:
  Agent(TransferFixture &F, const std::string &Name,
        const std::string &Zone = "z")
      : Name_(Name), Zone_(Zone), Loop_(System_, Name, Milliseconds(5), 4096),
        Net_(F.Io_, {.Process_ = ProcessName(Name)}, {},
             {.OnFrame_ = [this](const PeerContext &From,
                                 const wire::Frame &Frame) {
               auto Copy = std::make_shared<wire::FrameT>();
               Frame.UnPackTo(Copy.get());
               Loop_.post([this, From, Copy](TimePoint Now) {
                 if (Spoil_)
                   Spoil_(*Copy);
                 Transfer_->onFrame(From, *Copy, Now);
               });
             }}) {
    AgentSettings S;
    S.Vm_ = Vm(Name);
    S.Common_.Process_ = ProcessName(Name);
    S.Common_.Charts_ = CHARTS_DIR;
    S.Common_.RandomSeed_ = 7;
    S.Common_.Zone_ = AvailabilityZone(Zone);
    S.Common_.Platform_.Table_ = F.Ledger_.Address_;
    S.Origin_ = F.Origin_.Address_;
    S.WeightsFolder_ = F.Folder_ + "/" + Name;
    Own_ =
        PeerAddress("127.0.0.1:" + std::to_string(Net_.listen("127.0.0.1", 0)));
    Transfer_.emplace(
        WeightTransfer::Setup{.Settings_ = S, .WeightsAddress_ = Own_}, Loop_,
        Net_, F.Files_, F.Client_, Metrics_,
        WeightTransfer::Callbacks{.OnChange_ = [](TimePoint) {}});
    run([this](TimePoint Now) { Transfer_->start(Now); });
  }
  ~Agent() {
    run([this](TimePoint) { Transfer_.reset(); });
  }

  // Runs W in the loop and waits for it.
  void run(std::function<void(TimePoint)> W) {
    std::promise<void> Done;
    REQUIRE(Loop_.post([&](TimePoint Now) {
      W(Now);
      Done.set_value();
    }));
    Done.get_future().wait();
  }
  void want(const Weights &W, double Copies = 3.3) {
    WantedVersion Wanted{
        .Service_ = ServiceName("s"),
        .Model_ = {.Manifest_ = ManifestPath, .Version_ = W.version()},
        .Rollout_ = {.OriginCopies_ = Copies}};
    run([&](TimePoint Now) { Transfer_->want(Wanted, Now); });
  }
  WeightPeer peer() const { return {Vm(Name_), AvailabilityZone(Zone_), Own_}; }
  void setPeers(const std::vector<WeightPeer> &Peers) {
    run([&](TimePoint Now) { Transfer_->setPeers(Peers, Now); });
  }
  // Changes frames on their way in; set before any peer is known.
  std::function<void(wire::FrameT &)> Spoil_;
  std::string bytesOf(const Weights &W) {
    std::optional<std::string> Path;
    run([&](TimePoint) { Path = Transfer_->pathOf(W.version()); });
    if (!Path)
      return {};
    std::ifstream In(*Path, std::ios::binary);
    std::ostringstream Out;
    Out << In.rdbuf();
    return Out.str();
  }
  bool phaseIs(const std::string &Phase) {
    std::string Found;
    run([&](TimePoint Now) {
      Found = Transfer_->status(Now).at("phase").as_string();
    });
    return Found == Phase;
  }
  std::string failure() {
    std::string Out;
    run([&](TimePoint) { Out = Transfer_->failure(); });
    return Out;
  }
  template <class Condition> void await(Condition C) {
    auto End = std::chrono::steady_clock::now() + Patience;
    while (!C()) {
      REQUIRE(std::chrono::steady_clock::now() < End);
      std::this_thread::sleep_for(Milliseconds(2));
    }
  }
  void awaitStaged(const Weights &W) {
    await([&] { return !bytesOf(W).empty(); });
    REQUIRE(sha256(bytesOf(W)) == sha256(W.Blob_));
  }

private:
  std::string Name_;
  std::string Zone_;
  PeerAddress Own_;
  ActorSystem System_;
  DecisionLoop Loop_;
  Metrics Metrics_;
  PeerNet Net_;
  std::optional<WeightTransfer> Transfer_;
};

// Some agents that know each other, over two zones.
struct FleetFixture : TransferFixture {
  explicit FleetFixture(std::size_t Count = 5) {
    for (std::size_t I = 0; I < Count; ++I)
      Agents_.push_back(std::make_unique<Agent>(
          *this, "vm-" + std::to_string(I), I % 2 == 0 ? "x" : "y"));
  }
  void introduce() {
    std::vector<WeightPeer> All;
    for (auto &A : Agents_)
      All.push_back(A->peer());
    for (auto &A : Agents_) {
      std::vector<WeightPeer> Others = All;
      std::erase(Others, A->peer());
      A->setPeers(Others);
    }
  }
  void wantAll(const Weights &W, double Copies = 3.3) {
    for (auto &A : Agents_)
      A->want(W, Copies);
  }
  void awaitAll(const Weights &W) {
    for (auto &A : Agents_)
      A->awaitStaged(W);
  }

  std::vector<std::unique_ptr<Agent>> Agents_;
};
} // namespace

TEST_CASE_METHOD(TransferFixture,
                 "transfer from a healthy origin stages exactly the whole",
                 "[weights]") {
  Agent A(*this, "a");
  A.want(V1_);
  A.awaitStaged(V1_);
  REQUIRE(Origin_.BlobBytes_ == V1_.Blob_.size());
}

TEST_CASE_METHOD(
    TransferFixture,
    "transfer, when the origin corrupts and truncates, stages only "
    "right bytes",
    "[weights]") {
  // A flipped bit on the way would give answers from weights nobody made. The
  // origin flips a byte of each third answer and cuts short each fourth.
  int Answers = 0;
  Origin_.Spoil_ = [&](HttpResponse &R) {
    ++Answers;
    if (Answers % 3 == 0)
      R.Body_[R.Body_.size() / 2] ^= 1;
    else if (Answers % 4 == 0)
      R.Body_.resize(R.Body_.size() / 2);
  };
  Agent A(*this, "a");
  A.want(V1_);
  A.awaitStaged(V1_);
}

TEST_CASE_METHOD(TransferFixture,
                 "transfer, when the manifest is replaced at the origin, fails "
                 "clearly and is retried",
                 "[weights]") {
  // The declared version is V1, but its path already serves V2: staging V2
  // under V1's name would mix versions. Once V1 is back the transfer goes on.
  Origin_.set(V2_);
  Agent A(*this, "a");
  A.want(V1_);
  A.await([&] { return !A.failure().empty(); });
  REQUIRE_THAT(A.failure(), Catch::Contains("manifest: " + Origin_.Address_));
  REQUIRE(A.bytesOf(V1_).empty());
  Origin_.set(V1_);
  A.awaitStaged(V1_);
}

TEST_CASE_METHOD(TransferFixture,
                 "transfer, when a newer version is wanted midway, stages the "
                 "newer one whole",
                 "[weights]") {
  // The origin goes down with V1 half fetched, then V2 is declared: no chunk
  // of V1 may count towards V2.
  int Answers = 0;
  Origin_.Spoil_ = [&](HttpResponse &R) {
    if (++Answers > 5)
      R = {.Status_ = 503};
  };
  Agent A(*this, "a");
  A.want(V1_);
  A.await([&] { return !A.failure().empty(); });
  {
    std::lock_guard Lock(Origin_.Mutex_);
    Origin_.Spoil_ = nullptr;
    Origin_.Weights_ = V2_;
  }
  A.want(V2_);
  A.awaitStaged(V2_);
  REQUIRE(A.bytesOf(V1_).empty());
}

TEST_CASE_METHOD(TransferFixture,
                 "replaced agent finds its predecessor's chunks and reads only "
                 "the rest",
                 "[weights]") {
  int Answers = 0;
  Origin_.Spoil_ = [&](HttpResponse &R) {
    if (++Answers > 10)
      R = {.Status_ = 503};
  };
  {
    Agent First(*this, "a");
    First.want(V1_);
    First.await([&] { return !First.failure().empty(); });
  }
  {
    std::lock_guard Lock(Origin_.Mutex_);
    Origin_.Spoil_ = nullptr;
  }
  Agent Second(*this, "a");
  Second.want(V1_);
  Second.awaitStaged(V1_);
  REQUIRE(Origin_.BlobBytes_ == V1_.Blob_.size());
}

TEST_CASE_METHOD(TransferFixture,
                 "restarted agent, with a spoilt whole in its folder, fetches "
                 "it again",
                 "[weights]") {
  // A byte of the staged file changed while no agent ran (a host's bad memory,
  // a stray writer). Counting the file by its name would load it.
  std::string Path;
  {
    Agent First(*this, "a");
    First.want(V1_);
    First.awaitStaged(V1_);
    Path = Folder_ + "/a/" + V1_.version().str().substr(7) + ".bin";
  }
  {
    std::fstream File(Path, std::ios::in | std::ios::out | std::ios::binary);
    File.seekp(7);
    File.put(static_cast<char>(V1_.Blob_[7] ^ 1));
  }
  Agent Second(*this, "a");
  Second.want(V1_);
  Second.awaitStaged(V1_);
}

TEST_CASE_METHOD(FleetFixture,
                 "fleet, with nothing failing, reads one copy from the origin",
                 "[weights]") {
  introduce();
  wantAll(V1_, 1.1);
  awaitAll(V1_);
  REQUIRE(Origin_.BlobBytes_ == V1_.Blob_.size());
}

TEST_CASE_METHOD(
    FleetFixture,
    "fleet, when one peer's chunks arrive corrupted or cut, stages "
    "only right bytes within the budget",
    "[weights]") {
  // What vm-0 receives from peers is spoilt on the way, as by a bad cable: the
  // engine must never be given such a chunk, and what vm-0 must fetch again
  // counts against the origin's budget.
  int Replies = 0;
  Agents_[0]->Spoil_ = [&](wire::FrameT &F) {
    if (F.body.type != wire::Body::ChunkReply || ++Replies % 4 != 0)
      return;
    auto &Bytes = F.body.AsChunkReply()->bytes;
    if (Replies % 8 == 0 && !Bytes.empty())
      Bytes.pop_back();
    else if (!Bytes.empty())
      Bytes[Bytes.size() / 2] ^= 1;
  };
  introduce();
  wantAll(V1_, 2);
  awaitAll(V1_);
  REQUIRE(Replies >= 4);
  REQUIRE(Origin_.BlobBytes_ <= 2 * V1_.Blob_.size());
}

TEST_CASE_METHOD(FleetFixture,
                 "fleet, when VMs do not know of each other, keeps to the "
                 "origin budget",
                 "[weights]") {
  // Right after a mass restart nobody has heard of anybody: each VM takes
  // itself for the owner of every chunk. Without the ledger five VMs would
  // read five copies; with it they get 1.3, and the rest once they meet.
  wantAll(V1_, 1.3);
  std::this_thread::sleep_for(Seconds(2));
  REQUIRE(Origin_.BlobBytes_ <= 1.3 * V1_.Blob_.size());
  introduce();
  awaitAll(V1_);
  REQUIRE(Origin_.BlobBytes_ <= 1.3 * V1_.Blob_.size());
}

TEST_CASE_METHOD(FleetFixture,
                 "fleet, when the ledger loses answers and goes down for a "
                 "while, stages within the budget",
                 "[weights]") {
  {
    std::lock_guard Lock(Ledger_.Mutex_);
    Ledger_.LoseAnswers_ = 4;
  }
  Ledger_.Down_ = true;
  introduce();
  wantAll(V1_, 1.3);
  Agents_[0]->await([&] { return !Agents_[0]->phaseIs("manifest"); });
  REQUIRE(Origin_.BlobBytes_ == 0);
  Ledger_.Down_ = false;
  awaitAll(V1_);
  REQUIRE(Origin_.BlobBytes_ <= 1.3 * V1_.Blob_.size());
}

TEST_CASE_METHOD(FleetFixture,
                 "fleet, when an owner dies in mid-transfer, stages without it "
                 "within the budget",
                 "[weights]") {
  // vm-0 has read chunks that nobody else holds when it is killed. The next in
  // order must read them again, and only it.
  std::atomic<int> Answers{0};
  Origin_.Spoil_ = [&](HttpResponse &R) {
    if (++Answers > 8)
      R = {.Status_ = 503};
  };
  introduce();
  wantAll(V1_, 2);
  Agents_[0]->await([&] { return Answers > 8; });
  Agents_.erase(Agents_.begin());
  introduce();
  {
    std::lock_guard Lock(Origin_.Mutex_);
    Origin_.Spoil_ = nullptr;
  }
  awaitAll(V1_);
  REQUIRE(Origin_.BlobBytes_ <= 2 * V1_.Blob_.size());
}
