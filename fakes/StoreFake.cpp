#include "fakes/StoreFake.h"

#include <boost/json/array.hpp>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr std::size_t DefaultLimit = 1000;

std::string quoted(std::uint64_t Tag) {
  return "\"" + std::to_string(Tag) + "\"";
}

TimePoint now() { return std::chrono::steady_clock::now(); }

// Whether the conditions of a write hold; Current is null for an absent key.
bool conditionsHold(const HttpRequest &R, const std::uint64_t *Current) {
  auto Match = findHeader(R.Headers_, "If-Match");
  auto NoneMatch = findHeader(R.Headers_, "If-None-Match");
  if (NoneMatch && Current != nullptr)
    return *NoneMatch != "*" && *NoneMatch != quoted(*Current);
  if (Match && Current == nullptr)
    return false;
  return !Match || *Match == "*" || *Match == quoted(*Current);
}
} // namespace

StoreFake::StoreFake(Kind K)
    : Prefix_(K == Kind::Table ? "/table" : "/objects"),
      CanList_(K == Kind::Table) {}

void StoreFake::handle(const HttpRequest &R, const ExchangePtr &X) {
  std::string_view Path = targetPath(R.Target_);
  if (!Path.starts_with(Prefix_))
    return respondError(X, 404, "no such path");
  std::string_view Rest = Path.substr(Prefix_.size());
  if (CanList_ && R.Method_ == "GET" && Rest.empty())
    return list(R, X);
  if (Rest.size() < 2 || Rest.front() != '/')
    return respondError(X, 404, "no key");
  std::string Key = percentDecode(Rest.substr(1));
  if (R.Method_ == "GET")
    return read(Key, X);
  if (R.Method_ == "PUT" || R.Method_ == "DELETE")
    return write(Key, R, X);
  respondError(X, 405, "method is none of GET, PUT, DELETE");
}

void StoreFake::list(const HttpRequest &R, const ExchangePtr &X) {
  Reads_.count(now());
  std::string Prefix = queryValue(R.Target_, "prefix");
  std::string After = queryValue(R.Target_, "after");
  std::string LimitText = queryValue(R.Target_, "limit");
  std::size_t Limit = LimitText.empty() ? DefaultLimit : std::stoul(LimitText);
  json::array Items;
  const Entries &From = readable();
  auto At = From.lower_bound(Prefix);
  if (!After.empty() && After >= Prefix)
    At = From.upper_bound(After);
  for (; At != From.end() && Items.size() < Limit; ++At) {
    if (!At->first.starts_with(Prefix))
      break;
    Items.push_back(json::object{{"key", At->first},
                                 {"etag", quoted(At->second.Tag_)},
                                 {"value", At->second.Value_}});
  }
  respondJson(X, 200, {{"items", std::move(Items)}});
}

void StoreFake::read(const std::string &Key, const ExchangePtr &X) {
  Reads_.count(now());
  const Entries &From = readable();
  auto Found = From.find(Key);
  if (Found == From.end())
    return respondError(X, 404, "no such key");
  X->respond({.Status_ = 200,
              .Headers_ = {{"ETag", quoted(Found->second.Tag_)},
                           {"Content-Type", "application/octet-stream"}},
              .Body_ = Found->second.Value_});
}

void StoreFake::write(const std::string &Key, const HttpRequest &R,
                      const ExchangePtr &X) {
  Writes_.count(now());
  auto Found = Entries_.find(Key);
  const std::uint64_t *Current =
      Found == Entries_.end() ? nullptr : &Found->second.Tag_;
  if (!conditionsHold(R, Current)) {
    ++Conflicts_;
    HttpHeaders Headers;
    if (Current != nullptr)
      Headers.push_back({"ETag", quoted(*Current)});
    return respondJson(X, 412, {{"error", "condition failed"}}, Headers);
  }
  if (R.Method_ == "DELETE" && Current == nullptr)
    return respondError(X, 404, "no such key");
  apply(Key, R);
  answerWrite(Key, X);
}

void StoreFake::apply(const std::string &Key, const HttpRequest &R) {
  if (R.Method_ == "DELETE")
    Entries_.erase(Key);
  else
    Entries_[Key] = {R.Body_, ++LastTag_};
}

void StoreFake::answerWrite(const std::string &Key, const ExchangePtr &X) {
  if (AnswersToLose_ > 0) {
    --AnswersToLose_;
    return X->abort();
  }
  HttpHeaders Headers;
  auto Found = Entries_.find(Key);
  if (Found != Entries_.end())
    Headers.push_back({"ETag", quoted(Found->second.Tag_)});
  respondJson(X, 200, {{"ok", true}}, Headers);
}

const StoreFake::Entries &StoreFake::readable() const {
  return Stale_ ? *Stale_ : Entries_;
}

void StoreFake::setFaults(const Faults &Set) {
  AnswersToLose_ = Set.integer("lose_answers", 0);
  if (!Set.flag("stale_reads"))
    Stale_.reset();
  else if (!Stale_)
    Stale_ = Entries_;
}

json::object StoreFake::counters() const {
  return {{"reads", Reads_.total()},
          {"writes", Writes_.total()},
          {"conflicts", Conflicts_},
          {"reads_per_second_max", Reads_.peak()},
          {"writes_per_second_max", Writes_.peak()}};
}

} // namespace hawthornroad
