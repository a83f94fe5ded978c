#include "hawthornroad/config/RevisionLog.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/config/MergePatch.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <optional>

namespace hawthornroad {

namespace json = boost::json;

namespace {

constexpr std::size_t KeyDigits = 12;

// Nullopt when Text is not JSON; nested too deeply counts as not JSON.
std::optional<json::value> parseValue(std::string_view Text) {
  json::error_code Code;
  json::value Value = json::parse(Text, Code);
  if (Code)
    return std::nullopt;
  return Value;
}

std::string stringOf(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  if (Value == nullptr || !Value->is_string())
    return {};
  return std::string(Value->get_string());
}

std::uint64_t numberOf(const json::object &Object, std::string_view Key) {
  const json::value *Value = Object.if_contains(Key);
  if (Value == nullptr)
    return 0;
  json::error_code Code;
  auto Number = Value->to_number<std::uint64_t>(Code);
  return Code ? 0 : Number;
}

} // namespace

std::string revisionKey(Revision R) {
  std::string Digits = std::to_string(R);
  if (Digits.size() < KeyDigits)
    Digits.insert(0, KeyDigits - Digits.size(), '0');
  return std::string(RevisionPrefix) + Digits;
}

ConfigChange parseConfigChange(std::string_view Text, const std::string &Peer) {
  std::optional<json::value> Value = parseValue(Text);
  if (!Value || !Value->is_object())
    throw Error(Step::Apply, Peer, "an accepted change is not a JSON object");
  const json::object &Object = Value->get_object();
  ConfigChange Change;
  Change.Revision_ = numberOf(Object, "revision");
  Change.Change_ = stringOf(Object, "change");
  Change.Author_ = stringOf(Object, "author");
  Change.Reason_ = stringOf(Object, "reason");
  Change.Digest_ = stringOf(Object, "digest");
  Change.AcceptedMs_ = numberOf(Object, "accepted_ms");
  const json::value *Patch = Object.if_contains("patch");
  if (Change.Revision_ == 0 || Patch == nullptr || Change.Digest_.empty())
    throw Error(Step::Apply, Peer,
                "an accepted change lacks revision, patch or digest");
  Change.Patch_ = json::serialize(*Patch);
  return Change;
}

std::string formatConfigChange(const ConfigChange &Change) {
  json::object Object;
  Object["revision"] = Change.Revision_;
  Object["change"] = Change.Change_;
  Object["author"] = Change.Author_;
  Object["reason"] = Change.Reason_;
  Object["patch"] = json::parse(Change.Patch_);
  Object["digest"] = Change.Digest_;
  Object["accepted_ms"] = Change.AcceptedMs_;
  return json::serialize(Object);
}

RevisionLog::Outcome RevisionLog::apply(const ConfigChange &Change) {
  if (Change.Revision_ <= Revision_)
    return Outcome::Old;
  if (Change.Revision_ > Revision_ + 1)
    return Outcome::Gap;
  std::optional<json::value> Patch = parseValue(Change.Patch_);
  if (!Patch)
    return Outcome::Malformed;
  json::value Next = applyMergePatch(Text_, *Patch);
  if (textDigest(Next) != Change.Digest_)
    return Outcome::BadDigest;
  Text_ = std::move(Next);
  Revision_ = Change.Revision_;
  remember(Change);
  return Outcome::Applied;
}

RevisionLog::Outcome RevisionLog::applySnapshot(std::string_view Text) {
  std::optional<json::value> Value = parseValue(Text);
  if (!Value || !Value->is_object())
    return Outcome::Malformed;
  const json::object &Object = Value->get_object();
  Revision At = numberOf(Object, "revision");
  const json::value *Whole = Object.if_contains("text");
  if (At == 0 || Whole == nullptr)
    return Outcome::Malformed;
  if (At <= Revision_)
    return Outcome::Old;
  if (textDigest(*Whole) != stringOf(Object, "digest"))
    return Outcome::BadDigest;
  Text_ = *Whole;
  Revision_ = At;
  // What led there is not known; peers that lag get snapshots for a while.
  Recent_.clear();
  RecentBytes_ = 0;
  return Outcome::Applied;
}

std::string RevisionLog::snapshot() const {
  json::object Object;
  Object["revision"] = Revision_;
  Object["text"] = Text_;
  Object["digest"] = textDigest(Text_);
  return json::serialize(Object);
}

PushMessage RevisionLog::since(Revision After) const {
  PushMessage Out;
  if (After >= Revision_)
    return Out;
  bool Reaches =
      !Recent_.empty() && Recent_.front().Revision_ <= After + 1 && After > 0;
  if (!Reaches || Revision_ - After > Limits_.MaxPush_) {
    Out.Snapshot_ = snapshot();
    Out.SnapshotRevision_ = Revision_;
    return Out;
  }
  std::size_t Skip = After + 1 - Recent_.front().Revision_;
  Out.Changes_.assign(Recent_.begin() + static_cast<std::ptrdiff_t>(Skip),
                      Recent_.end());
  return Out;
}

void RevisionLog::remember(const ConfigChange &Change) {
  Recent_.push_back(Change);
  RecentBytes_ += Change.Patch_.size();
  while (Recent_.size() > Limits_.MaxChanges_ ||
         (RecentBytes_ > Limits_.MaxBytes_ && Recent_.size() > 1)) {
    RecentBytes_ -= Recent_.front().Patch_.size();
    Recent_.pop_front();
  }
}

} // namespace hawthornroad
