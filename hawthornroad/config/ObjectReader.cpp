#include "hawthornroad/config/ObjectReader.h"

#include <algorithm>

namespace hawthornroad {

namespace {
const JsonNode &emptyObject() {
  static const JsonNode Empty = [] {
    JsonNode Node;
    Node.Kind_ = JsonNode::Kind::Object;
    return Node;
  }();
  return Empty;
}

std::string joinQuoted(const std::vector<std::string> &Words) {
  std::string Out;
  for (const std::string &Word : Words) {
    if (!Out.empty())
      Out += ", ";
    Out += "\"" + Word + "\"";
  }
  return Out;
}
} // namespace

ObjectReader::ObjectReader(const JsonNode &Node, std::string Path,
                           std::vector<Fault> &Faults)
    : Node_(&Node), Line_(Node.Line_), Path_(std::move(Path)),
      Faults_(&Faults) {
  if (Node.isObject())
    return;
  Faults.push_back(
      {Node.Line_, Path_,
       "expected an object, found a " + std::string(toString(Node.Kind_))});
  Node_ = &emptyObject();
}

std::string ObjectReader::pathOf(std::string_view Key) const {
  if (Path_.empty())
    return std::string(Key);
  return Key.empty() ? Path_ : Path_ + "." + std::string(Key);
}

void ObjectReader::fault(std::string_view Key, const std::string &Message) {
  const JsonNode *At = Node_->find(Key);
  int Line = At != nullptr ? At->Line_ : Line_;
  Faults_->push_back({Line, pathOf(Key), Message});
}

void ObjectReader::wrongKind(std::string_view Key, const JsonNode &Found,
                             const std::string &Expected) {
  fault(Key, "expected " + Expected + ", found " +
                 std::string(toString(Found.Kind_)));
}

const JsonNode *ObjectReader::take(std::string_view Key, bool Required) {
  KnownKeys_.insert(std::string(Key));
  const JsonNode *Found = Node_->find(Key);
  if (Found == nullptr && Required)
    fault(Key, "is required");
  return Found;
}

std::string ObjectReader::text(std::string_view Key) {
  const JsonNode *Found = take(Key, true);
  if (Found == nullptr)
    return {};
  if (Found->Kind_ != JsonNode::Kind::String || Found->String_.empty()) {
    wrongKind(Key, *Found, "a text that is not empty");
    return {};
  }
  return Found->String_;
}

std::string ObjectReader::text(std::string_view Key, std::string Default) {
  return has(Key) ? text(Key) : (take(Key, false), std::move(Default));
}

std::size_t ObjectReader::choice(std::string_view Key,
                                 const std::vector<std::string> &Choices,
                                 std::optional<std::size_t> Default) {
  const JsonNode *Found = take(Key, !Default);
  std::size_t Fallback = Default.value_or(0);
  if (Found == nullptr)
    return Fallback;
  auto At = std::find(Choices.begin(), Choices.end(), Found->String_);
  if (Found->Kind_ == JsonNode::Kind::String && At != Choices.end())
    return static_cast<std::size_t>(At - Choices.begin());
  fault(Key, "expected one of " + joinQuoted(Choices));
  return Fallback;
}

std::int64_t ObjectReader::integer(std::string_view Key, std::int64_t Min,
                                   std::int64_t Max,
                                   std::optional<std::int64_t> Default) {
  const JsonNode *Found = take(Key, !Default);
  std::int64_t Fallback = Default.value_or(Min);
  if (Found == nullptr)
    return Fallback;
  if (Found->Kind_ == JsonNode::Kind::Integer && Found->Integer_ >= Min &&
      Found->Integer_ <= Max)
    return Found->Integer_;
  fault(Key, "expected a whole number from " + std::to_string(Min) + " to " +
                 std::to_string(Max));
  return Fallback;
}

double ObjectReader::number(std::string_view Key, double Min, double Max,
                            std::optional<double> Default) {
  const JsonNode *Found = take(Key, !Default);
  double Fallback = Default.value_or(Min);
  if (Found == nullptr)
    return Fallback;
  bool IsNumber = Found->Kind_ == JsonNode::Kind::Integer ||
                  Found->Kind_ == JsonNode::Kind::Double;
  if (IsNumber && Found->Double_ >= Min && Found->Double_ <= Max)
    return Found->Double_;
  fault(Key, "expected a number from " + std::to_string(Min) + " to " +
                 std::to_string(Max));
  return Fallback;
}

bool ObjectReader::boolean(std::string_view Key, std::optional<bool> Default) {
  const JsonNode *Found = take(Key, !Default);
  if (Found == nullptr)
    return Default.value_or(false);
  if (Found->Kind_ == JsonNode::Kind::Bool)
    return Found->Bool_;
  wrongKind(Key, *Found, "true or false");
  return Default.value_or(false);
}

Duration ObjectReader::milliseconds(std::string_view Key, std::int64_t Min,
                                    std::int64_t Max, std::int64_t Default) {
  return Milliseconds(integer(Key, Min, Max, Default));
}

std::vector<std::string> ObjectReader::texts(std::string_view Key) {
  const JsonNode *Found = take(Key, false);
  if (Found == nullptr)
    return {};
  std::vector<std::string> Out;
  if (Found->Kind_ != JsonNode::Kind::Array) {
    wrongKind(Key, *Found, "a list of texts");
    return Out;
  }
  for (const JsonNode &Each : Found->Items_) {
    if (Each.Kind_ == JsonNode::Kind::String && !Each.String_.empty())
      Out.push_back(Each.String_);
    else
      Faults_->push_back(
          {Each.Line_, pathOf(Key), "expected a text that is not empty"});
  }
  return Out;
}

void ObjectReader::members(
    std::string_view Key,
    const std::function<void(const std::string &, ObjectReader &)> &Read) {
  const JsonNode *Found = take(Key, false);
  if (Found == nullptr)
    return;
  if (!Found->isObject()) {
    wrongKind(Key, *Found, "an object");
    return;
  }
  for (const JsonMember &Each : Found->Members_) {
    ObjectReader Inner(Each.Value_, pathOf(Key) + "." + Each.Key_, *Faults_);
    Read(Each.Key_, Inner);
    Inner.finish();
  }
}

void ObjectReader::items(std::string_view Key,
                         const std::function<void(ObjectReader &)> &Read) {
  const JsonNode *Found = take(Key, false);
  if (Found == nullptr)
    return;
  if (Found->Kind_ != JsonNode::Kind::Array) {
    wrongKind(Key, *Found, "a list of objects");
    return;
  }
  for (std::size_t I = 0; I < Found->Items_.size(); ++I) {
    ObjectReader Inner(Found->Items_[I],
                       pathOf(Key) + "[" + std::to_string(I) + "]", *Faults_);
    Read(Inner);
    Inner.finish();
  }
}

ObjectReader ObjectReader::object(std::string_view Key) {
  const JsonNode *Found = take(Key, false);
  return ObjectReader(Found != nullptr ? *Found : emptyObject(), pathOf(Key),
                      *Faults_);
}

bool ObjectReader::has(std::string_view Key) const {
  return Node_->find(Key) != nullptr;
}

void ObjectReader::finish() {
  for (const JsonMember &Each : Node_->Members_)
    if (KnownKeys_.find(Each.Key_) == KnownKeys_.end())
      Faults_->push_back({Each.Value_.Line_, pathOf(Each.Key_), "unknown key"});
}

} // namespace hawthornroad
