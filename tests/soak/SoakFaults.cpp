#include "tests/soak/SoakFaults.h"

#include "hawthornroad/base/Random.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace hawthornroad {

namespace {
constexpr std::size_t Series = 4;
constexpr int ShortestMs = 200;
constexpr int LongestMs = 4500;
constexpr int LongestPauseMs = 1500;

// The entry that loses the store: the first one, which the others read from and
// which reads from no other entry.
constexpr std::size_t StoreLossEntry = 0;
constexpr Duration StoreLossFrom = Milliseconds(2000);
constexpr Duration StoreLossFor = Milliseconds(9000);
constexpr Duration KeyRemovedAfter = Milliseconds(500);

struct KindRow {
  SoakFaultKind Kind_;
  const char *Name_;
  // Relative probability of being drawn.
  unsigned Weight_;
};
constexpr std::array Kinds = {
    KindRow{SoakFaultKind::StorePath, "store path", 4},
    KindRow{SoakFaultKind::EndpointPath, "endpoint path", 4},
    KindRow{SoakFaultKind::Freeze, "freeze", 3},
    KindRow{SoakFaultKind::Kill, "kill", 2},
    KindRow{SoakFaultKind::Stop, "stop", 1},
    KindRow{SoakFaultKind::Reload, "reload", 1},
    KindRow{SoakFaultKind::StoreRefuses, "store refuses", 1},
    KindRow{SoakFaultKind::StoreSilent, "store silent", 1},
    KindRow{SoakFaultKind::HistoryLost, "history lost", 1},
    KindRow{SoakFaultKind::AnswersLost, "answers lost", 2},
    KindRow{SoakFaultKind::NotRun, "not run", 2},
    KindRow{SoakFaultKind::StreamsBroken, "streams broken", 2},
    KindRow{SoakFaultKind::KeyRemoved, "key removed", 2},
    KindRow{SoakFaultKind::RouteAdded, "route added", 4}};

// A link of 50 KB/s carries about 50 stand-in answers per second.
constexpr std::array PathFaultTexts = {
    R"({"blackhole":true})", R"({"refuse":true,"reset":true})",
    R"({"delay_ms":400})",   R"({"silent_existing":true})",
    R"({"reset":true})",     R"({"delay_ms":60,"jitter_ms":60})",
    R"({"rate":50000})",     R"({"blackhole":true,"silent_existing":true})"};

const KindRow &draw(Random &R) {
  unsigned Sum = 0;
  for (const KindRow &Each : Kinds)
    Sum += Each.Weight_;
  std::uint64_t Remaining = R.below(Sum);
  for (const KindRow &Each : Kinds) {
    if (Remaining < Each.Weight_)
      return Each;
    Remaining -= Each.Weight_;
  }
  return Kinds.back();
}

Duration between(Random &R, int FromMs, int ToMs) {
  return Milliseconds(FromMs + static_cast<int>(R.below(ToMs - FromMs)));
}
} // namespace

std::vector<SoakFault> planFaults(std::uint64_t Seed, Duration Length,
                                  std::size_t Entries, std::size_t Endpoints) {
  std::vector<SoakFault> Out;
  for (std::size_t S = 0; S < Series; ++S) {
    Random R(Seed * Series + S);
    for (Duration At = between(R, 0, LongestPauseMs); At < Length;) {
      SoakFault F;
      F.Kind_ = draw(R).Kind_;
      bool IsOfEndpoint = F.Kind_ == SoakFaultKind::EndpointPath ||
                          F.Kind_ == SoakFaultKind::AnswersLost ||
                          F.Kind_ == SoakFaultKind::NotRun ||
                          F.Kind_ == SoakFaultKind::StreamsBroken;
      F.Target_ = R.below(IsOfEndpoint ? Endpoints : Entries);
      F.Path_ = PathFaultTexts[R.below(PathFaultTexts.size())];
      F.From_ = At;
      F.To_ = std::min(Length, At + between(R, ShortestMs, LongestMs));
      At = F.To_ + between(R, 0, LongestPauseMs);
      Out.push_back(std::move(F));
    }
  }
  Out.push_back({SoakFaultKind::StorePath, StoreLossEntry,
                 R"({"blackhole":true})", StoreLossFrom,
                 StoreLossFrom + StoreLossFor});
  Out.push_back({SoakFaultKind::KeyRemoved, StoreLossEntry, "",
                 StoreLossFrom + KeyRemovedAfter,
                 StoreLossFrom + StoreLossFor});
  std::sort(Out.begin(), Out.end(), [](const SoakFault &A, const SoakFault &B) {
    return A.From_ < B.From_;
  });
  return Out;
}

std::string describe(const SoakFault &F) {
  auto Row = std::find_if(Kinds.begin(), Kinds.end(), [&](const KindRow &Each) {
    return Each.Kind_ == F.Kind_;
  });
  std::ostringstream Out;
  Out << F.From_ / Milliseconds(1) << " to " << F.To_ / Milliseconds(1)
      << " ms: " << Row->Name_ << ' ' << F.Target_;
  if (F.Kind_ == SoakFaultKind::StorePath ||
      F.Kind_ == SoakFaultKind::EndpointPath)
    Out << ' ' << F.Path_;
  return Out.str();
}

} // namespace hawthornroad
