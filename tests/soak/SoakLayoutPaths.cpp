// The paths of a soak's layout: their faults, and the record of them.

#include "tests/soak/SoakLayout.h"

#include <algorithm>

namespace hawthornroad {

namespace {
TimePoint now() { return std::chrono::steady_clock::now(); }

void putInForce(const SoakLayout::Path &P) {
  if (P.Proxy_)
    P.Proxy_->setFaults(P.Faults_.empty() ? P.StandingFault_
                                          : P.Faults_.back());
}

void removeFault(SoakLayout::Path &P, const std::string &Fault) {
  auto Found = std::find(P.Faults_.begin(), P.Faults_.end(), Fault);
  if (Found != P.Faults_.end())
    P.Faults_.erase(Found);
}

// A path that only delays is slow, not disrupted.
bool isCut(const SoakLayout::Path &P) {
  return !P.Faults_.empty() &&
         P.Faults_.back().find("delay_ms") == std::string::npos;
}
} // namespace

void SoakLayout::setDisruption(Endpoint &E) {
  if (isCut(E.Path_))
    Record_.beginDisruption(E.Server_->id(), now());
  putInForce(E.Path_);
  if (!isCut(E.Path_))
    Record_.endDisruption(E.Server_->id(), now());
}

void SoakLayout::beginFault(Endpoint &E, const std::string &Fault) {
  E.Path_.Faults_.push_back(Fault);
  setDisruption(E);
}

void SoakLayout::endFault(Endpoint &E, const std::string &Fault) {
  removeFault(E.Path_, Fault);
  setDisruption(E);
}

void SoakLayout::setDisruption(Entry &E) {
  std::string Target = SoakRecord::storePath(E.Name_);
  if (isCut(E.StorePath_))
    Record_.beginDisruption(Target, now());
  putInForce(E.StorePath_);
  if (!isCut(E.StorePath_))
    Record_.endDisruption(Target, now());
}

void SoakLayout::beginFault(Entry &E, const std::string &Fault) {
  E.StorePath_.Faults_.push_back(Fault);
  setDisruption(E);
}

void SoakLayout::endFault(Entry &E, const std::string &Fault) {
  removeFault(E.StorePath_, Fault);
  setDisruption(E);
}

std::uint64_t SoakLayout::answerCopies() const {
  std::uint64_t Out = 0;
  for (const Endpoint &Each : Endpoints_)
    Out += Each.Path_.Proxy_->counters()
               .at("answer_copies")
               .to_number<std::uint64_t>();
  return Out;
}

unsigned SoakLayout::rejectedChecks() const {
  unsigned Out = 0;
  for (const Endpoint &Each : Endpoints_)
    Out += Each.Server_->rejectedChecks();
  return Out;
}

void SoakLayout::setStoreMode(StoreStandIn::Mode M) {
  bool IsNormal = M == StoreStandIn::Mode::Normal;
  if (!IsNormal)
    Record_.beginDisruption(SoakRecord::Store, now());
  Store_.setMode(M);
  if (IsNormal)
    Record_.endDisruption(SoakRecord::Store, now());
}

} // namespace hawthornroad
