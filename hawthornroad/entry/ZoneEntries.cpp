#include "hawthornroad/entry/ZoneEntries.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/peers/PeerNet.h"

#include <algorithm>
#include <utility>

namespace hawthornroad {

namespace {
// The table of presence rows, which only this system uses.
constexpr std::string_view PresenceTable = "entries";
// Entries that start together have written their rows within this time.
constexpr Duration SecondListingDelay = Milliseconds(1500);
// New entries query older ones, not the reverse, so an outdated list costs at
// most an indirect path.
constexpr Duration ListingInterval = Seconds(30);
// All VMs of a deployment start within 0.3 s of each other.
constexpr Duration WriteDelay = Milliseconds(400);
constexpr Duration ListingRetryDelay = Milliseconds(1000);
// Minimum time between two listings, also when refreshSoon() is called.
constexpr Duration MinListingInterval = Milliseconds(5000);
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
    throw Error(Step::Table, "", "value is not an entry's presence row");
  const auto *P = wire::GetFrame(Value.data())->body_as_EntryPresence();
  if (P == nullptr)
    throw Error(Step::Table, "", "value is not an entry's presence row");
  return {P->process()->str(), PeerAddress(P->address()->str()),
          P->link_mbps()};
}

void listPresences(StoreClient &Store, EventLog &Log,
                   const AvailabilityZone &Zone, PresencesHandler D) {
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

std::vector<PeerAddress> precedingEntries(const ZoneEntry &Self,
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
    // The row of an earlier process that had this entry's address.
    if (Each.Address_ != Self.Address_)
      Out.push_back(Each.Address_);
  }
  return Out;
}

Duration nextListingDelay(bool WasFirst) {
  return WasFirst ? SecondListingDelay : ListingInterval;
}

ZoneEntries::ZoneEntries(StoreClient &Store, EventLog &Log,
                         AvailabilityZone Zone, ZoneEntry Self,
                         std::function<TimePoint()> Clock, Handler H)
    : Store_(Store), Log_(Log), Zone_(std::move(Zone)), Self_(std::move(Self)),
      Clock_(std::move(Clock)), Handler_(std::move(H)) {}

ZoneEntries::~ZoneEntries() { *Alive_ = false; }

void ZoneEntries::tick(TimePoint Now) {
  if (!IsListing_ && Now >= ListAt_)
    list();
}

void ZoneEntries::refreshSoon(TimePoint Now) {
  ListAt_ = std::min(ListAt_, std::max(Now, ListedAt_ + MinListingInterval));
}

void ZoneEntries::list() {
  IsListing_ = true;
  listPresences(Store_, Log_, Zone_, [this, Alive = Alive_](auto Entries) {
    if (!*Alive)
      return;
    IsListing_ = false;
    ListAt_ = Clock_() + ListingRetryDelay;
    if (Entries)
      onEntries(std::move(*Entries));
  });
}

bool ZoneEntries::isPremature(const std::vector<ZoneEntry> &All) {
  bool IsPresent = std::find(All.begin(), All.end(), Self_) != All.end();
  if (IsPresent || ListedAt_ != TimePoint() || std::exchange(HasWritten_, true))
    return false;
  write();
  ListAt_ = Clock_() + WriteDelay;
  return true;
}

void ZoneEntries::onEntries(std::vector<ZoneEntry> All) {
  if (isPremature(All))
    return;
  bool IsFirst = ListedAt_ == TimePoint();
  ListedAt_ = Clock_();
  ListAt_ = ListedAt_ + nextListingDelay(IsFirst);
  if (std::find(All.begin(), All.end(), Self_) == All.end())
    write();
  Handler_(precedingEntries(Self_, std::move(All)));
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
  // If the write fails, other entries do not find this one; the next listing
  // lacks the row and it is written again.
  Store_.write(T, [this, Alive = Alive_](const StoreReply &R) {
    const auto *Failure = std::get_if<StoreFailure>(&R);
    if (*Alive && Failure != nullptr)
      Log_.write(
          LogLine("presence_not_written").text("why", toString(*Failure)));
  });
}

} // namespace hawthornroad
