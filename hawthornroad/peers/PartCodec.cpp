#include "hawthornroad/peers/PartCodec.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/peers/Ages.h"
#include "hawthornroad/peers/PeerNet.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// A longer block counts as this one.
constexpr Duration MaxBlockLeft = Seconds(24 * 3600);

std::unique_ptr<wire::PromptPartT> encodePart(const PartEvidence &E,
                                              TimePoint Now) {
  auto Out = std::make_unique<wire::PromptPartT>();
  Out->id = E.Part_;
  for (const PartEvidence::Crash &Each : E.Crashes_) {
    auto Crash = std::make_unique<wire::PartCrashT>();
    Crash->endpoint = Each.Endpoint_.Id_.str();
    Crash->born = Each.Endpoint_.Born_;
    Crash->age_us = ageInMicroseconds(Each.At_, Now);
    Out->crashes.push_back(std::move(Crash));
  }
  Out->has_sound = E.SoundAt_.has_value();
  if (E.SoundAt_)
    Out->sound_age_us = ageInMicroseconds(*E.SoundAt_, Now);
  Out->is_blocked = E.Block_ && E.Block_->Until_ > Now;
  Out->blocks = E.Blocks_;
  if (!Out->is_blocked)
    return Out;
  Out->block_age_us = ageInMicroseconds(E.Block_->At_, Now);
  Out->block_left_us = inMicroseconds(E.Block_->Until_ - Now);
  return Out;
}

PartEvidence decodePart(const wire::PromptPartT &P, TimePoint Now) {
  PartEvidence Out;
  Out.Part_ = P.id;
  for (const auto &Each : P.crashes)
    if (Each)
      Out.Crashes_.push_back({{EndpointId(Each->endpoint), Each->born},
                              timeOfAge(Each->age_us, Now)});
  if (P.has_sound)
    Out.SoundAt_ = timeOfAge(P.sound_age_us, Now);
  Out.Blocks_ = P.blocks;
  if (!P.is_blocked)
    return Out;
  Duration Left = std::chrono::microseconds(
      std::min(P.block_left_us, inMicroseconds(MaxBlockLeft)));
  Out.Block_ = {timeOfAge(P.block_age_us, Now), Now + Left};
  return Out;
}
} // namespace

wire::PartReportT encodeParts(const std::vector<PartEvidence> &Parts,
                              TimePoint Now) {
  wire::PartReportT Out;
  for (const PartEvidence &Each : Parts)
    Out.parts.push_back(encodePart(Each, Now));
  return Out;
}

void encodeEnded(const std::vector<EndpointStart> &Ended,
                 wire::PartReportT &Report) {
  for (const EndpointStart &Each : Ended) {
    auto Out = std::make_unique<wire::PartCrashT>();
    Out->endpoint = Each.Id_.str();
    Out->born = Each.Born_;
    Report.ended.push_back(std::move(Out));
  }
}

std::vector<EndpointStart> decodeEnded(const wire::PartReportT &Report) {
  std::vector<EndpointStart> Out;
  for (const auto &Each : Report.ended)
    if (Each && Out.size() < EndpointCrashes::MaxPending)
      Out.push_back({EndpointId(Each->endpoint), Each->born});
  return Out;
}

std::string encodePartRow(const PartEvidence &E, Milliseconds WrittenAt,
                          TimePoint Now) {
  wire::PartRowT Row;
  Row.written_ms = WrittenAt.count();
  Row.part = encodePart(E, Now);
  FrameBuffer Frame = makeFrame(std::move(Row));
  return {reinterpret_cast<const char *>(Frame->data()), Frame->size()};
}

PartEvidence decodePartRow(const std::string &Value, Milliseconds StoreNow,
                           TimePoint Now) {
  const Error Unreadable(Step::Table, "", "value is not a prompt part's row");
  flatbuffers::Verifier Verifier(
      reinterpret_cast<const std::uint8_t *>(Value.data()), Value.size());
  if (!wire::VerifyFrameBuffer(Verifier))
    throw Unreadable;
  const auto *Row = wire::GetFrame(Value.data())->body_as_PartRow();
  if (Row == nullptr)
    throw Unreadable;
  wire::PartRowT Unpacked;
  Row->UnPackTo(&Unpacked);
  // Compared before they are subtracted: the row may state any number.
  Milliseconds Written(
      std::clamp<std::int64_t>(Unpacked.written_ms, 0, StoreNow.count()));
  Duration Age = std::min<Duration>(StoreNow - Written, MaxBlockLeft);
  return decodePart(*Unpacked.part, Now - Age);
}

std::vector<PartEvidence> decodeParts(const wire::PartReportT &Report,
                                      TimePoint Now) {
  std::vector<PartEvidence> Out;
  for (const auto &Each : Report.parts)
    if (Each && Out.size() < CrashingParts::MaxParts)
      Out.push_back(decodePart(*Each, Now));
  return Out;
}

} // namespace hawthornroad
