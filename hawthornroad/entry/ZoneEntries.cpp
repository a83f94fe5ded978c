#include "hawthornroad/entry/ZoneEntries.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/peers/PeerNet.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// This product's own table.
constexpr std::string_view PresenceTable = "entries";
// Entries that start with this one have written their rows by then.
constexpr Duration SecondLook = Milliseconds(1500);
// New entries ask the older ones, not the other way round, so a list that is
// old costs at most a detour. The spread keeps processes that started together
// apart.
constexpr Duration LookAgainAfter = Seconds(30);
constexpr Duration AfterFailure = Milliseconds(1000);
// Not oftener, whatever happens.
constexpr Duration LeastPause = Milliseconds(5000);
} // namespace

std::string encodePresence(const ZoneEntry &E) {
  wire::EntryPresenceT P;
  P.process = E.Process_;
  P.address = E.Address_.str();
  P.link_mbps = E.LinkMbps_;
  FrameBuffer Frame = makeFrame(std::move(P));
  return {reinterpret_cast<const char *>(Frame->data()), Frame->size()};
}

ZoneEntry decodePresence(const std::string &Value) {
  flatbuffers::Verifier Verifier(
      reinterpret_cast<const std::uint8_t *>(Value.data()), Value.size());
  if (!wire::VerifyFrameBuffer(Verifier))
    throw Error(Step::Table, "", "not a presence of an entry");
  const auto *P = wire::GetFrame(Value.data())->body_as_EntryPresence();
  if (P == nullptr)
    throw Error(Step::Table, "", "not a presence of an entry");
  return {P->process()->str(), PeerAddress(P->address()->str()),
          P->link_mbps()};
}

void listPresences(StoreClient &Store, EventLog &Log,
                   const AvailabilityZone &Zone, PresencesDone D) {
  // Keys are ZONE/PROCESS; '0' follows '/'.
  Store.list(std::string(PresenceTable), Zone.str() + "/", Zone.str() + "0",
             [&Log, D = std::move(D)](const StoreReply &R) {
               const auto *Rows = std::get_if<StoreRows>(&R);
               if (Rows == nullptr)
                 return D(std::nullopt);
               std::vector<ZoneEntry> Out;
               for (const StoreRow &Row : Rows->Rows_) {
                 try {
                   Out.push_back(decodePresence(Row.Value_));
                 } catch (const Error &E) {
                   Log.write(LogLine("presence_unreadable")
                                 .text("key", Row.Key_)
                                 .text("detail", E.what()));
                 }
               }
               D(std::move(Out));
             });
}

std::vector<PeerAddress> entriesBefore(const ZoneEntry &Self,
                                       std::vector<ZoneEntry> All) {
  auto ComesBefore = [](const ZoneEntry &A, const ZoneEntry &B) {
    if (A.LinkMbps_ != B.LinkMbps_)
      return A.LinkMbps_ > B.LinkMbps_;
    return A.Process_ < B.Process_;
  };
  std::sort(All.begin(), All.end(), ComesBefore);
  std::vector<PeerAddress> Out;
  for (const ZoneEntry &Each : All) {
    if (Each.Process_ == Self.Process_ || !ComesBefore(Each, Self))
      continue;
    // An address that was this one's predecessor's.
    if (Each.Address_ != Self.Address_)
      Out.push_back(Each.Address_);
  }
  return Out;
}

Duration nextLookAfter(bool WasFirst) {
  return WasFirst ? SecondLook : LookAgainAfter;
}

ZoneEntries::ZoneEntries(StoreClient &Store, EventLog &Log,
                         AvailabilityZone Zone, ZoneEntry Self,
                         std::function<TimePoint()> Clock, Handler H)
    : Store_(Store), Log_(Log), Zone_(std::move(Zone)), Self_(std::move(Self)),
      Clock_(std::move(Clock)), Handler_(std::move(H)) {}

ZoneEntries::~ZoneEntries() { *Alive_ = false; }

void ZoneEntries::tick(TimePoint Now) {
  if (!UnderWay_ && Now >= ListAt_)
    list();
}

void ZoneEntries::lookAgain(TimePoint Now) {
  ListAt_ = std::min(ListAt_, std::max(Now, ListedAt_ + LeastPause));
}

void ZoneEntries::list() {
  UnderWay_ = true;
  listPresences(Store_, Log_, Zone_, [this, Alive = Alive_](auto Entries) {
    if (!*Alive)
      return;
    UnderWay_ = false;
    ListAt_ = Clock_() + AfterFailure;
    if (Entries)
      onEntries(std::move(*Entries));
  });
}

void ZoneEntries::onEntries(std::vector<ZoneEntry> All) {
  bool IsFirst = ListedAt_ == TimePoint();
  ListedAt_ = Clock_();
  ListAt_ = ListedAt_ + nextLookAfter(IsFirst);
  if (std::find(All.begin(), All.end(), Self_) == All.end())
    write();
  Handler_(entriesBefore(Self_, std::move(All)));
}

void ZoneEntries::probe(std::function<void(bool Ok)> Done) {
  Store_.list(std::string(PresenceTable), ownKey(), ownKey() + '\0',
              [Alive = Alive_, Done = std::move(Done)](const StoreReply &R) {
                if (*Alive)
                  Done(std::holds_alternative<StoreRows>(R));
              });
}

void ZoneEntries::write() {
  StoreTransaction T;
  T.Puts_.push_back(
      {std::string(PresenceTable), ownKey(), encodePresence(Self_)});
  // Without its row others do not find this entry; the next listing shows that
  // and it is written again.
  Store_.write(T, [this, Alive = Alive_](const StoreReply &R) {
    const auto *Failure = std::get_if<StoreFailure>(&R);
    if (*Alive && Failure != nullptr)
      Log_.write(
          LogLine("presence_not_written").text("why", toString(*Failure)));
  });
}

} // namespace hawthornroad
