#include "hawthornroad/routing/CallerAnswer.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace hawthornroad {

namespace {
constexpr unsigned StatusOk = 200;
constexpr std::string_view EventStream = "text/event-stream";

bool equalsIgnoreCase(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(), [](char X, char Y) {
    return std::tolower(static_cast<unsigned char>(X)) ==
           std::tolower(static_cast<unsigned char>(Y));
  });
}

bool isEventStream(const CallerAnswer::Head &H) {
  if (H.Status_ != StatusOk)
    return false;
  for (const HeaderField &Each : H.Headers_)
    if (equalsIgnoreCase(Each.Name_, "content-type"))
      return equalsIgnoreCase(
          std::string_view(Each.Value_).substr(0, EventStream.size()),
          EventStream);
  return false;
}
} // namespace

bool CallerAnswer::head(Head H) {
  bool Events = isEventStream(H);
  if (Begun_)
    return IsEvents_ && Events && H.Version_ == Head_.Version_;
  Head_ = std::move(H);
  HasHead_ = true;
  IsEvents_ = Events;
  return true;
}

CallerAnswer::Out CallerAnswer::release(std::string Bytes) {
  Out O;
  O.Begins_ = !Begun_;
  Begun_ = true;
  BytesPassed_ += Bytes.size();
  if (KeepsPassed_ && Passed_.size() + Bytes.size() <= MaxHeld)
    Passed_ += Bytes;
  O.Bytes_ = std::move(Bytes);
  return O;
}

CallerAnswer::Out CallerAnswer::data(std::string_view Bytes) {
  if (IsEvents_) {
    std::string Whole = Events_.feed(Bytes);
    return Whole.empty() ? Out{} : release(std::move(Whole));
  }
  if (Begun_)
    return release(std::string(Bytes));
  Held_.append(Bytes);
  if (Held_.size() <= MaxHeld)
    return {};
  return release(std::exchange(Held_, {}));
}

CallerAnswer::Out CallerAnswer::end() {
  if (IsEvents_)
    return release(Events_.rest());
  return release(std::exchange(Held_, {}));
}

KeptAnswer CallerAnswer::kept(std::size_t MaxBody) const {
  KeptAnswer K;
  K.Status_ = Head_.Status_;
  K.Headers_ = Head_.Headers_;
  K.Version_ = Head_.Version_;
  std::string Body = Passed_ + Held_ + Events_.rest();
  K.HasBody_ = Passed_.size() == BytesPassed_ && Body.size() <= MaxBody;
  if (K.HasBody_)
    K.Body_ = std::move(Body);
  return K;
}

void CallerAnswer::restart() {
  Held_.clear();
  Events_.dropRest();
  if (Begun_)
    return;
  HasHead_ = false;
  IsEvents_ = false;
}

} // namespace hawthornroad
