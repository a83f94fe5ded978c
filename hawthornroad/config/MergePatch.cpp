#include "hawthornroad/config/MergePatch.h"

#include "hawthornroad/base/Hash.h"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <string_view>
#include <vector>

namespace hawthornroad {

namespace json = boost::json;

namespace {

void writeCanonical(const json::value &Value, std::string &Out);

void writeFraction(double Value, std::string &Out) {
  // "-0" would be parsed as the integer 0.
  if (Value == 0) {
    Out += '0';
    return;
  }
  std::array<char, 64> Digits;
  auto Written =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value,
                    std::chars_format::general, CanonicalDigits);
  Out.append(Digits.data(), Written.ptr);
}

void writeObject(const json::object &Object, std::string &Out) {
  std::vector<const json::key_value_pair *> Members;
  Members.reserve(Object.size());
  for (const json::key_value_pair &Each : Object)
    Members.push_back(&Each);
  std::sort(Members.begin(), Members.end(),
            [](const auto *A, const auto *B) { return A->key() < B->key(); });
  Out += '{';
  for (std::size_t I = 0; I < Members.size(); ++I) {
    if (I > 0)
      Out += ',';
    Out += json::serialize(Members[I]->key());
    Out += ':';
    writeCanonical(Members[I]->value(), Out);
  }
  Out += '}';
}

void writeArray(const json::array &Array, std::string &Out) {
  Out += '[';
  for (std::size_t I = 0; I < Array.size(); ++I) {
    if (I > 0)
      Out += ',';
    writeCanonical(Array[I], Out);
  }
  Out += ']';
}

void writeCanonical(const json::value &Value, std::string &Out) {
  if (Value.is_object())
    return writeObject(Value.get_object(), Out);
  if (Value.is_array())
    return writeArray(Value.get_array(), Out);
  if (Value.is_double())
    return writeFraction(Value.get_double(), Out);
  Out += json::serialize(Value);
}

} // namespace

json::value applyMergePatch(json::value Target, const json::value &Patch) {
  if (!Patch.is_object())
    return Patch;
  if (!Target.is_object())
    Target.emplace_object();
  json::object &Object = Target.get_object();
  for (const json::key_value_pair &Each : Patch.get_object()) {
    if (Each.value().is_null()) {
      Object.erase(Each.key());
      continue;
    }
    json::value &Member = Object[Each.key()];
    Member = applyMergePatch(std::move(Member), Each.value());
  }
  return Target;
}

json::value makeMergePatch(const json::value &From, const json::value &To) {
  if (!To.is_object() || !From.is_object())
    return To;
  const json::object &Old = From.get_object();
  const json::object &New = To.get_object();
  json::object Patch;
  for (const json::key_value_pair &Each : Old)
    if (!New.contains(Each.key()))
      Patch[Each.key()] = nullptr;
  for (const json::key_value_pair &Each : New) {
    const json::value *Before = Old.if_contains(Each.key());
    if (Before == nullptr)
      Patch[Each.key()] = Each.value();
    else if (*Before != Each.value())
      Patch[Each.key()] = makeMergePatch(*Before, Each.value());
  }
  return Patch;
}

std::string canonicalText(const json::value &Text) {
  std::string Out;
  writeCanonical(Text, Out);
  return Out;
}

std::string textDigest(const json::value &Text) {
  return sha256(canonicalText(Text));
}

} // namespace hawthornroad
