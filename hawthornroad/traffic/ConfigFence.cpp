#include "hawthornroad/traffic/ConfigFence.h"

#include <algorithm>

namespace hawthornroad {

std::string_view toString(ConfigFence::State S) {
  switch (S) {
  case ConfigFence::State::Current:
    return "current";
  case ConfigFence::State::Isolated:
    return "isolated";
  case ConfigFence::State::CatchingUp:
    return "catching_up";
  case ConfigFence::State::Behind:
    return "behind";
  }
  return "unknown";
}

ConfigFence::Options ConfigFence::optionsFor(Duration Bound) {
  // As shares of the bound. ValidityShare leaves room for the inexactness of
  // clock and timers. UnreachableShare covers two answers of a store that is
  // read at the lowest rate. CatchUpShare is what remains of the period without
  // duties after a partition whose end was noticed late.
  constexpr double ValidityShare = 0.95;
  constexpr double UnreachableShare = 0.65;
  constexpr double CatchUpShare = 0.5;
  constexpr double ContactMemoryShare = 2;
  auto Part = [Bound](double Share) {
    return std::chrono::duration_cast<Duration>(Bound * Share);
  };
  return {.ProofValidity_ = Part(ValidityShare),
          .UnreachableAfter_ = Part(UnreachableShare),
          .CatchUp_ = Part(CatchUpShare),
          .ContactMemory_ = Part(ContactMemoryShare)};
}

TimePoint ConfigFence::proofExpiry() const {
  return ProvenAt_ ? *ProvenAt_ + Options_.ProofValidity_ : TimePoint::min();
}

void ConfigFence::prove(TimePoint AsOf, TimePoint Now) {
  ProvenAt_ = ProvenAt_ ? std::max(*ProvenAt_, AsOf) : AsOf;
  if (Now < proofExpiry())
    CatchUpBy_.reset();
}

void ConfigFence::reached(TimePoint At) {
  if (ReachedAt_ && At <= *ReachedAt_)
    return;
  if (!isReached(At, Options_.ContactMemory_))
    CatchUpBy_.reset();
  if (At >= proofExpiry() && !CatchUpBy_)
    CatchUpBy_ = isReached(At, Options_.UnreachableAfter_)
                     ? proofExpiry()
                     : At + Options_.CatchUp_;
  ReachedAt_ = At;
}

ConfigFence::State ConfigFence::state(TimePoint Now) const {
  if (ProvenAt_ && Now < proofExpiry())
    return State::Current;
  if (CatchUpBy_ && isReached(Now, Options_.ContactMemory_))
    return Now < *CatchUpBy_ ? State::CatchingUp : State::Behind;
  return isReached(Now, Options_.UnreachableAfter_) ? State::Behind
                                                    : State::Isolated;
}

std::optional<Duration> ConfigFence::age(TimePoint Now) const {
  if (!ProvenAt_)
    return std::nullopt;
  return Now - *ProvenAt_;
}

} // namespace hawthornroad
