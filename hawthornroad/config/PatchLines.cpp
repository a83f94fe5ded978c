#include "hawthornroad/config/PatchLines.h"

#include <boost/json/serialize.hpp>

namespace hawthornroad {

namespace json = boost::json;

namespace {
const json::value *memberOf(const json::value *Object, std::string_view Key) {
  if (Object == nullptr || !Object->is_object())
    return nullptr;
  return Object->get_object().if_contains({Key.data(), Key.size()});
}

std::string lineFor(const std::string &Path, const json::value &New,
                    const json::value *Old) {
  if (New.is_null())
    return Path + " removed";
  if (Old == nullptr)
    return Path + " = " + json::serialize(New);
  return Path + ": " + json::serialize(*Old) + " -> " + json::serialize(New);
}

void addLines(const std::string &Path, const json::value &Patch,
              const json::value *Old, std::vector<std::string> &Out) {
  if (!Patch.is_object() || Patch.get_object().empty()) {
    Out.push_back(lineFor(Path, Patch, Old));
    return;
  }
  for (const auto &Member : Patch.get_object()) {
    std::string Key(Member.key());
    addLines(Path.empty() ? Key : Path + "." + Key, Member.value(),
             memberOf(Old, Key), Out);
  }
}
} // namespace

std::vector<std::string> describePatch(const json::value &Patch,
                                       const json::value *Old) {
  std::vector<std::string> Out;
  if (Patch.is_object() && Patch.get_object().empty())
    return Out;
  addLines("", Patch, Old, Out);
  return Out;
}

} // namespace hawthornroad
