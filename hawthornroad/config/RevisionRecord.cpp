#include "hawthornroad/config/RevisionRecord.h"
#include "hawthornroad/base/Error.h"
#include "hawthornroad/config/MergePatch.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornroad {

namespace json = boost::json;

namespace {
[[noreturn]] void fail(const std::string &Key, const std::string &Message) {
  throw Error(Step::Apply, Key, Message);
}

json::object parseObject(std::string_view Value, const std::string &What) {
  json::error_code Code;
  json::value Root =
      json::parse(json::string_view(Value.data(), Value.size()), Code);
  if (Code)
    fail(What, "not JSON: " + Code.message());
  if (!Root.is_object())
    fail(What, "expected an object");
  return std::move(Root.get_object());
}

const json::value &member(const json::object &Object, const char *Key,
                          const std::string &What) {
  const json::value *Found = Object.if_contains(Key);
  if (Found == nullptr)
    fail(What, std::string("has no \"") + Key + "\"");
  return *Found;
}

std::string stringOf(const json::object &Object, const char *Key,
                     const std::string &What) {
  const json::value &Found = member(Object, Key, What);
  if (!Found.is_string())
    fail(What, std::string("\"") + Key + "\" is not a string");
  return std::string(Found.get_string());
}

std::int64_t integerOf(const json::object &Object, const char *Key,
                       const std::string &What) {
  const json::value &Found = member(Object, Key, What);
  if (!Found.is_int64() || Found.get_int64() < 0)
    fail(What, std::string("\"") + Key + "\" is not a non-negative integer");
  return Found.get_int64();
}
} // namespace

std::string revisionKey(Revision N) {
  constexpr std::size_t Width = 12;
  std::string Digits = std::to_string(N);
  std::size_t Padding = Digits.size() < Width ? Width - Digits.size() : 0;
  return RevisionKeyPrefix + std::string(Padding, '0') + Digits;
}

RevisionRecord parseRevisionRecord(std::string_view Value) {
  const std::string What = "revision record";
  json::object Object = parseObject(Value, What);
  RevisionRecord R;
  R.Revision_ = static_cast<Revision>(integerOf(Object, "revision", What));
  R.Change_ = stringOf(Object, "change", What);
  R.Author_ = stringOf(Object, "author", What);
  R.Reason_ = stringOf(Object, "reason", What);
  R.Patch_ = member(Object, "patch", What);
  R.Digest_ = stringOf(Object, "digest", What);
  R.AcceptedMs_ = integerOf(Object, "accepted_ms", What);
  return R;
}

TextSnapshot parseSnapshot(std::string_view Value) {
  const std::string What = "snapshot";
  json::object Object = parseObject(Value, What);
  TextSnapshot S;
  S.Revision_ = static_cast<Revision>(integerOf(Object, "revision", What));
  S.Text_ = member(Object, "text", What);
  S.Digest_ = stringOf(Object, "digest", What);
  return S;
}

std::string toText(const RevisionRecord &R) {
  return json::serialize(json::object{{"revision", R.Revision_},
                                      {"change", R.Change_},
                                      {"author", R.Author_},
                                      {"reason", R.Reason_},
                                      {"patch", R.Patch_},
                                      {"digest", R.Digest_},
                                      {"accepted_ms", R.AcceptedMs_}});
}

std::string toText(const TextSnapshot &S) {
  return json::serialize(json::object{
      {"revision", S.Revision_}, {"text", S.Text_}, {"digest", S.Digest_}});
}

RevisionFold::RevisionFold() : Text_(json::object()) {}

void RevisionFold::start(TextSnapshot S) {
  if (textDigest(S.Text_) != S.Digest_)
    fail(SnapshotKey, "its text does not match its digest");
  Revision_ = S.Revision_;
  Text_ = std::move(S.Text_);
}

void RevisionFold::add(const RevisionRecord &R) {
  if (R.Revision_ != Revision_ + 1)
    fail(revisionKey(R.Revision_),
         "follows revision " + std::to_string(Revision_));
  json::value Next = applyMergePatch(Text_, R.Patch_);
  if (textDigest(Next) != R.Digest_)
    fail(revisionKey(R.Revision_),
         "the text after its patch does not match its digest");
  Revision_ = R.Revision_;
  Text_ = std::move(Next);
}

} // namespace hawthornroad
